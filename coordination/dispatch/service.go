package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// Refusal says why a request was not let through.
type Refusal int

// The reasons.
const (
	// NoRoom: all that could run it are full.
	NoRoom Refusal = iota + 1
	// NoUpstream: none that could run it is known or reachable.
	NoUpstream
	// TooLate: it cannot be answered within its deadline any more.
	TooLate
)

// String returns the reason in words.
func (r Refusal) String() string {
	switch r {
	case NoRoom:
		return "no room"
	case NoUpstream:
		return "no upstream"
	case TooLate:
		return "too late"
	}
	return "none"
}

// Want is a request that wants an upstream.
type Want struct {
	// Owner is the only upstream that may run it; empty for any.
	Owner string
	// Exclude are upstreams it was sent to already.
	Exclude []string
	// Priority ranks requests; zero is the most important.
	Priority int
	// Objective is the latency within which the answer is on time.
	Objective time.Duration
	// Deadline is when the answer must be there, Until the last moment at
	// which it may be let through.
	Deadline time.Time
	Until    time.Time
	// Verdict is called once for a request that had to wait.
	Verdict func(Grant, Refusal)

	gone bool
}

// Grant is the right to send one request to an upstream.
type Grant struct {
	Instance instances.Instance
	// Began is when it was given, Ahead how many requests were estimated to
	// be in flight then.
	Began time.Time
	Ahead float64
	// Expected is the estimated time until the answer.
	Expected time.Duration
}

// Service decides for the upstreams of one service. It is not safe for
// concurrent use.
type Service struct {
	domain string
	// drain is how long after it was seen to be leaving an owner may get
	// requests.
	drain     time.Duration
	rng       *rand.Rand
	upstreams map[string]*Upstream
	order     []*Upstream
	waiting   []*Want
	// typical is the mean work time over all upstreams.
	typical time.Duration
	// gateways is the number of all gateways; zero before any report.
	gateways int
}

// NewService returns a service without upstreams, seen from a failure domain.
// drain is the time within which upstreams that are leaving must get no more
// requests.
func NewService(domain string, drain time.Duration, rng *rand.Rand) *Service {
	return &Service{domain: domain, drain: time.Duration(drainShare * float64(drain)), rng: rng, upstreams: make(map[string]*Upstream)}
}

// SetUpstreams takes over which upstreams there are. What is known of those
// that stay is kept.
func (s *Service) SetUpstreams(now time.Time, list []*instances.Instance) {
	known := make(map[string]*Upstream, len(list))
	s.order = s.order[:0]
	for _, one := range list {
		u := s.upstreams[one.ID]
		if u == nil {
			u = newUpstream(*one, now)
			if s.gateways > 0 {
				u.gateways = s.gateways
			}
		}
		u.Instance = *one
		if one.Leaving && u.leavingSince.IsZero() {
			u.leavingSince = now
		}
		known[one.ID] = u
		s.order = append(s.order, u)
	}
	s.upstreams = known
	s.pump(now)
}

// ReportAll takes over how many requests the other gateways have in flight, by
// upstream, and how many gateways there are. Upstreams that are not listed have
// none.
func (s *Service) ReportAll(now time.Time, others map[string]float64, gateways int) {
	s.gateways = max(gateways, 1)
	for _, u := range s.order {
		u.gateways = s.gateways
		u.others = others[u.ID]
		u.othersAt = now
	}
	s.pump(now)
}

// Offer asks for an upstream. Without a grant or a refusal the request waits
// for its verdict.
func (s *Service) Offer(now time.Time, w *Want) (Grant, Refusal, bool) {
	if s.typical == 0 {
		s.typical = w.Objective / firstWorkPart
	}
	if g, ok := s.grant(now, w); ok {
		return g, 0, true
	}
	if r := s.hopeless(now, w); r != 0 {
		return Grant{}, r, true
	}
	s.waiting = append(s.waiting, w)
	return Grant{}, 0, false
}

// hopeless reports why it makes no sense to wait, or zero.
func (s *Service) hopeless(now time.Time, w *Want) Refusal {
	if !now.Before(w.Until) {
		return NoRoom
	}
	if !s.anyKnown(w) {
		return NoUpstream
	}
	if now.Add(s.typical / 2).After(w.Deadline) {
		return TooLate
	}
	if s.expectedWait(now, w) > w.Until.Sub(now) {
		return NoRoom
	}
	return 0
}

// expectedWait estimates how long the request would wait behind those that go
// first, from how many are in flight and how long one takes.
func (s *Service) expectedWait(now time.Time, w *Want) time.Duration {
	ahead := 0
	for _, other := range s.waiting {
		if other.Priority <= w.Priority && (w.Owner == "" || w.Owner == other.Owner) {
			ahead++
		}
	}
	mine := 0
	for _, u := range s.order {
		if w.Owner == "" || u.ID == w.Owner {
			mine += u.mine
		}
	}
	if mine == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(mine) * float64(s.typical))
}

func (s *Service) anyKnown(w *Want) bool {
	if w.Owner != "" {
		return s.upstreams[w.Owner] != nil
	}
	for _, u := range s.order {
		if !u.Leaving && !excluded(w, u.ID) {
			return true
		}
	}
	return false
}

// grant gives the request to the best upstream that has room.
func (s *Service) grant(now time.Time, w *Want) (Grant, bool) {
	var best *Upstream
	if w.Owner != "" {
		best = s.owner(now, w)
	} else {
		best = s.best(now, w)
	}
	if best == nil {
		return Grant{}, false
	}
	g := Grant{Instance: best.Instance, Began: now, Ahead: best.inflight(now), Expected: best.delay(now, s.typical)}
	best.sent(now)
	return g, true
}

