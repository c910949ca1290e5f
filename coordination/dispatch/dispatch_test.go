package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

const ms = time.Millisecond

// newService returns a service with upstreams of two slots each. Their IDs consist of the failure
// domain and a number, such as "a1".
func newService(ids ...string) *Service {
	s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
	s.SetUpstreams(start, instanceList(ids...))
	s.ApplyReport(start, ClusterReport{Gateways: 1})
	return s
}

func instanceList(ids ...string) []*instances.Instance {
	var out []*instances.Instance
	for _, id := range ids {
		out = append(out, &instances.Instance{ID: id, Domain: id[:1], Slots: 2})
	}
	return out
}

func newRequest() *Request {
	return &Request{Objective: 300 * ms, Deadline: at(time.Second), QueueUntil: at(60 * ms), OnDecision: func(Decision) {}}
}

// offer asks for an upstream and returns the parts of the decision.
func offer(s *Service, now time.Time, req *Request) (Grant, Refusal, bool) {
	d, decided := s.Offer(now, req)
	return d.Grant, d.Refusal, decided
}

func mustGrant(t *testing.T, s *Service, now time.Time, req *Request) Grant {
	t.Helper()
	g, r, decided := offer(s, now, req)
	if !decided || r != 0 {
		t.Fatalf("not granted: refusal %v, decided %v", r, decided)
	}
	return g
}

// serviceWithWorkTime returns a service with one upstream, a1, whose work time is known.
func serviceWithWorkTime(work time.Duration) *Service {
	s := newService("a1")
	s.typicalWorkTime = work
	learnWorkTime(s, "a1", work)
	return s
}

// learnWorkTime makes the service see a response of the upstream after the given time.
func learnWorkTime(s *Service, id string, took time.Duration) {
	s.Done(at(took), Grant{Instance: instances.Instance{ID: id}, GrantedAt: start}, Answered)
	s.upstream(start, id).ownInFlight = 0
}

func TestOwnDomainIsPreferred(t *testing.T) {
	s := newService("a1", "b1", "c1")
	if g := mustGrant(t, s, start, newRequest()); g.Instance.ID != "a1" {
		t.Errorf("sent to %s", g.Instance.ID)
	}
}

func TestFasterUpstreamOfAnotherDomain(t *testing.T) {
	s := newService("a1", "b1")
	learnWorkTime(s, "a1", 300*ms)
	learnWorkTime(s, "b1", 50*ms)
	if g := mustGrant(t, s, at(400*ms), &Request{Objective: 2 * time.Second, Deadline: at(time.Minute), QueueUntil: at(time.Minute)}); g.Instance.ID != "b1" {
		t.Errorf("sent to %s", g.Instance.ID)
	}
}

// TestFullUpstreamQueuesByPriority checks that requests wait when the upstream has no room and
// that the most important one is granted when a request ends.
func TestFullUpstreamQueuesByPriority(t *testing.T) {
	s := serviceWithWorkTime(10 * ms)
	var last Grant
	for range int(2 * maxInFlightPerSlot) {
		req := newRequest()
		req.Objective = time.Minute
		last = mustGrant(t, s, start, req)
	}
	verdicts := make(map[int]bool)
	for _, priority := range []int{2, 0, 1} {
		req := newRequest()
		req.Priority = priority
		req.OnDecision = func(d Decision) { verdicts[priority] = d.Granted() }
		if _, r, decided := offer(s, start, req); decided {
			t.Fatalf("priority %d decided at once: refusal %v", priority, r)
		}
	}
	s.Done(at(10*ms), last, Answered)
	if len(verdicts) != 1 || !verdicts[0] {
		t.Errorf("verdicts %v, want only priority 0 granted", verdicts)
	}
	s.Tick(at(61 * ms))
	if len(verdicts) != 3 || verdicts[1] || verdicts[2] || s.Waiting() != 0 {
		t.Errorf("verdicts %v, %d waiting", verdicts, s.Waiting())
	}
}

