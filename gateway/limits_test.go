package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Bounds on the requests that an upstream with a limit may get: from limitGrace after it first
// announced the limit, in any limitWindow at most limitSlack times what the limit allows in that
// window plus limitExtra requests.
const (
	limitGrace  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitSlack  = 1.5
	limitExtra  = 5
)

// maxAllowed returns how many requests may arrive in one window.
func maxAllowed(perSecond float64) int {
	return int(limitSlack*perSecond*limitWindow.Seconds()) + limitExtra
}

// maxInWindow returns the most requests that arrived in any window that ends at least limitGrace
// after the limit was announced. The window may begin before that: requests from then wait in the
// upstream's queue.
func maxInWindow(arrivals []time.Time, named time.Time) int {
	most, first := 0, 0
	for last, at := range arrivals {
		for at.Sub(arrivals[first]) >= limitWindow {
			first++
		}
		if at.Sub(named) >= limitGrace {
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestAnnouncedLimitsAreRespected guards against gateways that ignore the limit in an upstream's
// answers, or that each keep to it alone. Two upstreams that announced a limit of about a third of
// their load kept getting all of it from eleven gateways, as the limit was passed on to callers
// like any other header but not read: three seconds after the first response with a limit an
// upstream got 180 requests in 4 s where 114 were allowed. Gateways that each keep to the whole
// limit send 160 requests in 4 s where 40 are allowed (quota.TestIsolatedGatewaysExceedRate).
func TestAnnouncedLimitsAreRespected(t *testing.T) {
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
			case <-time.After(requestInterval):
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
	var running sync.WaitGroup
	for n := range 2 * clients {
		running.Go(func() { ask(stop, n) })
	}
	time.Sleep(time.Second)
	named := time.Now()
	owner, other := b.upstreams["i-s0"], b.upstreams["i-p0"]
	owner.AdvertiseLimit(perSecond)
	other.AdvertiseLimit(perSecond)
	time.Sleep(load)
	close(stop)
	running.Wait()
	for _, u := range []*upstream{owner, other} {
		if got := maxInWindow(u.ArrivalTimes(), named); got > maxAllowed(perSecond) {
			t.Errorf("%s named %d a second and got %d requests in 4 s, allowed %d", u.ID, perSecond, got, maxAllowed(perSecond))
		}
	}
	if paid.Load() == 0 || refused.Load() > paid.Load()/100 {
		t.Errorf("%d payments answered, %d refused although an upstream without a limit is half idle", paid.Load(), refused.Load())
	}
}

// TestKeysMoveOffALimitedOwner checks that keys move away from an owner that gets more requests
// than the limit it announces, and that requests for these keys are then answered by others.
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
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			for i := n; ; i += clients {
				select {
				case <-stop:
					return
				case <-time.After(requestInterval):
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
	b.upstreams["i-s0"].AdvertiseLimit(perSecond)
	time.Sleep(settled)
	answered.Store(0)
	refused.Store(0)
	time.Sleep(counted)
	close(stop)
	running.Wait()
	if yes, no := answered.Load(), refused.Load(); no > yes/20 {
		t.Errorf("%d requests for keys answered, %d not, %s after an owner of a third of them named its limit", yes, no, settled)
	}
}

// TestZeroLimitEnds checks that an upstream with a limit of zero still gets a request now and
// then, and serves again once it accepts requests.
func TestZeroLimitEnds(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.upstream("i-s0", "status")
	only := b.upstream("i-p0", "pay")
	g := b.gateway("g0")
	b.ready()
	only.AdvertiseLimit(0)
	b.eventually("its limit is known", func() bool {
		b.request(g, http.MethodPost, "/pay/x", -1)
		return g.named("pay") == "1"
	})
	for range 40 {
		time.Sleep(requestInterval)
		b.request(g, http.MethodPost, "/pay/x", -1)
	}
	only.ClearLimit()
	b.eventually("it serves again", func() bool {
		time.Sleep(requestInterval)
		return b.request(g, http.MethodPost, "/pay/x", -1).status == http.StatusOK && g.named("pay") == "0"
	})
}

// requestInterval is the time between two requests of a client.
const requestInterval = 25 * time.Millisecond
