// Package poison recognises requests that end the upstreams which run them (queries of death),
// and says which are not to be sent any more. Such a request comes again, at any gateway, and
// each time takes with it what else runs on the upstream that it ends.
//
// A request is known again by the digest of its path, caller and body. It is suspected when its
// run breaks off without an answer and that start of the upstream turns out to have ended; all
// that ran there then are. One that was there at the ends of three is sent no more, unless it may
// well have been there by chance (verdict.go). Gateways tell each other what they have seen: events
// are merged by upstream and start, so that what two of them saw of one end counts once, in
// whichever order they hear.
package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// endsWithin is how long after a run broke off the end of that start of the upstream counts as
	// its effect: the first connection that it refuses shows it at once, its next start only when
	// it is back and has written its entry.
	endsWithin = 8 * time.Second
	// endsBefore is the same for an end that was noticed before: other gateways' runs break off at
	// the same moment, and their word is on its way.
	endsBefore = 500 * time.Millisecond
	// forgetAfter is how long after its last crash a request is let through again, by one gateway
	// as a mean.
	forgetAfter = 60 * time.Second
	// toldFor is how long a crash is told to others, of requests that are not refused: some
	// reports by way of a head.
	toldFor = 3 * time.Second
	// endToldFor is the same for ends of upstreams.
	endToldFor = time.Second
	// mostSuspects, mostBroken and mostTold bound what is remembered, and what one message tells.
	mostSuspects = 4096
	mostBroken   = 4096
	mostTold     = 256
	// mostEvents bounds the ends of upstreams that are remembered of one request.
	mostEvents = 8
)

// Digest tells a request again.
type Digest uint64