func TestReportedRequestsCount(t *testing.T) {
	s := newService("a1", "b1")
	s.ApplyReport(start, ClusterReport{InFlight: map[string]float64{"a1": 6}, Gateways: 3})
	if g := mustGrant(t, s, start, newRequest()); g.Instance.ID != "b1" {
		t.Errorf("sent to the full upstream")
	}
	s.ApplyReport(start, ClusterReport{Gateways: 3})
	if g := mustGrant(t, s, start, newRequest()); g.Instance.ID != "a1" {
		t.Errorf("the previous report still counts")
	}
}

func TestLeavingUpstreamGetsNothing(t *testing.T) {
	s := newService("a1", "b1")
	leaving := instanceList("a1", "b1")
	leaving[0].Leaving = true
	s.SetUpstreams(start, leaving)
	for range 2 {
		if g := mustGrant(t, s, start, newRequest()); g.Instance.ID != "b1" {
			t.Fatal("sent to the leaving upstream")
		}
	}
	s.SetUpstreams(start, nil)
	if _, r, decided := offer(s, start, newRequest()); !decided || r != NoUpstream {
		t.Errorf("refusal %v", r)
	}
}

// TestUnreachableUpstreamIsProbed checks that an upstream gets no requests for a while after a
// connection failure, and then one at a time until one is answered.
func TestUnreachableUpstreamIsProbed(t *testing.T) {
	s := newService("a1")
	s.Done(at(10*ms), mustGrant(t, s, start, newRequest()), Unreachable)
	req := newRequest()
	req.QueueUntil = at(10 * ms)
	if _, r, _ := offer(s, at(10*ms), req); r != NoCapacity {
		t.Errorf("refusal %v right after the failure, want no room", r)
	}
	now := at(10*ms + minBackoff)
	req.QueueUntil, req.Deadline = now.Add(time.Minute), now.Add(time.Minute)
	probe := mustGrant(t, s, now, req)
	if _, _, decided := offer(s, now, req); decided {
		t.Error("a second probe before the first has ended")
	}
	s.Done(now.Add(20*ms), probe, Answered)
	if s.Waiting() != 0 {
		t.Error("the waiting request is not granted after a response")
	}
}

// TestOneLongRunIsNotSilence checks that a single slow request does not mark the upstream as
// silent, and that several overdue requests together do.
func TestOneLongRunIsNotSilence(t *testing.T) {
	s := newService("a1")
	learnWorkTime(s, "a1", 100*ms)
	now := at(200 * ms)
	req := &Request{Objective: time.Second, Deadline: at(time.Minute), QueueUntil: at(time.Minute)}
	mustGrant(t, s, now, req)
	if s.upstream(start, "a1").silent(now.Add(450*ms), s.typicalWorkTime) {
		t.Error("one slow request counts as silence")
	}
	mustGrant(t, s, now, req)
	mustGrant(t, s, now, req)
	if !s.upstream(start, "a1").silent(now.Add(time.Second), s.typicalWorkTime) {
		t.Error("three overdue requests do not count as silence")
	}
}

// TestWorkTimeExcludesQueueing checks that the time spent waiting behind other requests does not
// count as work time.
func TestWorkTimeExcludesQueueing(t *testing.T) {
	u := newUpstream(instances.Instance{ID: "a1", Slots: 2}, start)
	u.observeWorkTime(start, 300*ms, 5, nil, 0)
	if u.ownWorkTime != 100*ms {
		t.Errorf("work time %s, want 100ms: a third of 300ms, for three rounds of two requests", u.ownWorkTime)
	}
	if d := u.expectedDelay(start, 0, 1); d != 100*ms {
		t.Errorf("delay of an idle upstream %s, want 100ms", d)
	}
}

func TestTooLateIsRefusedAtOnce(t *testing.T) {
	s := serviceWithWorkTime(50 * ms)
	for range int(2 * maxInFlightPerSlot) {
		req := newRequest()
		req.Objective = time.Minute
		mustGrant(t, s, start, req)
	}
	req := newRequest()
	req.Deadline = at(10 * ms)
	if _, r, decided := offer(s, start, req); !decided || r != TooLate {
		t.Errorf("refusal %v, decided %v", r, decided)
	}
}

