package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// queued returns a request for the queue whose latest start is given.
func queued(priority int, startBy, deadline time.Duration) *Request {
	return &Request{
		Priority: priority, startBy: at(startBy), LateAt: at(startBy + 100*ms), Deadline: at(deadline), QueueUntil: at(time.Hour), Objective: time.Second,
	}
}

// order returns the requests of a queue in the order in which they are to be sent.
func order(q *queue, k *kinds) []*Request {
	var out []*Request
	q.forEach(k, func(req *Request) (remove, stop bool) {
		out = append(out, req)
		return false, false
	})
	return out
}

// TestLeastSlackGoesFirst guards against first come, first served: a request with a long objective that
// came first would make one with a short objective late.
func TestLeastSlackGoesFirst(t *testing.T) {
	var q queue
	patient, urgent, minor := queued(1, 900*ms, time.Second), queued(1, 100*ms, time.Second), queued(2, 50*ms, time.Second)
	for _, req := range []*Request{minor, patient, urgent} {
		q.add(req)
	}
	if got := order(&q, &kinds{}); !slices.Equal(got, []*Request{urgent, patient, minor}) {
		t.Errorf("order %v", got)
	}
	if work, any := q.ahead(&kinds{}, queued(1, 500*ms, time.Second)); work != 1 || !any {
		t.Errorf("%g runs are ahead of a request between both, want 1", work)
	}
}

// TestQueueStaysConsistent compares a queue under random changes with a plain list.
func TestQueueStaysConsistent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var q queue
	var all []*Request
	for step := range 5000 {
		switch req := queued(rng.IntN(3), time.Duration(rng.IntN(50))*ms, time.Second); rng.IntN(4) {
		case 0:
			if len(all) > 0 {
				i := rng.IntN(len(all))
				q.remove(all[i])
				q.remove(all[i])
				all = slices.Delete(all, i, i+1)
			}
		case 1:
			odds, end := rng.Float64(), rng.IntN(20)
			q.forEach(&kinds{}, func(req *Request) (remove, stop bool) {
				if remove = rng.Float64() < odds/4; remove {
					all = slices.DeleteFunc(all, func(other *Request) bool { return other == req })
				}
				end--
				return remove, end <= 0
			})
		default:
			q.add(req)
			all = append(all, req)
		}
		want := slices.Clone(all)
		slices.SortStableFunc(want, func(a, b *Request) int {
			if a.Priority != b.Priority {
				return a.Priority - b.Priority
			}
			return a.startBy.Compare(b.startBy)
		})
		if got := order(&q, &kinds{}); q.size != len(all) || !slices.Equal(got, want) {
			t.Fatalf("step %d: %d requests in the queue, want %d in the same order", step, q.size, len(all))
		}
		work := 0.0
		for _, l := range q.levels {
			work += l.work
		}
		if work < float64(len(all))-0.001 || work > float64(len(all))+0.001 {
			t.Fatalf("step %d: work %g of %d requests", step, work, len(all))
		}
	}
}

// TestLateRequestsLeaveAtOnce guards against holding a request that can no longer be in time until its
// waiting time ends: its caller learns too late to come back.
func TestLateRequestsLeaveAtOnce(t *testing.T) {
	var q queue
	tooLate, inTime := queued(0, -ms, 5*time.Second), queued(0, 500*ms, time.Second)
	mayBeLate := queued(0, -ms, time.Second)
	mayBeLate.LateAt = time.Time{}
	for _, req := range []*Request{tooLate, inTime, mayBeLate} {
		q.add(req)
	}
	var left []*Request
	q.shed(start, &kinds{}, pace{perSecond: 1000}, func(req *Request) { left = append(left, req) })
	if !slices.Equal(left, []*Request{tooLate}) || q.size != 2 {
		t.Errorf("%d requests left, want only the one that is too late", len(left))
	}
}

// TestMostTimeLeftIsRefused: when a request cannot be in time because of the work ahead of it, the one
// of those up to there leaves that has the most time to come back, and only as many as needed.
func TestMostTimeLeftIsRefused(t *testing.T) {
	var q queue
	var all []*Request
	for i := range 10 {
		// At 10 runs a second the last but one of eight is in time.
		deadline := time.Second
		if i == 2 || i == 5 || i == 6 {
			deadline = time.Duration(10+i) * time.Second
		}
		req := queued(0, 650*ms+time.Duration(i)*time.Microsecond, deadline)
		all = append(all, req)
		q.add(req)
	}
	var left []*Request
	q.shed(start, &kinds{}, pace{perSecond: 10}, func(req *Request) { left = append(left, req) })
	if !slices.Equal(left, []*Request{all[6], all[5], all[2]}) {
		t.Errorf("%d requests left: %v", len(left), left)
	}
}

