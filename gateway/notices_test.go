package gateway

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
)

// Bounds on the requests that upstreams may get after a notice.
const (
	// leavingGrace is how long after a response announcing that its upstream is leaving a gateway
	// may still accept requests that it sends there.
	leavingGrace = 2 * time.Second
	// restGrace is how long a gateway may continue to send after it was asked for a rest. From then
	// until the end of the rest it may send maxRequestsInRest requests.
	restGrace         = 500 * time.Millisecond
	maxRequestsInRest = 2
)

// exchange is one request of a client and its response.
type exchange struct {
	gateway        string
	path           string
	sent, answered time.Time
	status         int
	leaving        bool
}

// requestRecord holds the requests that clients have sent, by request ID. It is safe for
// concurrent use.
type requestRecord struct {
	mu       sync.Mutex
	requests map[string]exchange
}

// startClients starts clients that request keys or send payments to all gateways in turn until
// stop is closed.
func (b *testCluster) startClients(clients int, stop <-chan struct{}) (*requestRecord, *sync.WaitGroup) {
	r := &requestRecord{requests: make(map[string]exchange)}
	var running sync.WaitGroup
	ask := func(n, i int) {
		g := b.gateways[i%len(b.gateways)]
		method, path, key := http.MethodGet, "/status/x", (i*7919)%65536
		if n%2 == 1 {
			method, path, key = http.MethodPost, "/pay/x", -1
		}
		sent := time.Now()
		a := b.request(g, method, path, key)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.requests[a.id] = exchange{
			gateway: g.conf.Node, path: path, sent: sent, answered: time.Now(), status: a.status,
			leaving: a.header.Get(platform.LeavingHeader) != "",
		}
	}
	for n := range clients {
		running.Go(func() {
			for i := n; ; i += clients {
				select {
				case <-stop:
					return
				case <-time.After(requestInterval):
					ask(n, i)
				}
			}
		})
	}
	return r, &running
}

// sentTooLate returns, by gateway, how many requests reached the upstream although clients sent
// them more than leavingGrace after a response through that gateway had announced that the upstream
// is leaving.
func (r *requestRecord) sentTooLate(u *upstream) map[string]int {
	arrived := u.Arrivals()
	noticed := make(map[string]time.Time)
	for _, a := range arrived {
		e, ok := r.requests[a.RequestID]
		if first, known := noticed[e.gateway]; ok && e.leaving && (!known || e.answered.Before(first)) {
			noticed[e.gateway] = e.answered
		}
	}
	late := make(map[string]int)
	for _, a := range arrived {
		e := r.requests[a.RequestID]
		if first, known := noticed[e.gateway]; known && e.sent.Sub(first) > leavingGrace {
			late[e.gateway]++
		}
	}
	return late
}

// maxInRests returns, by gateway, the most requests that it sent during a rest it had been asked
// for, from restGrace on.
func (r *requestRecord) maxInRests(u *upstream) map[string]int {
	byGateway := make(map[string][]instance.Arrival)
	for _, a := range u.Arrivals() {
		if e, ok := r.requests[a.RequestID]; ok {
			byGateway[e.gateway] = append(byGateway[e.gateway], a)
		}
	}
	most := make(map[string]int)
	for gateway, arrivals := range byGateway {
		for _, asked := range arrivals {
			count := 0
			for _, a := range arrivals {
				if since := a.ReceivedAt.Sub(asked.ReceivedAt); since > restGrace && since < asked.RetryAfter {
					count++
				}
			}
			most[gateway] = max(most[gateway], count)
		}
	}
	return most
}

// served counts the responses to requests for a path that clients sent after the given time, and
// how many of them were not successful.
func (r *requestRecord) served(path string, after time.Time) (all, not int) {
	for _, e := range r.requests {
		if e.path != path || !e.sent.After(after) {
			continue
		}
		all++
		if e.status != http.StatusOK {
			not++
		}
	}
	return all, not
}

// TestLeavingUpstreamsGetNoMoreRequests guards against gateways that ignore an upstream's notice
// that it is leaving. While the store was silent, its entry still marked the upstream as ready, and
// gateways read only the entry and passed the notice on like any other header. The upstream got
// requests until its end, eleven seconds after its first notice; two seconds are allowed.
func TestLeavingUpstreamsGetNoMoreRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		away bool
	}{
		{"the store silent", true},
		{"the entry outdated", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			stop := make(chan struct{})
			asked, running := b.startClients(8, stop)
			if c.away {
				b.store.SetAllModes(metastore.Unresponsive)
			}
			time.Sleep(time.Second)
			owner, other := b.upstreams["i-s0"], b.upstreams["i-p0"]
			announced := time.Now()
			owner.AnnounceLeaving()
			other.AnnounceLeaving()
			time.Sleep(2 * leavingGrace)
			close(stop)
			running.Wait()
			for _, u := range []*upstream{owner, other} {
				for gateway, n := range asked.sentTooLate(u) {
					t.Errorf("%s got %d requests from %s that clients sent more than %s after its notice", u.ID, n, gateway, leavingGrace)
				}
			}
			if all, not := asked.served("/pay/x", announced); all == 0 || not > 0 {
				t.Errorf("%d of %d payments not answered although another upstream stays", not, all)
			}
		})
	}
}

// TestRestsAreRespected guards against gateways that ignore the rest that an upstream asks for
// when it refuses a request. The rest was not read, and a refusal for lack of capacity paused the
// upstream for at most 60 ms, so the gateway sent the same request again a millisecond later.
// Upstreams that had asked each gateway for three seconds of rest got three times their former
// load and refused all of it. A third of the requests for the service was refused, many of them
// after two tries at the same upstream.
func TestRestsAreRespected(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	stop := make(chan struct{})
	asked, running := b.startClients(8, stop)
	time.Sleep(time.Second)
	owner, other := b.upstreams["i-s0"], b.upstreams["i-p0"]
	owner.Overload("1.5")
	other.Overload("1.5")
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()
	for _, u := range []*upstream{owner, other} {
		for gateway, n := range asked.maxInRests(u) {
			if n > maxRequestsInRest {
				t.Errorf("%s asked %s for 1.5 s of rest and got %d requests after the first half second, allowed %d", u.ID, gateway, n, maxRequestsInRest)
			}
		}
	}
}

// TestKeysOfLeavingAndRestingOwnersMove checks that an owner loses its keys when it announces in
// its responses that it is leaving, or asks all gateways for a rest, although its entry marks it as
// ready, and that other upstreams then answer the callers.
func TestKeysOfLeavingAndRestingOwnersMove(t *testing.T) {
	t.Parallel()
	const settled = time.Second
	for _, c := range []struct {
		name     string
		announce func(*upstream)
	}{
		{"leaves", func(u *upstream) { u.AnnounceLeaving() }},
		{"rests", func(u *upstream) { u.Overload("3") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			stop := make(chan struct{})
			asked, running := b.startClients(8, stop)
			time.Sleep(time.Second)
			announced := time.Now()
			c.announce(b.upstreams["i-s0"])
			time.Sleep(2 * settled)
			if n := b.spansOwnedBy("i-s0"); n > 0 {
				t.Errorf("the owner still has %d spans after %s", n, 2*settled)
			}
			close(stop)
			running.Wait()
			if all, not := asked.served("/status/x", announced.Add(settled)); all == 0 || not > all/50 {
				t.Errorf("%d of %d requests for keys not answered from %s after the notice on", not, all, settled)
			}
		})
	}
}
