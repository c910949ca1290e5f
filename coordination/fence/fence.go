// Package fence decides when an entry may send requests to upstreams, and when a
// controller may rely on all entries with an older cell document having stopped.
//
// A fence is a version of the cell document: entries that know only older versions
// must not send. An entry sends only while a strict majority of its cell's local
// voters, or of its wide voters, has promised within the last TTL that it has
// acknowledged no fence newer than the entry's document. A controller that raises
// the fence collects acknowledgements until the voters that have not answered can
// no longer form either majority, and then waits one TTL. The fence is then
// settled. The platform takes no part in this beyond serializing the writes of the
// cell document, so entries keep their right to send while it is down.
//
// Promises are kept in memory only. This is safe because a restarted process has a
// new member ID and is not a voter until the cell document names it, so it cannot
// break a promise of its earlier incarnation.
package fence

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/cell"
)

// Limits configures the timing of the protocol.
type Limits struct {
	// TTL is how long a promise is valid, by the clock of the entry that asked
	// for it.
	TTL time.Duration
	// DriftPercent is the maximum difference in rate between two clocks, in
	// percent.
	DriftPercent int
}

// holderTTL is how long an entry relies on a promise, by its own clock.
func (l Limits) holderTTL() time.Duration { return l.TTL }

// voterTTL is how long a voter or controller must wait, by its own clock, until
// every promise has expired at the entry that relies on it.
func (l Limits) voterTTL() time.Duration {
	return l.TTL + l.TTL*time.Duration(l.DriftPercent)/100
}

// Promise is a voter's answer to an entry that asks for the right to send.
type Promise struct {
	// Granted is false if the voter has acknowledged a fence newer than the
	// entry's document.
	Granted bool
	// Floor is the highest fence that the voter has acknowledged.
	Floor uint64
}

// Ack is a voter's answer to a controller that raised the fence.
type Ack struct {
	Voter string
	// Fence is the highest fence that the voter has acknowledged. It may be newer
	// than the one the controller asked for.
	Fence uint64
	// NonVoterWait is how long promises to entries outside the local quorum may
	// still be valid, or zero if there are none.
	NonVoterWait time.Duration
}

// Voter holds the promises of one process, for each cell it votes in.
type Voter struct {
	id     string
	limits Limits
	cells  map[string]*cellState
}

// cellState holds the promises to the entries of one cell.
type cellState struct {
	// floor is the highest fence acknowledged. Promises to entries with older
	// documents are refused.
	floor uint64
	// nonVotersUntil is when all promises to entries outside the local quorum
	// have expired.
	nonVotersUntil time.Time
}

// NewVoter returns a voter that has made no promises.
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

// Promise answers an entry whose document of the named cell has the given version.
// NonVoter reports that the entry is not a local voter of the cell.
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

// Raise acknowledges a fence of the named cell. The floor never decreases.
func (v *Voter) Raise(now time.Time, name string, fence uint64) Ack {
	s := v.state(name)
	s.floor = max(s.floor, fence)
	ack := Ack{Voter: v.id, Fence: s.floor}
	if s.nonVotersUntil.After(now) {
		ack.NonVoterWait = s.nonVotersUntil.Sub(now)
	}
	return ack
}

// Floor returns the highest fence that the voter has acknowledged for the named
// cell.
func (v *Voter) Floor(name string) uint64 { return v.state(name).floor }

// Holder collects the promises made to one entry and decides whether the entry may
// send to the upstreams of its cell.
type Holder struct {
	id       string
	limits   Limits
	quorum   cell.Quorum
	promises map[string]time.Time
	scratch  []time.Time
}

// NewHolder returns a holder without promises, and so without the right to send.
func NewHolder(id string, limits Limits) *Holder {
	return &Holder{id: id, limits: limits, promises: make(map[string]time.Time)}
}

// SetQuorum sets the voters, as named by the document version in use, and drops the
// promises of all others.
func (h *Holder) SetQuorum(q cell.Quorum) {
	h.quorum = q
	for id := range h.promises {
		if !q.Has(id) {
			delete(h.promises, id)
		}
	}
}