// DigestOf returns the digest of a request's path with its query, its caller and its body.
func DigestOf(path, caller string, body []byte) Digest {
	h := xxhash.New()
	// Writing to a hash does not fail.
	_, _ = h.WriteString(path)
	_, _ = h.WriteString("\x00" + caller + "\x00")
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// Event is the end of one start of an upstream, in short.
type Event uint32

// eventOf tells the ends of upstreams apart.
func eventOf(upstream string, incarnation instances.Incarnation) Event {
	const shift = 32
	sum := xxhash.Sum64String(upstream) ^ uint64(incarnation)*0x9e3779b97f4a7c15
	return Event(sum ^ sum>>shift)
}

// Crash is one upstream's end with a request on it.
type Crash struct {
	Digest Digest
	Event  Event
	At     time.Time
}

// Clearing is the word that a request does no harm, for all its crashes until then.
type Clearing struct {
	Digest Digest
	At     time.Time
}

// suspect is what is known of one request.
type suspect struct {
	crashes map[Event]time.Time
	last    time.Time
	cleared time.Time
	refused bool
}

// broken is a run that broke off without an answer.
type broken struct {
	digest Digest
	at     time.Time
}

// start is one start of an upstream.
type start struct {
	upstream    string
	incarnation instances.Incarnation
}

// Tracker is what one gateway knows. It is not safe for concurrent use.
type Tracker struct {
	suspects map[Digest]*suspect
	// broken are runs that broke off at starts of upstreams which may have ended, ended when
	// starts were seen to have.
	broken map[start][]broken
	count  int
	ended  map[start]time.Time
	// ends are all ends that suspects were on.
	ends map[Event]*end
}

// NewTracker returns a book that suspects no request.
func NewTracker() *Tracker {
	return &Tracker{
		suspects: make(map[Digest]*suspect),
		broken:   make(map[start][]broken),
		ended:    make(map[start]time.Time),
		ends:     make(map[Event]*end),
	}
}

// Empty reports whether nothing is suspected.
func (b *Tracker) Empty() bool { return len(b.suspects) == 0 }

// CrashCount returns how many upstreams have ended with the request on them.
func (b *Tracker) CrashCount(d Digest) int {
	s := b.suspects[d]
	if s == nil {
		return 0
	}
	return len(s.crashes)
}

// Refused reports whether the request is not to be sent. chance is a random number from 0 to 1:
// long after its last crash one of so many gateways lets it through to try.
func (b *Tracker) Refused(now time.Time, d Digest, gateways int, chance float64) bool {
	s := b.suspects[d]
	if s == nil || !s.refused {
		return false
	}
	return now.Sub(s.last) < forgetAfter || chance*float64(max(gateways, 1)) >= 1
}

// RequestAborted notes that a run broke off without an answer, and returns the crash if that start of the
// upstream is known to have ended.
func (b *Tracker) RequestAborted(now time.Time, d Digest, upstream string, incarnation instances.Incarnation) []Crash {
	at, one := start{upstream, incarnation}, broken{digest: d, at: now}
	if ended, ok := b.ended[at]; ok && now.Sub(ended) < endsBefore {
		return b.add(one.crash(at))
	}
	if b.count < mostBroken {
		b.broken[at] = append(b.broken[at], one)
		b.count++
	}
	return nil
}

// crash is what the run was when that start of the upstream has ended.
func (r broken) crash(at start) Crash {
	return Crash{Digest: r.digest, Event: eventOf(at.upstream, at.incarnation), At: r.at}
}

// RequestAnswered notes that a start of an upstream has answered a request which was sent at a time: it
// has not ended by what broke off before.
func (b *Tracker) RequestAnswered(upstream string, incarnation instances.Incarnation, sent time.Time) {
	at := start{upstream, incarnation}
	list := b.broken[at]
	if len(list) == 0 {
		return
	}
	b.keep(at, slices.DeleteFunc(list, func(one broken) bool { return one.at.Before(sent) }))
}

// keep replaces the runs that broke off at a start, which were more.
func (b *Tracker) keep(at start, list []broken) {
	b.count -= len(b.broken[at]) - len(list)
	if len(list) == 0 {
		delete(b.broken, at)
		return
	}
	b.broken[at] = list
}

// UpstreamEnded notes that a start of an upstream has ended, and returns the crashes that this shows.
func (b *Tracker) UpstreamEnded(now time.Time, upstream string, incarnation instances.Incarnation) []Crash {
	at := start{upstream, incarnation}
	if known, ok := b.ended[at]; !ok || now.Before(known) {
		b.ended[at] = now
	}
	list := slices.Clone(b.broken[at])
	b.count -= len(b.broken[at])
	delete(b.broken, at)
	var out []Crash
	for _, one := range list {
		if now.Sub(one.at) < endsWithin {
			out = append(out, b.add(one.crash(at))...)
		}
	}
	return out
}

// End is the end of a start of an upstream. Its time is zero where it is not known to have ended.
type End struct {
	Upstream    string
	Incarnation instances.Incarnation
	At          time.Time
}

// UnconfirmedEnds returns the starts of upstreams at which runs broke off that may have been their ends.
func (b *Tracker) UnconfirmedEnds() []End {
	out := make([]End, 0, len(b.broken))
	for at := range b.broken {
		out = append(out, End{Upstream: at.upstream, Incarnation: at.incarnation})
	}
	return out
}

// RecentEnds returns the ends of upstreams that others are to be told.
func (b *Tracker) RecentEnds(now time.Time) []End {
	var out []End
	for at, ended := range b.ended {
		if now.Sub(ended) < endToldFor && len(out) < mostTold {
			out = append(out, End{Upstream: at.upstream, Incarnation: at.incarnation, At: ended})
		}
	}
	return out
}

// add takes a crash over and returns it if it was not known.
func (b *Tracker) add(c Crash) []Crash {
	s := b.suspects[c.Digest]
	if s == nil {
		if len(b.suspects) >= mostSuspects {
			return nil
		}
		s = &suspect{crashes: make(map[Event]time.Time)}
		b.suspects[c.Digest] = s
	}
	_, known := s.crashes[c.Event]
	if known || !c.At.After(s.cleared) || len(s.crashes) >= mostEvents {
		return nil
	}
	s.crashes[c.Event] = c.At
	b.endAdd(c, s.refused)
	s.last = later(s.last, c.At)
	if !s.refused && b.guilty(s) {
		b.refuse(s)
	}
	return []Crash{c}
}

// Merge takes over what another gateway tells, and returns what was not known.
func (b *Tracker) Merge(list []Crash) []Crash {
	var out []Crash
	for _, c := range list {
		out = append(out, b.add(c)...)
	}
	return out
}

// Clear forgets the crashes of requests until a time: they have ended well, or an operator says
// that they may be sent.
func (b *Tracker) Clear(list ...Clearing) {
	for _, c := range list {
		s := b.suspects[c.Digest]
		if s == nil {
			s = &suspect{crashes: make(map[Event]time.Time)}
			b.suspects[c.Digest] = s
		}
		if !c.At.After(s.cleared) {
			continue
		}
		s.cleared = c.At
		for event, at := range s.crashes {
			if !at.After(c.At) {
				delete(s.crashes, event)
				b.endRemove(event, s.refused)
			}
		}
		b.acquit(s)
	}
}

// Export returns what others are to be told: crashes of late, those of requests that are refused,
// and clearings of late; the requests with most crashes first, as many as one message bears.
func (b *Tracker) Export(now time.Time) (crashes []Crash, clearings []Clearing) {
	for _, d := range b.list(func(s *suspect) bool {
		return s.refused || now.Sub(s.last) < toldFor || now.Sub(s.cleared) < toldFor
	}) {
		s := b.suspects[d]
		if now.Sub(s.cleared) < toldFor {
			clearings = append(clearings, Clearing{Digest: d, At: s.cleared})
		}
		for event, at := range s.crashes {
			if len(crashes) < mostTold {
				crashes = append(crashes, Crash{Digest: d, Event: event, At: at})
			}
		}
	}
	return crashes, clearings[:min(len(clearings), mostTold)]
}

// list returns the suspects of a kind, those with most crashes first.
func (b *Tracker) list(is func(*suspect) bool) []Digest {
	var out []Digest
	for d, s := range b.suspects {
		if is(s) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(x, y Digest) int {
		if n := cmp.Compare(len(b.suspects[y].crashes), len(b.suspects[x].crashes)); n != 0 {
			return n
		}
		return cmp.Compare(x, y)
	})
	return out
}

// Suspect is one request for operators.
type Suspect struct {
	Digest  Digest
	Crashes int
	Last    time.Time
	// Refused says that it is not sent any more.
	Refused bool
}

// Suspects returns the requests with crashes, those with most of them first.
func (b *Tracker) Suspects() []Suspect {
	var out []Suspect
	for _, d := range b.list(func(s *suspect) bool { return len(s.crashes) > 0 }) {
		s := b.suspects[d]
		out = append(out, Suspect{Digest: d, Crashes: len(s.crashes), Last: s.last, Refused: s.refused})
	}
	return out
}

// Prune drops what is too old to matter. A request that is refused is remembered twice as long as
// it is refused: a trial that ends another upstream has it refused again at once.
func (b *Tracker) Prune(now time.Time) {
	for at, list := range b.broken {
		b.keep(at, slices.DeleteFunc(list, func(one broken) bool { return now.Sub(one.at) >= endsWithin }))
	}
	for at, ended := range b.ended {
		if now.Sub(ended) >= endsWithin {
			delete(b.ended, at)
		}
	}
	b.forgetEnds(now)
	for d, s := range b.suspects {
		if now.Sub(s.last) >= 2*forgetAfter && now.Sub(s.cleared) >= forgetAfter {
			for event := range s.crashes {
				b.endRemove(event, s.refused)
			}
			delete(b.suspects, d)
		}
	}
}