// TestOwnerOnly checks that a request for an owner goes to no other upstream.
func TestOwnerOnly(t *testing.T) {
	s := newService("a1", "b1")
	req := newRequest()
	req.Owner = "b1"
	if g := mustGrant(t, s, start, req); g.Instance.ID != "b1" {
		t.Errorf("sent to %s", g.Instance.ID)
	}
	req.Owner = "gone"
	if _, r, decided := offer(s, start, req); !decided || r != NoUpstream {
		t.Errorf("refusal %v", r)
	}
}

// TestRestartedUpstreamStartsFresh checks that a restarted upstream inherits neither learned state
// nor requests in flight, that the ends of earlier requests do not count for it, and that requests
// waiting for it are kept.
func TestRestartedUpstreamStartsFresh(t *testing.T) {
	s := newService("a1")
	s.upstream(start, "a1").StartedMs = 1
	var before []Grant
	for {
		req := newRequest()
		req.Owner = "a1"
		g, _, decided := offer(s, start, req)
		if !decided {
			break
		}
		before = append(before, g)
	}
	if s.waiting != 1 || len(before) == 0 {
		t.Fatalf("%d waiting, %d sent", s.waiting, len(before))
	}
	s.Done(start, before[0], Unreachable)
	again := instanceList("a1")
	again[0].StartedMs = 2
	s.SetUpstreams(at(ms), again)
	u := s.upstream(start, "a1")
	if u.backoff != 0 || u.ownInFlight != 1 || s.waiting != 0 {
		t.Errorf("pause %s, %d in flight, %d waiting", u.backoff, u.ownInFlight, s.waiting)
	}
	for _, g := range before[1:] {
		s.Done(at(2*ms), g, ConnectionBroken)
	}
	if u.ownInFlight != 1 || u.failureRate != 0 {
		t.Errorf("%d in flight, failure rate %v after requests to the previous incarnation ended", u.ownInFlight, u.failureRate)
	}
}

// TestHotKeysAreSampled checks that about the reported fraction of the requests for a hot key is
// admitted, that other keys are not limited, and that a limit expires when no report renews it.
func TestHotKeysAreSampled(t *testing.T) {
	s := newService("a1")
	s.ApplyReport(start, ClusterReport{Gateways: hotKeyLimitMinGateways, HotKeyAdmission: map[uint16]float64{7: 0.25}})
	s.upstream(start, "a1").share.fraction = 1
	admitted := func(now time.Time, key uint16) int {
		n := 0
		for range 1000 {
			req := newRequest()
			req.Owner, req.Key = "a1", key
			g, r, decided := offer(s, now, req)
			if !decided || r != 0 && r != HotKey {
				t.Fatalf("refusal %v, decided %v", r, decided)
			}
			if r == 0 {
				n++
				s.Done(now, g, Canceled)
			}
		}
		return n
	}
	if n := admitted(start, 7); n < 200 || n > 300 {
		t.Errorf("%d of 1000 admitted for a hot key, want about a quarter", n)
	}
	if n := admitted(start, 8); n != 1000 {
		t.Errorf("%d of 1000 admitted for another key", n)
	}
	if n := admitted(start.Add(hotKeyLimitTTL+1), 7); n != 1000 {
		t.Errorf("%d of 1000 admitted after the limit expired", n)
	}
}

// TestAdmittedRequestIsNotSampledAgain checks that a request for a hot key that was already
// admitted is not sampled again, for example when its owner has changed. A new request is.
func TestAdmittedRequestIsNotSampledAgain(t *testing.T) {
	s := newService("a1")
	s.ApplyReport(start, ClusterReport{Gateways: hotKeyLimitMinGateways, HotKeyAdmission: map[uint16]float64{7: 0}})
	s.upstream(start, "a1").share.fraction = 1
	req := newRequest()
	req.Owner, req.Key = "a1", 7
	if _, r, _ := offer(s, start, req); r != HotKey {
		t.Errorf("refusal %v", r)
	}
	req = newRequest()
	req.Owner, req.Key, req.Retry = "a1", 7, true
	mustGrant(t, s, start, req)
}