// Record records a promise of a voter. It is valid from askedAt, the time at which
// the entry asked for it.
func (h *Holder) Record(voter string, askedAt time.Time) {
	if !h.quorum.Has(voter) {
		return
	}
	until := askedAt.Add(h.limits.holderTTL())
	if until.After(h.promises[voter]) {
		h.promises[voter] = until
	}
}

// ValidUntil returns the time until which the entry may send. If it is not after
// now, the entry must not send. The entry's own vote counts as promised now.
func (h *Holder) ValidUntil(now time.Time) time.Time {
	if h.quorum.Has(h.id) {
		h.promises[h.id] = now.Add(h.limits.holderTTL())
	}
	until := h.majorityUntil(h.quorum.Local)
	// For an entry outside the local quorum only the promises of local voters
	// count, because only local voters report promises to such entries to the
	// controller.
	if h.quorum.HasLocal(h.id) {
		if wide := h.majorityUntil(h.quorum.Wide); wide.After(until) {
			until = wide
		}
	}
	return until
}

// majorityUntil returns the time until which a strict majority of the voters keeps
// its promises.
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

// Settlement tracks the acknowledgements of one fence and determines when the fence
// is settled: no entry that knows only older versions may send any more.
type Settlement struct {
	fence   uint64
	limits  Limits
	quorums []cell.Quorum
	acks    map[string]time.Time
	// adopted holds, for voters known to use a document of the fence or a later
	// one, since when that is known. Unlike an acknowledgement it does not
	// report the promises to entries outside the local quorum.
	adopted map[string]time.Time
	// nonVotersUntil is when the reported promises to entries outside the local
	// quorum have expired.
	nonVotersUntil time.Time
	// lastDeath is the latest time at which a voter was known to have ended.
	lastDeath time.Time
}

// NewSettlement returns a settlement of the document's fence without
// acknowledgements.
func NewSettlement(doc *cell.Cell, limits Limits) *Settlement {
	return &Settlement{
		fence:   doc.Fence,
		limits:  limits,
		quorums: append(slices.Clone(doc.Previous), doc.Quorum),
		acks:    make(map[string]time.Time),
		adopted: make(map[string]time.Time),
	}
}

// SetQuorums replaces the quorums by those of a later document with the same fence.
// A document that no longer lists previous quorums shows that the fence was settled
// for them.
func (s *Settlement) SetQuorums(doc *cell.Cell) {
	s.quorums = append(slices.Clone(doc.Previous), doc.Quorum)
}

// Fence returns the fence that is being settled.
func (s *Settlement) Fence() uint64 { return s.fence }

// Voters returns the members of all quorums of the document, each once.
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

// Record records an acknowledgement received at now. Acknowledgements of older
// fences are ignored.
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

// RecordDead records that the process of a voter had ended at the given time. It
// counts as an acknowledgement. Members that are not voters are ignored.
func (s *Settlement) RecordDead(at time.Time, id string) {
	if s.Acked(id) || !slices.ContainsFunc(s.quorums, func(q cell.Quorum) bool { return q.Has(id) }) {
		return
	}
	s.acks[id] = at
	if at.After(s.lastDeath) {
		s.lastDeath = at
	}
}

// RecordAdopted records that a voter used a document of the fence or a later one at
// the given time. The voter makes no more promises to entries with older documents.
// But the promises it made before to entries outside the local quorum, and the
// requests it still has in flight, are unknown, so the controller must wait until
// both have ended.
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

// Settled reports whether every right to send under an older fence has ended. If
// entries did not acknowledge the fence themselves, grace is added to the wait: they
// may still have requests in flight to upstreams that do not check epochs.
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

// allBlockedAt returns since when, in every quorum, the voters that may still
// promise under an older fence cannot form a majority. It returns false if in some
// quorum they still can.
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

// boundSince returns since when the voter makes no promises under an older fence,
// and whether that is known.
func (s *Settlement) boundSince(id string) (time.Time, bool) {
	if at, ok := s.acks[id]; ok {
		return at, true
	}
	at, ok := s.adopted[id]
	return at, ok
}

// majorityBlockedAt returns since when the other members of the set cannot form a
// strict majority under an older fence, and whether that is so.
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
