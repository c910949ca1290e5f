// Package fence decides when an entry may send requests to upstreams and when
// a controller may rely on every other entry having stopped.
//
// An entry sends only while a strict majority of the local voters, or of the
// wide voters, of its cell have promised within the last TTL that they have
// acknowledged no newer fence. A controller that raises the fence collects
// acknowledgements until the silent voters can no longer form either majority,
// and then waits one TTL. The platform is not involved: it serializes the cell
// document, and entries keep their right to send while it is down.
//
// Promises live in memory. A restarted process has a new member ID, is no
// voter until the cell document names it, and so cannot break the promise of
// its predecessor.
package fence

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/cell"
)

// Limits are the times of the protocol.
type Limits struct {
	// TTL is how long a promise holds, by the clock of the entry that asked.
	TTL time.Duration
	// DriftPercent bounds how much two clocks differ in rate, in percent.
	DriftPercent int
}

// holderTTL is the time an entry relies on a promise.
func (l Limits) holderTTL() time.Duration { return l.TTL }

// voterTTL is the time after which a promise given is certain to have lapsed.
func (l Limits) voterTTL() time.Duration {
	return l.TTL + l.TTL*time.Duration(l.DriftPercent)/100
}

// Promise is a voter's answer to an entry.
type Promise struct {
	// Granted is false when the voter acknowledged a newer fence.
	Granted bool
	// Floor is the highest fence that the voter acknowledged.
	Floor uint64
}

// Ack is a voter's answer to a controller that raised the fence.
type Ack struct {
	Voter string
	// Fence is the fence that the voter follows now; it may be newer.
	Fence uint64
	// GuestWait is how long promises to entries outside of the local quorum
	// may still hold; zero when there are none.
	NonVoterWait time.Duration
}

// Voter keeps what one process promised, for every cell it votes in.
type Voter struct {
	id     string
	limits Limits
	cells  map[string]*cellState
}

type cellState struct {
	floor          uint64
	nonVotersUntil time.Time
}

// NewVoter returns a voter without promises.
func NewVoter(id string, limits Limits) *Voter {
	return &Voter{id: id, limits: limits, cells: make(map[string]*cellState)}
}

func (v *Voter) state(name string) *cellState {
	s := v.cells[name]
	if s == nil {
		s = &cellState{}
		v.cells[name] = s
	}
	return s
}

// Promise answers an entry that knows version of the named cell. Guest says
// that the entry is not a local voter.
func (v *Voter) Promise(now time.Time, name string, version uint64, nonVoter bool) Promise {
	s := v.state(name)
	if version < s.floor {
		return Promise{Floor: s.floor}
	}
	if nonVoter {
		s.nonVotersUntil = now.Add(v.limits.voterTTL())
	}
	return Promise{Granted: true, Floor: s.floor}
}

// Raise acknowledges a fence of the named cell. The floor never sinks.
func (v *Voter) Raise(now time.Time, name string, fence uint64) Ack {
	s := v.state(name)
	s.floor = max(s.floor, fence)
	ack := Ack{Voter: v.id, Fence: s.floor}
	if s.nonVotersUntil.After(now) {
		ack.NonVoterWait = s.nonVotersUntil.Sub(now)
	}
	return ack
}

// Floor returns the highest fence acknowledged for the named cell.
func (v *Voter) Floor(name string) uint64 { return v.state(name).floor }

// Holder decides whether one entry may send to the upstreams of its cell.
type Holder struct {
	id       string
	limits   Limits
	quorum   cell.Quorum
	promises map[string]time.Time
	scratch  []time.Time
}

// NewHolder returns a holder without a right.
func NewHolder(id string, limits Limits) *Holder {
	return &Holder{id: id, limits: limits, promises: make(map[string]time.Time)}
}

// Adopt sets the quorum of the version in use.
func (h *Holder) SetQuorum(q cell.Quorum) {
	h.quorum = q
	for id := range h.promises {
		if !q.Has(id) {
			delete(h.promises, id)
		}
	}
}

// Record notes a promise of a voter to a question asked at the given time.
func (h *Holder) Record(voter string, askedAt time.Time) {
	if !h.quorum.Has(voter) {
		return
	}
	until := askedAt.Add(h.limits.holderTTL())
	if until.After(h.promises[voter]) {
		h.promises[voter] = until
	}
}

// Until returns the time up to which the entry may send. A time not after now
// means that it must not. The entry's own vote counts as promised now.
func (h *Holder) ValidUntil(now time.Time) time.Time {
	if h.quorum.Has(h.id) {
		h.promises[h.id] = now.Add(h.limits.holderTTL())
	}
	until := h.majorityUntil(h.quorum.Local)
	// An entry outside of the local quorum is a guest: only local voters
	// report guests to the controller, so only their promises count.
	if h.quorum.HasLocal(h.id) {
		if wide := h.majorityUntil(h.quorum.Wide); wide.After(until) {
			until = wide
		}
	}
	return until
}

func (h *Holder) majorityUntil(voters []cell.Member) time.Time {
	if len(voters) == 0 {
		return time.Time{}
	}
	h.scratch = h.scratch[:0]
	for _, m := range voters {
		h.scratch = append(h.scratch, h.promises[m.ID])
	}
	slices.SortFunc(h.scratch, func(a, b time.Time) int { return b.Compare(a) })
	return h.scratch[len(voters)/2]
}