// TestWarmUpRaisesReportedWorkTime guards against an underestimate right after a start: the
// reported work time is then the mean of the service, and a warming upstream is slower.
func TestWarmUpRaisesReportedWorkTime(t *testing.T) {
	s := newService()
	one := instanceList("a1")
	one[0].WarmUp = time.Second
	s.typicalWorkTime = 100 * ms
	s.SetUpstreams(start, one)
	s.ApplyReport(start, ClusterReport{Gateways: 1, WorkTimes: map[string]worktime.Estimate{"a1": {Work: 100 * ms, Slowness: 1}}})
	u := s.upstream(start, "a1")
	if got := u.currentWorkTime(start, s.typicalWorkTime); got != 200*ms {
		t.Errorf("work time %s during warm-up", got)
	}
	if got := u.currentWorkTime(at(2*time.Second), s.typicalWorkTime); got != 100*ms {
		t.Errorf("work time %s after warm-up", got)
	}
}

// TestFewUpstreamsAreCompared checks that a gateway uses the same few upstreams while they are
// healthy, that other gateways use others, and that more are tried when these fail.
func TestFewUpstreamsAreCompared(t *testing.T) {
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i))
	}
	used := func(seed uint64, fail bool) map[string]bool {
		s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(seed, 2)))
		s.SetUpstreams(start, instanceList(ids...))
		s.ApplyReport(start, ClusterReport{Gateways: 300})
		out := make(map[string]bool)
		for i := range 100 {
			now := at(time.Duration(i) * 100 * ms)
			g := mustGrant(t, s, now, newRequest())
			out[g.Instance.ID] = true
			end := Answered
			if fail {
				end = Failed
			}
			s.Done(now.Add(50*ms), g, end)
		}
		return out
	}
	one, other := used(1, false), used(7, false)
	if len(one) > 2*candidates || len(other) > 2*candidates {
		t.Errorf("%d and %d upstreams used", len(one), len(other))
	}
	if cmp.Equal(one, other) {
		t.Error("two gateways use the same upstreams")
	}
	if n := len(used(1, true)); n <= 2*candidates {
		t.Errorf("only %d upstreams tried although all fail", n)
	}
}

// TestEachRequestGetsOneDecision checks with random events that each request gets exactly one
// decision and that no slot stays taken.
func TestEachRequestGetsOneDecision(t *testing.T) {
	s := newService("a1", "b1", "c1")
	rng := rand.New(rand.NewPCG(3, 4))
	var running []Grant
	now, verdicts, offered, withdrawn := start, 0, 0, 0
	var waiting []*Request
	for range 5000 {
		now = now.Add(time.Duration(rng.IntN(8)) * ms)
		switch rng.IntN(4) {
		case 0, 1:
			offered++
			req := &Request{Objective: 200 * ms, Deadline: now.Add(400 * ms), QueueUntil: now.Add(50 * ms), Priority: rng.IntN(3)}
			req.OnDecision = func(d Decision) {
				verdicts++
				if d.Granted() {
					running = append(running, d.Grant)
				}
			}
			if d, decided := s.Offer(now, req); decided {
				req.OnDecision(d)
			} else {
				waiting = append(waiting, req)
			}
		case 2:
			if len(running) > 0 {
				i := rng.IntN(len(running))
				g := running[i]
				running = append(running[:i], running[i+1:]...)
				s.Done(now, g, Outcome(rng.IntN(int(Canceled)+1)))
			}
		case 3:
			if len(waiting) > 0 && rng.IntN(4) == 0 {
				if s.Withdraw(waiting[0]) {
					withdrawn++
				}
				waiting = waiting[1:]
			}
			s.Tick(now)
		}
	}
	for len(running) > 0 {
		g := running[0]
		running = running[1:]
		s.Done(now, g, Answered)
	}
	s.Tick(now.Add(time.Minute))
	for len(running) > 0 {
		g := running[0]
		running = running[1:]
		s.Done(now, g, Answered)
	}
	if verdicts+withdrawn != offered || s.Waiting() != 0 {
		t.Errorf("%d offered, %d verdicts, %d withdrawn, %d waiting", offered, verdicts, withdrawn, s.Waiting())
	}
	for _, u := range s.inUse {
		if u.ownInFlight != 0 || len(u.unanswered) != 0 {
			t.Errorf("%s: %d in flight, %d unanswered", u.ID, u.ownInFlight, len(u.unanswered))
		}
	}
}

