// Package lease tracks the upstreams of a cell as seen by one entry and decides
// which lease renewals the entry may send to them.
//
// Two rules bound a lease. It ends no later than the entry's own right to send,
// so that an entry that has been fenced off cannot extend the lease of a former
// owner. And its end is given in the upstream's own time, counted from the clock
// value in the upstream's last answer, so that a renewal that arrives late does
// not extend the lease.
package lease

import (
	"cmp"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
)

// Limits configures lease durations.
type Limits struct {
	// TTL is the maximum lease duration, measured by the entry's clock.
	TTL time.Duration
	// DriftPercent is the maximum difference in rate between two clocks, in
	// percent.
	DriftPercent int
}

// Tracker holds what one entry knows about each upstream of its cell. It is not
// safe for concurrent use.
type Tracker struct {
	limits Limits
	byID   map[string]*upstreamState
}

// upstreamState is what the entry knows about one upstream.
type upstreamState struct {
	boot string
	// answerClock is the upstream's clock, in nanoseconds, as stated in its last
	// answer. The answer was received at answeredAt, by the entry's clock.
	answerClock int64
	answeredAt  time.Time
	// firstAsked is when the upstream was first recorded; its silence is counted
	// from then until it has answered.
	firstAsked time.Time
	refused    bool
	leaving    bool
	lost       bool
	// leaseEnd is the time, by the entry's clock, after which no lease sent to
	// the upstream is valid any more.
	leaseEnd       time.Time
	awaitingAnswer bool
}

// NewTracker returns a tracker that knows no upstreams.
func NewTracker(l Limits) *Tracker { return &Tracker{limits: l, byID: make(map[string]*upstreamState)} }

func (t *Tracker) state(id string, now time.Time) *upstreamState {
	s := t.byID[id]
	if s == nil {
		s = &upstreamState{firstAsked: now}
		t.byID[id] = s
	}
	return s
}

// MarkLost stops renewals and reports whether the upstream was not marked lost
// before.
func (t *Tracker) MarkLost(now time.Time, id string) bool {
	s := t.state(id, now)
	wasUsable := !s.lost
	s.lost = true
	return wasUsable
}

// MarkUsable allows renewals again after MarkLost.
func (t *Tracker) MarkUsable(now time.Time, id string) { t.state(id, now).lost = false }

// Prune forgets the upstreams that are not in the document.
func (t *Tracker) Prune(doc *cell.Cell) {
	for id := range t.byID {
		if doc.Upstream(id) == nil {
			delete(t.byID, id)
		}
	}
}

// LastAnswer returns the time of the upstream's last answer, or the zero time if
// it never answered.
func (t *Tracker) LastAnswer(id string) time.Time {
	if s := t.byID[id]; s != nil {
		return s.answeredAt
	}
	return time.Time{}
}

// NextRenewal returns the next renewal to send to an upstream. The entry itself
// may send requests until rightUntil. An empty renewal extends no lease and only
// asks for the upstream's status. NextRenewal returns false while an earlier
// renewal is still unanswered.
func (t *Tracker) NextRenewal(now, rightUntil time.Time, u cell.Upstream) (control.Renewal, bool) {
	s := t.state(u.ID, now)
	if s.awaitingAnswer {
		return control.Renewal{}, false
	}
	s.awaitingAnswer = true
	if s.lost || u.State == cell.Lost || u.Boot == "" || s.boot != u.Boot || !now.Before(rightUntil) {
		return control.Renewal{}, true
	}
	// The entry counts on the full lifetime by its own clock. The upstream gets
	// a shorter lease, because its clock may run slower.
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

// RecordAnswer records the upstream's answer to a renewal.
func (t *Tracker) RecordAnswer(now time.Time, id string, st control.Status) {
	s := t.state(id, now)
	s.awaitingAnswer = false
	s.boot = st.Boot
	s.answerClock = st.ClockNanos
	s.answeredAt = now
	s.refused = false
	s.leaving = st.Leaving
}

// RecordFailure records that a renewal failed without an answer. Refused reports
// whether the upstream's host refused the connection.
func (t *Tracker) RecordFailure(now time.Time, id string, refused bool) {
	s := t.state(id, now)
	s.awaitingAnswer = false
	s.refused = refused
}

// RemainingLease is the time until the leases of one upstream have expired.
type RemainingLease struct {
	Upstream  string
	Remaining time.Duration
}

// LostLeases returns the unexpired leases of upstreams that are marked lost.
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

// UpstreamObservation is an observation together with the upstream it is about.
type UpstreamObservation struct {
	Upstream string
	detect.Observation
}

// Observations returns the entry's current observation of every known upstream.
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
