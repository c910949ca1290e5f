package notice

import (
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// mostKept bounds the starts whose words are kept while they are not listed.
	mostKept = 1024
	// keptFor is how long a leaving is kept: entries that lapse while an upstream lives come
	// back within seconds, and what has ended does not come back as the same start.
	keptFor = 10 * time.Minute
)

// Book keeps what starts of upstreams have said that are not listed for a while: lists may be old,
// and what was said stands for the same start. The zero value is empty. It is not safe for
// concurrent use.
type Book struct{ kept map[start]kept }

// start is one start of an upstream.
type start struct {
	upstream    string
	incarnation instances.Incarnation
}

type kept struct {
	standing Standing
	since    time.Time
}

// Keep takes what stands of a start that is not listed any more.
func (b *Book) Keep(now time.Time, upstream string, incarnation instances.Incarnation, s Standing) {
	b.forget(now)
	if s == (Standing{}) || len(b.kept) >= mostKept {
		return
	}
	if b.kept == nil {
		b.kept = make(map[start]kept)
	}
	b.kept[start{upstream, incarnation}] = kept{standing: s, since: now}
}

// Note takes over what an answer says of a start that is not listed, after what is kept of it.
func (b *Book) Note(now time.Time, upstream string, incarnation instances.Incarnation, n Notice) Change {
	s := b.Take(upstream, incarnation)
	c := s.Note(now, n)
	b.Keep(now, upstream, incarnation, s)
	return c
}

// Take returns what stands of a start that is listed again, and forgets it.
func (b *Book) Take(upstream string, incarnation instances.Incarnation) Standing {
	id := start{upstream, incarnation}
	k := b.kept[id]
	delete(b.kept, id)
	return k.standing
}

// forget drops what is too old to matter.
func (b *Book) forget(now time.Time) {
	for id, k := range b.kept {
		if now.Sub(k.since) > keptFor && !k.standing.Resting(now) {
			delete(b.kept, id)
		}
	}
}
