package notice

import (
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// mostKept bounds the upstreams whose words are kept while they are not listed.
	mostKept = 1024
	// keptFor is how long a leaving is kept: entries that lapse while an upstream lives come
	// back within seconds, and what has ended does not come back as the same start.
	keptFor = 10 * time.Minute
)

// Book keeps what upstreams have said that are not listed for a while: lists may be old, and what
// was said stands for the same start. The zero value is empty. It is not safe for concurrent use.
type Book struct{ kept map[string]kept }

type kept struct {
	incarnation instances.Incarnation
	standing    Standing
	since       time.Time
}

// Keep takes what stands of a start of an upstream that is not listed any more.
func (b *Book) Keep(now time.Time, upstream string, incarnation instances.Incarnation, s Standing) {
	b.forget(now)
	if s == (Standing{}) || len(b.kept) >= mostKept {
		return
	}
	if b.kept == nil {
		b.kept = make(map[string]kept)
	}
	b.kept[upstream] = kept{incarnation: incarnation, standing: s, since: now}
}

// Take returns what stands of a start that is listed again, and forgets it.
func (b *Book) Take(upstream string, incarnation instances.Incarnation) Standing {
	k, ok := b.kept[upstream]
	if !ok {
		return Standing{}
	}
	delete(b.kept, upstream)
	if k.incarnation.Other(incarnation) {
		return Standing{}
	}
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