// TestLeavingOwner checks that a leaving owner gets requests for its keys until they have moved,
// but no longer than allowed.
func TestLeavingOwner(t *testing.T) {
	s := newService("a1")
	leaving := instanceList("a1")
	leaving[0].Leaving = true
	s.SetUpstreams(start, leaving)
	req := newRequest()
	req.Owner, req.QueueUntil, req.Deadline = "a1", at(time.Minute), at(time.Minute)
	mustGrant(t, s, at(time.Second), req)
	if _, r, decided := offer(s, at(2*time.Second), req); decided && r == 0 {
		t.Error("granted two seconds after the owner was first seen leaving")
	}
}

// TestInflightEstimateWithoutReports checks that the other gateways are assumed to send as much as
// this one before the first report and as a report ages. Otherwise each gateway would fill an
// upstream on its own.
func TestInflightEstimateWithoutReports(t *testing.T) {
	fresh := NewService("a", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
	fresh.SetUpstreams(start, instanceList("a1"))
	u := fresh.upstream(start, "a1")
	u.ownInFlight = 2
	if n := u.totalInFlight(start); n != 2*assumedGateways {
		t.Errorf("%v in flight before any report", n)
	}
	fresh.ApplyReport(start, ClusterReport{InFlight: map[string]float64{"a1": 3}, Gateways: 4})
	if n := u.totalInFlight(start); n != 5 {
		t.Errorf("%v in flight right after a report", n)
	}
	if n := u.totalInFlight(at(time.Minute)); n < 7.9 || n > 8 {
		t.Errorf("%v in flight after an old report, want about 8", n)
	}
}

// TestConnectionBrokenByFullUpstream checks that an upstream that breaks a connection with all its
// slots taken counts as full and gets no requests for a moment, while with free slots this is an
// ordinary failure. Without the pause, second tries reached the same full upstream 2 ms after the
// first: in one simulation this gave 446 answers of unknown outcome.
func TestConnectionBrokenByFullUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		running int
		want    bool
	}{"full": {5, false}, "slots free": {1, true}} {
		s := serviceWithWorkTime(10 * ms)
		req := newRequest()
		req.Objective = time.Minute
		var last Grant
		for range c.running {
			last = mustGrant(t, s, start, req)
		}
		s.Done(at(ms), last, ConnectionBroken)
		again := newRequest()
		again.Objective = time.Minute
		again.OnDecision = func(Decision) {}
		if _, _, decided := offer(s, at(ms), again); decided != c.want {
			t.Errorf("%s: decided at once: %t", name, decided)
		}
	}
}

// TestRequestsStayInTheirRegion checks that requests go to other regions only while no upstream of the
// own one has a free slot.
func TestRequestsStayInTheirRegion(t *testing.T) {
	s := NewService("a", 2*time.Second, rand.New(rand.NewPCG(1, 2)))
	s.SetRegions(map[string]string{"a": "north", "b": "north", "c": "south"})
	s.SetUpstreams(start, instanceList("b1", "c1"))
	s.ApplyReport(start, ClusterReport{Gateways: 1})
	var ids []string
	for range 4 {
		ids = append(ids, mustGrant(t, s, start, newRequest()).Instance.ID)
	}
	if d := cmp.Diff([]string{"b1", "b1", "c1", "c1"}, ids); d != "" {
		t.Error(d)
	}
}
