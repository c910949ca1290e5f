package gateway

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

const (
	// promiseTimeout bounds the calls to the voters in one round.
	promiseTimeout = 300 * time.Millisecond
	// inquiryRetryInterval is the time between rounds of asking voters about their promises to a
	// former leader.
	inquiryRetryInterval = 300 * time.Millisecond
)

// promises holds the promises that this process has made as a voter. It is safe for concurrent
// use.
type promises struct {
	mu    sync.Mutex
	state *leadership.Promises
	now   func() time.Time
}

func newPromises(now func() time.Time) *promises {
	return &promises{state: leadership.NewPromises(now()), now: now}
}

func (p *promises) handle(r *syncpb.PromiseRequest) *syncpb.PromiseResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !r.Inquire {
		now := p.now()
		return &syncpb.PromiseResponse{Given: p.state.Grant(now, r.Term), AgeMs: uint64(p.state.Uptime(now).Milliseconds())}
	}
	given, age := p.state.Inquire(p.now(), r.Term)
	return &syncpb.PromiseResponse{Asked: given, AgeMs: uint64(age.Milliseconds())}
}

// askVoters asks all voters concurrently and returns the answers by address.
func (l *leaderElector) askVoters(ctx context.Context, voters []string, r *syncpb.PromiseRequest) map[string]*syncpb.PromiseResponse {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	var mu sync.Mutex
	answers := make(map[string]*syncpb.PromiseResponse)
	record := func(address string, resp *syncpb.PromiseResponse) {
		mu.Lock()
		defer mu.Unlock()
		answers[address] = resp
	}
	var all sync.WaitGroup
	for _, address := range voters {
		if address == l.cluster.self.Address {
			record(address, l.promises.handle(r))
			continue
		}
		all.Go(func() {
			resp, err := l.cluster.client(address).Promise(ctx, r)
			if err != nil {
				l.log.Debug("voter did not answer", "voter", address, "error", err)
				return
			}
			record(address, resp)
		})
	}
	all.Wait()
	return answers
}

// extend asks the voters for promises that let this leader continue without the store. It
// needs a majority, or later all, of each voter list that may be in force.
func (l *leaderElector) extend(ctx context.Context) {
	l.mu.Lock()
	sent, term, lists := l.now(), l.lease.Term, l.voterLists
	sinceLease := l.right.Lapsed(sent)
	lapsed := min(sinceLease, l.promisedRight.Lapsed(sent))
	l.mu.Unlock()
	if len(lists) == 0 {
		return
	}
	asked := make(map[string]bool)
	var voters []string
	for _, list := range lists {
		for _, v := range list {
			if !asked[v] {
				asked[v] = true
				voters = append(voters, v)
			}
		}
	}
	answers := l.askVoters(ctx, voters, &syncpb.PromiseRequest{Term: term})
	for _, list := range lists {
		given := 0
		for _, v := range list {
			if a := answers[v]; a != nil && a.Given && leadership.PromiseCounts(lapsed, time.Duration(a.AgeMs)*time.Millisecond) {
				given++
			}
		}
		if needed := leadership.NeededPromises(len(list), sinceLease); given < needed {
			l.log.Warn("too few voter promises to keep leading without the store", "given", given, "needed", needed, "voters", len(list))
			return
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.Term != term || !slices.EqualFunc(l.voterLists, lists, slices.Equal) {
		// The voters that have promised may not be those that a successor asks.
		return
	}
	if !l.promisedRight.Valid(sent) {
		l.log.Info("leading without the store by voter promises", "term", term, "answers", len(answers))
	}
	l.promisedRight.Extend(sent)
	l.formerHolds.Extend(sent.Add(leadership.LeaseDuration + ownership.HoldWithMargin(l.maxHold)))
}

// formerHoldsInquiry asks the voters of the former lease until when upstreams may hold keys by grants of former
// leaders.
type formerHoldsInquiry struct {
	former leadership.Lease
	// acquired is a time at which this leader had acquired its lease.
	acquired time.Time
	// holdsEnd is when upstreams have ceased to hold keys by grants of leaders that did not act by promises.
	holdsEnd time.Time
	// longest is the longest duration of a grant.
	longest time.Duration
}

// inquire learns until when upstreams may hold keys by grants of former leaders: holdsEnd, or later if they acted
// by promises. It repeats the question until enough voters have answered, which are fewer once the former leaders
// need the promises of all.
func (l *leaderElector) inquire(ctx context.Context, former leadership.Lease, holdsEnd time.Time, longest time.Duration) {
	term := former.Term + 1
	if former.Term == 0 {
		l.setFormerHoldDeadline(term, l.now().Add(ownership.HoldWithMargin(longest)), false)
		return
	}
	q := formerHoldsInquiry{former: former, acquired: l.now(), holdsEnd: holdsEnd, longest: longest}
	for ctx.Err() == nil && l.cluster.isLeading() {
		asked := l.now()
		ends := l.inquireFormerHolds(ctx, q)
		if until, ok := q.endByMajority(ends); ok {
			l.log.Info("end of the former leader's grants is known", "term", former.Term, "in_ms", until.Sub(l.now()).Milliseconds())
			l.setFormerHoldDeadline(term, until, until.After(holdsEnd))
			return
		}
		if until, ok := q.endByAll(asked, ends); ok {
			l.log.Warn("most voters of the former leader do not answer", "term", former.Term, "answers", len(ends), "voters", len(former.Voters),
				"in_ms", until.Sub(l.now()).Milliseconds())
			l.boundFormerHolds(term, until)
			return
		}
		pause(ctx, inquiryRetryInterval)
	}
}

// inquireFormerHolds asks the voters once. For each that answers it returns when upstreams have ceased to hold keys
// by grants for which that voter's promise was needed, the earliest first.
func (l *leaderElector) inquireFormerHolds(ctx context.Context, q formerHoldsInquiry) []time.Time {
	answers := l.askVoters(ctx, q.former.Voters, &syncpb.PromiseRequest{Term: q.former.Term + 1, Inquire: true})
	now := l.now()
	var ends []time.Time
	for _, a := range answers {
		end := q.holdsEnd
		if a.Asked {
			age := time.Duration(a.AgeMs) * time.Millisecond
			end = laterOf(end, now.Add(-age).Add(leadership.LeaseDuration).Add(ownership.HoldWithMargin(q.longest)))
		}
		ends = append(ends, end)
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i].Before(ends[j]) })
	return ends
}