// Settler tells a controller when a fence is settled: no entry that knows only
// older versions may send any more.
type Settlement struct {
	fence   uint64
	limits  Limits
	quorums []cell.Quorum
	acks    map[string]time.Time
	// follows holds voters that were heard to follow the fence but have not
	// acknowledged it, since when.
	adopted map[string]time.Time
	// guestsTo is when promises to entries outside of the quorum have lapsed.
	nonVotersUntil time.Time
	// deadAt is when the last voter that ended was known to have ended.
	lastDeath time.Time
}

// NewSettler starts settling the fence of the given document.
func NewSettlement(doc *cell.Cell, limits Limits) *Settlement {
	return &Settlement{
		fence:   doc.Fence,
		limits:  limits,
		quorums: append(slices.Clone(doc.Previous), doc.Quorum),
		acks:    make(map[string]time.Time),
		adopted: make(map[string]time.Time),
	}
}

// Narrow takes the quorums of a later document of the same fence. One that no
// longer lists former quorums says that they were settled.
func (s *Settlement) SetQuorums(doc *cell.Cell) {
	s.quorums = append(slices.Clone(doc.Previous), doc.Quorum)
}

// Fence returns the fence being settled.
func (s *Settlement) Fence() uint64 { return s.fence }

// Voters returns everyone whose acknowledgement counts.
func (s *Settlement) Voters() []cell.Member {
	var out []cell.Member
	seen := make(map[string]bool)
	for _, q := range s.quorums {
		for _, m := range q.Voters() {
			if !seen[m.ID] {
				out = append(out, m)
			}
			seen[m.ID] = true
		}
	}
	return out
}

// Record notes an acknowledgement received at now.
func (s *Settlement) Record(now time.Time, ack Ack) {
	if ack.Fence < s.fence {
		return
	}
	if _, ok := s.acks[ack.Voter]; !ok {
		s.acks[ack.Voter] = now
	}
	if until := now.Add(ack.NonVoterWait); ack.NonVoterWait > 0 && until.After(s.nonVotersUntil) {
		s.nonVotersUntil = until
	}
}

// RecordDead notes a voter whose process had certainly ended at the given time.
// Others than voters do not matter.
func (s *Settlement) RecordDead(at time.Time, id string) {
	if s.Acked(id) || !slices.ContainsFunc(s.quorums, func(q cell.Quorum) bool { return q.Has(id) }) {
		return
	}
	s.acks[id] = at
	if at.After(s.lastDeath) {
		s.lastDeath = at
	}
}

// RecordFollows notes a voter that used a document of the fence or of a later
// one at the given time. It promises nothing under older documents any more,
// but what it promised guests before is not known, and what it has under way
// neither: that has to lapse.
func (s *Settlement) RecordAdopted(at time.Time, id string) {
	if _, ok := s.adopted[id]; !ok {
		s.adopted[id] = at
	}
}

// Acked reports whether the voter has acknowledged.
func (s *Settlement) Acked(id string) bool {
	_, ok := s.acks[id]
	return ok
}

// Settled reports whether every right given under an older fence is over. Grace
// is waited for more where entries did not answer themselves, for requests that
// they may have under way to upstreams that do not check epochs.
func (s *Settlement) Settled(now time.Time, grace time.Duration) bool {
	if !s.nonVotersUntil.IsZero() && now.Before(s.nonVotersUntil.Add(grace)) {
		return false
	}
	if !s.lastDeath.IsZero() && now.Before(s.lastDeath.Add(grace)) {
		return false
	}
	if s.allLocalAcked() {
		return true
	}
	blocked, ok := s.allBlockedAt()
	return ok && !now.Before(blocked.Add(s.limits.voterTTL()+grace))
}

func (s *Settlement) allLocalAcked() bool {
	for _, q := range s.quorums {
		for _, m := range q.Local {
			if !s.Acked(m.ID) {
				return false
			}
		}
	}
	return true
}

// blockedAt returns when the silent voters could no longer form a majority.
func (s *Settlement) allBlockedAt() (time.Time, bool) {
	var at time.Time
	for _, q := range s.quorums {
		for _, set := range [][]cell.Member{q.Local, q.Wide} {
			t, ok := s.majorityBlockedAt(set)
			if !ok {
				return time.Time{}, false
			}
			if t.After(at) {
				at = t
			}
		}
	}
	return at, true
}

// boundSince returns since when the voter certainly promises nothing under an
// older fence.
func (s *Settlement) boundSince(id string) (time.Time, bool) {
	if at, ok := s.acks[id]; ok {
		return at, true
	}
	at, ok := s.adopted[id]
	return at, ok
}

func (s *Settlement) majorityBlockedAt(set []cell.Member) (time.Time, bool) {
	var times []time.Time
	for _, m := range set {
		if at, ok := s.boundSince(m.ID); ok {
			times = append(times, at)
		}
	}
	need := (len(set) + 1) / 2
	if len(times) < need {
		return time.Time{}, false
	}
	if need == 0 {
		return time.Time{}, true
	}
	slices.SortFunc(times, func(a, b time.Time) int { return a.Compare(b) })
	return times[need-1], true
}
