package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/spans"
)

// settlesIn is the time after the end of a fault within which keys are to be even again.
const settlesIn = 13 * time.Second

// asking asks for keys all over the key space at all gateways, until it is stopped, and counts.
type asking struct {
	answered, refused atomic.Int64
	stop              chan struct{}
	clients           sync.WaitGroup
}

// askForKeys begins to ask, about a hundred times a second, the gateways that pick returns.
func (b *testCluster) askForKeys(pick func(i int) *testGateway) *asking {
	a := &asking{stop: make(chan struct{})}
	const clients = 4
	for n := range clients {
		a.clients.Go(func() {
			for i := n; ; i += clients {
				select {
				case <-a.stop:
					return
				case <-time.After(every):
				}
				g := pick(i)
				if g == nil {
					continue
				}
				if r := b.request(g, http.MethodGet, "/status/x", (i*7919)%(spans.MaxKey+1)); r.status == http.StatusOK {
					a.answered.Add(1)
				} else {
					a.refused.Add(1)
				}
			}
		})
	}
	return a
}

// counted returns what was answered and refused since the last call.
func (a *asking) counted() (answered, refused int64) { return a.answered.Swap(0), a.refused.Swap(0) }

// inTurn returns one gateway after the other, of those that do not change.
func (b *testCluster) inTurn(i int) *testGateway { return b.gateways[i%len(b.gateways)] }

func (a *asking) end() {
	close(a.stop)
	a.clients.Wait()
}

// owned is how many keys each upstream owns, as the leader knows.
func (b *testCluster) owned() map[string]int {
	out := make(map[string]int)
	for _, g := range b.gateways {
		if !g.cluster.isLeading() {
			continue
		}
		for _, s := range g.view.spansOf("status").Spans {
			out[s.Owner] += s.Count()
		}
	}
	return out
}

// TestUpstreamWithoutKeysGetsSome is a regression test.
//
// What users saw: for 14 seconds half of the grants, renewals and releases got no answer and took
// effect seconds later; all upstreams ran and answered requests. Three in four requests for keys were
// refused, and it stayed so for the 74 seconds that the day went on after the fault.
// Order of events: renewals without an answer, keys given to others, until one upstream has all of
// them; the fault ends; nothing moves any more.
// Cause: an upstream whose trial call was answered counted as failing until a grant was answered as
// well, and was tried no more. Once it had no keys nothing was granted to it, so it was never given
// any again.
// Evidence: eight of nine upstreams failing since the fault, each reached by a trial, without keys.
func TestUpstreamWithoutKeysGetsSome(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	asking := b.askForKeys(b.inTurn)
	defer asking.end()
	const id = "i-s0"
	k := b.leader().steward.keeper("status")
	k.mu.Lock()
	k.failing[id] = failure{since: k.now().Add(-ownership.SilentOwnerTimeout), last: k.now(), reached: true}
	// No renewal clears it while its keys move.
	k.renewing[id] = true
	k.mu.Unlock()
	b.eventually("its keys have gone to others", func() bool { return b.owned()[id] == 0 })
	k.mu.Lock()
	delete(k.renewing, id)
	k.mu.Unlock()
	b.eventually("it is given keys again", func() bool { return b.owned()[id] > 0 })
}

// TestKeysAreEvenAfterLateCalls: soon after a fault that left every second control call unanswered
// and carried it out later, keys are even, and requests for them are answered.
func TestKeysAreEvenAfterLateCalls(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	asking := b.askForKeys(b.inTurn)
	for _, u := range b.upstreams {
		u.Set(instance.LateCalls)
	}
	time.Sleep(8 * time.Second)
	for _, u := range b.upstreams {
		u.Set(instance.Serves)
	}
	time.Sleep(settlesIn)
	asking.counted()
	time.Sleep(2 * time.Second)
	answered, refused := asking.counted()
	asking.end()
	if refused > answered/50 {
		t.Errorf("%d answered, %d refused %s after the fault", answered, refused, settlesIn)
	}
	for _, id := range []string{"i-s0", "i-s1", "i-s2"} {
		if n := b.owned()[id]; n < (spans.MaxKey+1)/10 {
			t.Errorf("%s owns %d keys, %v", id, n, b.owned())
		}
	}
}

// TestAnsweringOwnersKeepTheirKeys: while half of the control calls get no answer, owners that
// answer requests are not taken for lost, and callers see little of it.
func TestAnsweringOwnersKeepTheirKeys(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	asking := b.askForKeys(b.inTurn)
	time.Sleep(time.Second)
	for _, u := range b.upstreams {
		u.Set(instance.LateCalls)
	}
	asking.counted()
	time.Sleep(8 * time.Second)
	answered, refused := asking.counted()
	asking.end()
	if refused > answered/20 {
		t.Errorf("%d answered, %d refused while every second control call is late", answered, refused)
	}
}
