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
// needs a majority of each voter list that may be in force.
func (l *leaderElector) extend(ctx context.Context) {
	l.mu.Lock()
	sent, term, lists := l.now(), l.lease.Term, l.voterLists
	lapsed := min(l.right.Lapsed(sent), l.promisedRight.Lapsed(sent))
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
		if given < leadership.Majority(len(list)) {
			l.log.Warn("too few voter promises to keep leading without the store", "given", given, "voters", len(list))
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

// inquire asks the voters of the former lease until when upstreams may hold keys by grants of
// former leaders: holdsEnd, or later if they acted by promises. It repeats the question until enough have
// answered.
func (l *leaderElector) inquire(ctx context.Context, former leadership.Lease, holdsEnd time.Time, longest time.Duration) {
	term := former.Term + 1
	if former.Term == 0 {
		l.setFormerHoldDeadline(term, l.now().Add(ownership.HoldWithMargin(longest)), false)
		return
	}
	for ctx.Err() == nil && l.cluster.isLeading() {
		if until, ok := l.inquireFormerHolds(ctx, former, holdsEnd, longest); ok {
			l.log.Info("end of the former leader's grants is known", "term", former.Term, "in_ms", until.Sub(l.now()).Milliseconds())
			l.setFormerHoldDeadline(term, until, until.After(holdsEnd))
			return
		}
		pause(ctx, inquiryRetryInterval)
	}
}

// inquireFormerHolds asks the voters once. A former leader had the promises of a majority, so voters that
// are part of every majority are sufficient evidence, and it uses those with the earliest ends. More may be
// lost for good, as a leader that is lost is a voter itself.
func (l *leaderElector) inquireFormerHolds(ctx context.Context, former leadership.Lease, holdsEnd time.Time, longest time.Duration) (time.Time, bool) {
	answers := l.askVoters(ctx, former.Voters, &syncpb.PromiseRequest{Term: former.Term + 1, Inquire: true})
	now := l.now()
	var until []time.Time
	for _, a := range answers {
		end := holdsEnd
		if a.Asked {
			age := time.Duration(a.AgeMs) * time.Millisecond
			end = laterOf(end, now.Add(-age).Add(leadership.LeaseDuration).Add(ownership.HoldWithMargin(longest)))
		}
		until = append(until, end)
	}
	need := leadership.Blocking(len(former.Voters))
	if len(until) < need {
		return time.Time{}, false
	}
	sort.Slice(until, func(i, j int) bool { return until[i].Before(until[j]) })
	return until[need-1], true
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