func (s *Service) owner(now time.Time, w *Want) *Upstream {
	u := s.upstreams[w.Owner]
	if u == nil || u.Leaving && now.Sub(u.leavingSince) > s.drain {
		return nil
	}
	if now.Before(u.pausedUntil) || u.silent(now, s.typical) || !u.room(now, s.typical, w.Objective) {
		return nil
	}
	return u
}

func (s *Service) best(now time.Time, w *Want) *Upstream {
	var best *Upstream
	lowest := 0.0
	for _, u := range s.order {
		if excluded(w, u.ID) || !u.usable(now, s.typical) || !u.room(now, s.typical, w.Objective) {
			continue
		}
		score := u.score(now, s.typical, s.domain, s.rng)
		if best == nil || score < lowest {
			best, lowest = u, score
		}
	}
	return best
}

func excluded(w *Want, id string) bool {
	for _, other := range w.Exclude {
		if other == id {
			return true
		}
	}
	return false
}

// Done ends a try and lets waiting requests through.
func (s *Service) Done(now time.Time, g Grant, o Outcome) {
	u := s.upstreams[g.Instance.ID]
	if u == nil {
		return
	}
	u.ended(now, g.Began, g.Ahead, o)
	if o == Answered && u.work > 0 {
		s.typical += time.Duration(workWeight / 4 * float64(u.work-s.typical))
	}
	s.pump(now)
}

// Withdraw takes a waiting request out. It reports false when the verdict was
// given already.
func (s *Service) Withdraw(w *Want) bool {
	if w.gone {
		return false
	}
	w.gone = true
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			break
		}
	}
	return true
}

// Tick refuses requests that have waited too long and lets others through
// whose upstreams have room again.
func (s *Service) Tick(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	s.pump(now)
	kept := s.waiting[:0]
	var late []*Want
	for _, w := range s.waiting {
		if now.Before(w.Until) {
			kept = append(kept, w)
			continue
		}
		late = append(late, w)
	}
	s.waiting = kept
	for _, w := range late {
		w.gone = true
		w.Verdict(Grant{}, s.lateReason(w))
	}
}

func (s *Service) lateReason(w *Want) Refusal {
	if !s.anyKnown(w) {
		return NoUpstream
	}
	return NoRoom
}

// pump lets waiting requests through, the most important and then the oldest
// first.
func (s *Service) pump(now time.Time) {
	for priority := s.nextPriority(-1); priority >= 0; priority = s.nextPriority(priority) {
		s.pumpPriority(now, priority)
	}
}

// nextPriority returns the most important priority among the waiting requests
// that is less important than the given one, or -1.
func (s *Service) nextPriority(after int) int {
	next := -1
	for _, w := range s.waiting {
		if w.Priority > after && (next < 0 || w.Priority < next) {
			next = w.Priority
		}
	}
	return next
}

func (s *Service) pumpPriority(now time.Time, priority int) {
	kept := s.waiting[:0]
	full := false
	for i, w := range s.waiting {
		if w.Priority != priority || (full && w.Owner == "" && len(w.Exclude) == 0) {
			kept = append(kept, w)
			continue
		}
		g, ok := s.grant(now, w)
		if !ok {
			full = full || w.Owner == ""
			kept = append(kept, s.waiting[i])
			continue
		}
		w.gone = true
		w.Verdict(g, 0)
	}
	s.waiting = kept
}

// Waiting returns the number of requests that wait.
func (s *Service) Waiting() int { return len(s.waiting) }

// Load is the state of one upstream as reported to the other gateways.
type Load struct {
	Instance string
	// Inflight is the mean number of requests from here since the last call.
	Inflight float64
	Work     time.Duration
	Silent   time.Duration
	Refused  bool
}

// Loads returns what is worth a report: upstreams with requests from here or
// with troubles.
func (s *Service) Loads(now time.Time) []Load {
	var out []Load
	for _, u := range s.order {
		u.advance(now)
		span := now.Sub(u.reportedAt).Seconds()
		mean := float64(u.mine)
		if span > 0 {
			mean = u.area / span
		}
		u.area, u.reportedAt = 0, now
		l := Load{Instance: u.ID, Inflight: mean, Work: u.work, Refused: u.refused}
		if u.pause > 0 || u.silent(now, s.typical) {
			l.Silent = max(now.Sub(u.lastAnswer), time.Millisecond)
		}
		if mean > 0 || l.Silent > 0 {
			out = append(out, l)
		}
	}
	return out
}

// Explanation is what a decision was made from.
type Explanation struct {
	// Upstreams is the number known, Usable that of those that may get
	// requests at all.
	Upstreams int
	Usable    int
	// Waiting is the number of requests that wait here.
	Waiting int
	// Mine are the requests from here at the owner, or at all upstreams; Others
	// those that other gateways reported, ReportAge ago.
	Mine      int
	Others    float64
	ReportAge time.Duration
	// Slots is how many run at once there, Work how long one takes.
	Slots int
	Work  time.Duration
}

// Explain returns what a decision for the owner, or for any upstream, would be
// made from.
func (s *Service) Explain(now time.Time, owner string) Explanation {
	e := Explanation{Waiting: len(s.waiting), Work: s.typical}
	for _, u := range s.order {
		if owner != "" && u.ID != owner {
			continue
		}
		e.Upstreams++
		if u.usable(now, s.typical) {
			e.Usable++
		}
		e.Mine += u.mine
		e.Others += u.others
		e.Slots += u.Slots
		if !u.othersAt.IsZero() {
			e.ReportAge = max(e.ReportAge, now.Sub(u.othersAt))
		}
		if owner != "" {
			e.Work = u.workTime(now, s.typical)
		}
	}
	return e
}
