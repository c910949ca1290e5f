package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// What an upstream may get that names a limit: from settledAfter after it first named it, in any
// limitWindow no more than limitSlack times what the limit allows in it and limitExtra requests.
const (
	settledAfter = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitSlack   = 1.5
	limitExtra   = 5
)

// mostAllowed is how many requests may come in one window.
func mostAllowed(perSecond float64) int {
	return int(limitSlack*perSecond*limitWindow.Seconds()) + limitExtra
}

// mostIn returns the most requests that came in any window which ends after the limit has
// settled. The window may begin before the limit was named: what came then is in the
// upstream's queue.
func mostIn(arrivals []time.Time, named time.Time) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		if at.Sub(named) >= settledAfter {
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestNamedLimitsAreKept is a regression test.
//
// What users saw: two upstreams in need named limits of about a third of what they got, and went
// on getting all of it, three times what they had asked for, from eleven gateways.
// Order of events: calm load; an upstream names its limit with each answer; three seconds later it
// has got 180 requests in 4 s where 114 were allowed.
// Cause: nothing read the limit, a header of the answers that was handed on with all others; and
// each gateway by itself could not have kept to a sum over all.
// Evidence: with the lines and metrics of limits in place all gateways noticed the limit within the
// first answers, and what they sent stayed what it was. Gateways that each keep to the limit send
// 160 requests in 4 s of 40 allowed (quota.TestIsolatedGatewaysExceedRate).
func TestNamedLimitsAreKept(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	const (
		perSecond = 20
		load      = 6 * time.Second
		clients   = 4
	)
	var paid, refused atomic.Int64
	ask := func(stop <-chan struct{}, n int) {
		for i := n; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(every):
			}
			g := b.gateways[i%len(b.gateways)]
			if n%2 == 0 {
				b.request(g, http.MethodGet, "/status/x", (i*7919)%65536)
			} else if a := b.request(g, http.MethodPost, "/pay/x", -1); a.status == http.StatusOK {
				paid.Add(1)
			} else {
				refused.Add(1)
			}
		}
	}
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for n := range 2 * clients {
		asking.Go(func() { ask(stop, n) })
	}
	time.Sleep(time.Second)
	named := time.Now()
	owner, other := b.upstreams["i-s0"], b.upstreams["i-p0"]
	owner.Name(perSecond)
	other.Name(perSecond)
	time.Sleep(load)
	close(stop)
	asking.Wait()
	for _, u := range []*upstream{owner, other} {
		if got := mostIn(u.Arrivals(), named); got > mostAllowed(perSecond) {
			t.Errorf("%s named %d a second and got %d requests in 4 s, allowed %d", u.ID, perSecond, got, mostAllowed(perSecond))
		}
	}
	if paid.Load() == 0 || refused.Load() > paid.Load()/100 {
		t.Errorf("%d payments answered, %d not, though an upstream without a limit is half idle", paid.Load(), refused.Load())
	}
}

// TestKeysMoveOffALimitedOwner: what an owner names as its limit is what it can run, so the keys
// that it is asked for beyond that go to others, and their requests are answered.
func TestKeysMoveOffALimitedOwner(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	const (
		perSecond = 10
		clients   = 4
		settled   = 4 * time.Second
		counted   = 2 * time.Second
	)
	var answered, refused atomic.Int64
	stop := make(chan struct{})
	var asking sync.WaitGroup
	for n := range clients {
		asking.Go(func() {
			for i := n; ; i += clients {
				select {
				case <-stop:
					return
				case <-time.After(every):
				}
				if a := b.request(b.gateways[i%len(b.gateways)], http.MethodGet, "/status/x", (i*7919)%65536); a.status == http.StatusOK {
					answered.Add(1)
				} else {
					refused.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Second)
	b.upstreams["i-s0"].Name(perSecond)
	time.Sleep(settled)
	answered.Store(0)
	refused.Store(0)
	time.Sleep(counted)
	close(stop)
	asking.Wait()
	if yes, no := answered.Load(), refused.Load(); no > yes/20 {
		t.Errorf("%d requests for keys answered, %d not, %s after an owner of a third of them named its limit", yes, no, settled)
	}
}

// TestLimitOfNoneEnds: an upstream that takes no requests for a while is asked now and then, and
// serves again when it takes some.
func TestLimitOfNoneEnds(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.upstream("i-s0", "status")
	only := b.upstream("i-p0", "pay")
	g := b.gateway("g0")
	b.ready()
	only.Name(0)
	b.eventually("its limit is known", func() bool {
		b.request(g, http.MethodPost, "/pay/x", -1)
		return g.named("pay") == "1"
	})
	for range 40 {
		time.Sleep(every)
		b.request(g, http.MethodPost, "/pay/x", -1)
	}
	only.NameNone()
	b.eventually("it serves again", func() bool {
		time.Sleep(every)
		return b.request(g, http.MethodPost, "/pay/x", -1).status == http.StatusOK && g.named("pay") == "0"
	})
}

// every is the time between two requests of a client.
const every = 25 * time.Millisecond
