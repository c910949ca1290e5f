// Package lease keeps what one entry knows of the upstreams of its cell, and
// decides which lease renewals it may send them.
//
// A lease is bounded twice. It ends before the entry's own right to send, so
// that an entry that was fenced off cannot keep an old owner alive. And it is
// counted from the upstream's clock in an earlier answer, so that a renewal
// that is delivered late extends nothing.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
)

// Limits bound the leases.
type Limits struct {
	// TTL is the longest lease, by the clock of the entry.
	TTL time.Duration
	// DriftPercent bounds how much two clocks differ in rate, in percent.
	DriftPercent int
}

// Book holds the state of all upstreams as one entry sees them. It is not safe
// for concurrent use.
type Book struct {
	limits Limits
	byID   map[string]*record
}

// record is the state of one upstream.
type record struct {
	boot string
	// clock is the upstream's clock in its last answer, received at.
	clock int64
	at    time.Time
	// since is when the entry first asked.
	since   time.Time
	refused bool
	leaving bool
	lost    bool
	// until is when the longest lease given has certainly lapsed.
	until  time.Time
	asking bool
}

// NewBook returns an empty book.
func NewBook(l Limits) *Book { return &Book{limits: l, byID: make(map[string]*record)} }

func (b *Book) record(id string, now time.Time) *record {
	r := b.byID[id]
	if r == nil {
		r = &record{since: now}
		b.byID[id] = r
	}
	return r
}

// MarkLost stops renewals and reports whether the upstream was in use before.
func (b *Book) MarkLost(now time.Time, id string) bool {
	r := b.record(id, now)
	was := !r.lost
	r.lost = true
	return was
}

// MarkUsed allows renewals again.
func (b *Book) MarkUsed(now time.Time, id string) { b.record(id, now).lost = false }

// Keep drops what is known of upstreams that are not in the document.
func (b *Book) Keep(doc *cell.Cell) {
	for id := range b.byID {
		if doc.Upstream(id) == nil {
			delete(b.byID, id)
		}
	}
}

// LastSeen returns the time of the last answer, zero when there was none.
func (b *Book) LastSeen(id string) time.Time {
	if r := b.byID[id]; r != nil {
		return r.at
	}
	return time.Time{}
}

// Renew prepares the next message to an upstream. Right is the end of the
// entry's own right to send. An empty renewal only asks for the status. It
// returns false while the last message is not answered.
func (b *Book) Renew(now, right time.Time, u cell.Upstream) (control.Renewal, bool) {
	r := b.record(u.ID, now)
	if r.asking {
		return control.Renewal{}, false
	}
	r.asking = true
	if r.lost || u.State == cell.Lost || u.Boot == "" || r.boot != u.Boot || !now.Before(right) {
		return control.Renewal{}, true
	}
	// By this entry's clock the lease may last the whole time: the upstream is
	// given less, as its clock may be the slower one.
	whole := min(b.limits.TTL, right.Sub(r.at))
	ttl := whole - whole*time.Duration(2*b.limits.DriftPercent)/100
	if ttl <= 0 {
		return control.Renewal{}, true
	}
	if until := r.at.Add(whole); until.After(r.until) {
		r.until = until
	}
	return control.Renewal{Boot: u.Boot, UntilNanos: r.clock + int64(ttl)}, true
}

// Answered notes the answer to a renewal.
func (b *Book) Answered(now time.Time, id string, st control.Status) {
	r := b.record(id, now)
	r.asking = false
	r.boot = st.Boot
	r.clock = st.ClockNanos
	r.at = now
	r.refused = false
	r.leaving = st.Leaving
}

// Failed notes that a renewal had no answer. Refused says that the connection
// was actively refused.
func (b *Book) Failed(now time.Time, id string, refused bool) {
	r := b.record(id, now)
	r.asking = false
	r.refused = refused
}

// Left is the time until a lease has lapsed.
type Left struct {
	Upstream  string
	Remaining time.Duration
}

// Lost returns the time left of the leases given to lost upstreams.
func (b *Book) Lost(now time.Time) []Left {
	var out []Left
	for id, r := range b.byID {
		if left := r.until.Sub(now); r.lost && left > 0 {
			out = append(out, Left{id, left})
		}
	}
	slices.SortFunc(out, func(a, b Left) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// Seen is the observation of one upstream.
type Seen struct {
	Upstream string
	detect.Observation
}

// Seen returns what this entry saw of every upstream.
func (b *Book) Seen(now time.Time) []Seen {
	out := make([]Seen, 0, len(b.byID))
	for id, r := range b.byID {
		silent := now.Sub(r.since)
		if !r.at.IsZero() {
			silent = now.Sub(r.at)
		}
		out = append(out, Seen{id, detect.Observation{
			Boot: r.boot, Silent: silent, Refused: r.refused, Leaving: r.leaving,
		}})
	}
	slices.SortFunc(out, func(a, b Seen) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}