// endByMajority returns until when upstreams may hold keys. A former leader had the promises of a majority, so voters that
// are part of every majority are sufficient evidence, and those with the earliest ends are used. More may be lost
// for good, as a leader that is lost is a voter itself.
func (q formerHoldsInquiry) endByMajority(ends []time.Time) (time.Time, bool) {
	need := leadership.Blocking(len(q.former.Voters))
	if len(ends) < need {
		return time.Time{}, false
	}
	return ends[need-1], true
}

// endByAll is endByMajority for fewer voters, which were asked at the given time: after its majority period a former
// leader needed the promises of all, so the answer of a single voter is sufficient from then on.
func (q formerHoldsInquiry) endByAll(asked time.Time, ends []time.Time) (time.Time, bool) {
	period := time.Duration(q.former.MajorityPeriodMs) * time.Millisecond
	majorityEnd := leadership.MajorityPeriodEnd(q.acquired, period)
	if period <= 0 || len(ends) == 0 || asked.Before(majorityEnd) {
		return time.Time{}, false
	}
	return laterOf(ends[0], majorityEnd.Add(ownership.HoldWithMargin(q.longest))), true
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// setFormerHoldDeadline records until when upstreams may hold keys by grants of a former leader,
// and whether that results from promises: a successor can then learn of it only from the present
// voters.
func (l *leaderElector) setFormerHoldDeadline(term uint64, until time.Time, byPromises bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.Term == term {
		l.formerHoldDeadline, l.formerHoldKnown, l.formerActedByPromises = until, true, byPromises
		if byPromises {
			l.formerHolds.Extend(until)
		}
	}
}

// boundFormerHolds records until when upstreams may hold keys at the latest. The lease states it from the next
// renewal on, so that a successor need not ask the voters of former leases.
func (l *leaderElector) boundFormerHolds(term uint64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lease.Term == term {
		l.formerHoldDeadline, l.formerHoldKnown, l.formerActedByPromises = until, true, false
		l.formerHolds.Extend(until)
	}
}

// latestFormerHold returns until when upstreams may hold keys by grants of former leaders,
// once that is known.
func (l *leaderElector) latestFormerHold() (until time.Time, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.formerHoldDeadline, l.formerHoldKnown
}

// formerHoldsEnded reports whether no upstream holds keys by a grant of a former leader any
// longer.
func (l *leaderElector) formerHoldsEnded() bool {
	until, known := l.latestFormerHold()
	return known && l.now().After(until)
}

// initialVoters returns the voters of a newly acquired lease: those of the former lease if it
// has any. If this leader is lost before the grants of the former one have ended, its
// successor then asks voters that know of the promises to both.
func (l *leaderElector) initialVoters(former leadership.Lease) []string {
	if len(former.Voters) > 0 {
		return former.Voters
	}
	return l.chooseVoters(nil)
}

// votersMayChange reports whether a renewal may change the list of voters. The renewal must
// not be overdue, and no upstream may hold keys by promises to a former leader that only the
// present voters know of. Once it is known that there are no such promises the list may change,
// so that gateways that leave one after the other do not leave a list of lost voters behind.
func (l *leaderElector) votersMayChange() bool {
	if l.renewalOverdue() {
		return false
	}
	l.mu.Lock()
	known := l.formerHoldKnown && !l.formerActedByPromises
	l.mu.Unlock()
	return known || l.formerHoldsEnded()
}

// chooseVoters chooses the voters among the gateways that report to this one.
func (l *leaderElector) chooseVoters(former []string) []string {
	list, _ := l.cluster.allMembers()
	var live []leadership.VoterCandidate
	for _, m := range list {
		live = append(live, leadership.VoterCandidate{Address: m.Address, Domain: m.Domain})
	}
	return leadership.ChooseVoters(live, former)
}
