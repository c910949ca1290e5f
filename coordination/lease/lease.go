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
type Tracker struct {
	limits Limits
	byID   map[string]*upstreamState
}

// record is the state of one upstream.
type upstreamState struct {
	boot string
	// clock is the upstream's clock in its last answer, received at.
	answerClock int64
	answeredAt  time.Time
	// since is when the entry first asked.
	firstAsked time.Time
	refused    bool
	leaving    bool
	lost       bool
	// until is when the longest lease given has certainly lapsed.
	leaseEnd       time.Time
	awaitingAnswer bool
}

// NewBook returns an empty book.
func NewTracker(l Limits) *Tracker { return &Tracker{limits: l, byID: make(map[string]*upstreamState)} }

func (t *Tracker) state(id string, now time.Time) *upstreamState {
	s := t.byID[id]
	if s == nil {
		s = &upstreamState{firstAsked: now}
		t.byID[id] = s
	}
	return s
}

// MarkLost stops renewals and reports whether the upstream was in use before.
func (t *Tracker) MarkLost(now time.Time, id string) bool {
	s := t.state(id, now)
	wasUsable := !s.lost
	s.lost = true
	return wasUsable
}

// MarkUsed allows renewals again.
func (t *Tracker) MarkUsable(now time.Time, id string) { t.state(id, now).lost = false }

// Keep drops what is known of upstreams that are not in the document.
func (t *Tracker) Prune(doc *cell.Cell) {
	for id := range t.byID {
		if doc.Upstream(id) == nil {
			delete(t.byID, id)
		}
	}
}

// LastSeen returns the time of the last answer, zero when there was none.
func (t *Tracker) LastAnswer(id string) time.Time {
	if s := t.byID[id]; s != nil {
		return s.answeredAt
	}
	return time.Time{}
}

// Renew prepares the next message to an upstream. Right is the end of the
// entry's own right to send. An empty renewal only asks for the status. It
// returns false while the last message is not answered.
func (t *Tracker) NextRenewal(now, rightUntil time.Time, u cell.Upstream) (control.Renewal, bool) {
	s := t.state(u.ID, now)
	if s.awaitingAnswer {
		return control.Renewal{}, false
	}
	s.awaitingAnswer = true
	if s.lost || u.State == cell.Lost || u.Boot == "" || s.boot != u.Boot || !now.Before(rightUntil) {
		return control.Renewal{}, true
	}
	// By this entry's clock the lease may last the whole time: the upstream is
	// given less, as its clock may be the slower one.
	lifetime := min(t.limits.TTL, rightUntil.Sub(s.answeredAt))
	ttl := lifetime - lifetime*time.Duration(2*t.limits.DriftPercent)/100
	if ttl <= 0 {
		return control.Renewal{}, true
	}
	if until := s.answeredAt.Add(lifetime); until.After(s.leaseEnd) {
		s.leaseEnd = until
	}
	return control.Renewal{Boot: u.Boot, UntilNanos: s.answerClock + int64(ttl)}, true
}

// Answered notes the answer to a renewal.
func (t *Tracker) RecordAnswer(now time.Time, id string, st control.Status) {
	s := t.state(id, now)
	s.awaitingAnswer = false
	s.boot = st.Boot
	s.answerClock = st.ClockNanos
	s.answeredAt = now
	s.refused = false
	s.leaving = st.Leaving
}

// Failed notes that a renewal had no answer. Refused says that the connection
// was actively refused.
func (t *Tracker) RecordFailure(now time.Time, id string, refused bool) {
	s := t.state(id, now)
	s.awaitingAnswer = false
	s.refused = refused
}

// Left is the time until a lease has lapsed.
type RemainingLease struct {
	Upstream  string
	Remaining time.Duration
}

// Lost returns the time left of the leases given to lost upstreams.
func (t *Tracker) LostLeases(now time.Time) []RemainingLease {
	var out []RemainingLease
	for id, s := range t.byID {
		if remaining := s.leaseEnd.Sub(now); s.lost && remaining > 0 {
			out = append(out, RemainingLease{id, remaining})
		}
	}
	slices.SortFunc(out, func(a, b RemainingLease) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// Seen is the observation of one upstream.
type UpstreamObservation struct {
	Upstream string
	detect.Observation
}

// Seen returns what this entry saw of every upstream.
func (t *Tracker) Observations(now time.Time) []UpstreamObservation {
	out := make([]UpstreamObservation, 0, len(t.byID))
	for id, s := range t.byID {
		silent := now.Sub(s.firstAsked)
		if !s.answeredAt.IsZero() {
			silent = now.Sub(s.answeredAt)
		}
		out = append(out, UpstreamObservation{id, detect.Observation{
			Boot: s.boot, Silent: silent, Refused: s.refused, Leaving: s.leaving,
		}})
	}
	slices.SortFunc(out, func(a, b UpstreamObservation) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}