// TestAllExcessLeavesAtOnce guards against a queue that keeps half of the requests that cannot be in time
// until the next tick.
func TestAllExcessLeavesAtOnce(t *testing.T) {
	var q queue
	for i := range 10 {
		q.add(queued(0, 5*ms+time.Duration(i)*time.Microsecond, time.Second))
	}
	left := 0
	q.shed(start, &kinds{}, pace{perSecond: 0.1}, func(*Request) { left++ })
	if left != 9 {
		t.Errorf("%d of the 9 requests behind the first one left", left)
	}
}

// kindsUnderLoad returns the kinds of a service of which the given shares of the requests were granted.
func kindsUnderLoad(granted ...float64) *kinds {
	k := &kinds{}
	for priority, share := range granted {
		for i := range 100 {
			req := &Request{Priority: priority, Objective: 500 * ms}
			k.offer(start, req)
			if float64(i) < 100*share {
				k.grant(req)
			}
		}
	}
	return k
}

// TestImportanceIsBounded: a kind that gets next to nothing goes first, and one that gets more than a
// more important one gets only free slots.
func TestImportanceIsBounded(t *testing.T) {
	lesser := &Request{Priority: 1, Objective: 2 * time.Second}
	for _, c := range []struct {
		granted   []float64
		lesserIs1 bool
		maxDelay  time.Duration
	}{
		{[]float64{0.9, 0.8}, false, 300 * ms},
		{[]float64{0.9, 0.2}, true, 3200 * ms},
		{[]float64{0.6, 0.9}, false, 0},
	} {
		k := kindsUnderLoad(c.granted...)
		if got := k.before(1, 0); got != c.lesserIs1 {
			t.Errorf("granted %v: the lesser kind goes first: %v", c.granted, got)
		}
		if got := k.maxDelay(lesser); got != c.maxDelay {
			t.Errorf("granted %v: maximum delay of the lesser kind %s, want %s", c.granted, got, c.maxDelay)
		}
		if got := k.maxDelay(&Request{Objective: time.Second}); got != 1600*ms {
			t.Errorf("granted %v: maximum delay of the important kind %s", c.granted, got)
		}
	}
}

// TestKindsAreBounded guards against unbounded memory for false priorities.
func TestKindsAreBounded(t *testing.T) {
	k := &kinds{}
	for i := range 1000 {
		req := &Request{Priority: i, Objective: time.Second}
		k.offer(start, req)
		k.grant(req)
		k.maxDelay(req)
	}
	if len(k.list) > maxKinds {
		t.Errorf("%d kinds", len(k.list))
	}
}

// TestRareImportantKindDoesNotHoldOthersBack: a few important requests with a short objective must not
// keep all others from queueing at upstreams.
func TestRareImportantKindDoesNotHoldOthersBack(t *testing.T) {
	k := kindsUnderLoad(0, 0.9)
	k = &kinds{list: k.list[1:], offered: 100, decayedAt: start}
	k.offer(start, &Request{Priority: 0, Objective: ms})
	if got := k.maxDelay(&Request{Priority: 1, Objective: time.Second}); got != 1600*ms {
		t.Errorf("maximum delay %s", got)
	}
}

// BenchmarkWait measures one Offer that has to wait with its Withdraw, behind others. The target is 0.7 us
// and no allocation with 500 waiting.
func BenchmarkWait(b *testing.B) {
	for _, waiting := range []int{1, 500} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			s := busyService(b, 313, waiting)
			now := start.Add(time.Second)
			req := &Request{Owner: "u0", Objective: time.Hour, Deadline: now.Add(time.Hour), QueueUntil: now.Add(time.Hour), OnDecision: func(Decision) {}}
			b.ReportAllocs()
			for b.Loop() {
				req.dequeued = false
				if _, _, decided := offer(s, now, req); decided {
					b.Fatal("the request did not wait")
				}
				s.Withdraw(req)
			}
		})
	}
}
