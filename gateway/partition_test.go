package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file tests what becomes of requests when a failure domain is cut off.

const domainUpstreams = 5

// newTwoDomainCluster returns a test cluster in the domains a and b with a gateway in each, of which the one
// in the given domain leads.
func newTwoDomainCluster(t *testing.T, leading string) (b *testCluster, a, other *testGateway) {
	t.Helper()
	b = newTestCluster(t)
	for i := range domainUpstreams {
		for _, domain := range []string{"a", "b"} {
			b.upstreamIn(domain, fmt.Sprintf("i-%s%d", domain, i), "status")
			b.upstreamIn(domain, fmt.Sprintf("i-p%s%d", domain, i), "pay")
		}
	}
	started := make(map[string]*testGateway)
	for _, domain := range []string{leading, "a", "b"} {
		if started[domain] != nil {
			continue
		}
		b.changeSettings = func(conf *settings.Gateway) { conf.Domain = domain }
		started[domain] = b.gateway("g-" + domain)
		// The first one leads before the other starts, which could win the lease on a busy machine.
		b.eventually("a leader", func() bool { return b.leader() != nil })
	}
	b.ready()
	if b.leader() != started[leading] {
		t.Fatalf("the gateway in %s does not lead", leading)
	}
	return b, started["a"], started["b"]
}

// silence sets the mode of all upstreams of a domain.
func (b *testCluster) silence(domain string, mode instance.Mode) {
	for _, u := range b.upstreams {
		if u.domain == domain {
			u.SetMode(mode)
		}
	}
}

// sampled is what became of requests to the keys of one domain's upstreams in one second.
type sampled struct {
	answered, refused int
	// late counts responses after more than the route's objective of 1 s.
	late   int
	causes map[string]int
	// refusedAfter is the sum of the times until the refusals.
	refusedAfter time.Duration
	retries      []float64
}

// sample sends requests to a gateway for the duration: for keys of both domains, as of now, and without a
// key.
func (b *testCluster) sample(t *testing.T, g *testGateway, d time.Duration) map[string][]*sampled {
	t.Helper()
	keys := map[string][]int{"none": {-1}}
	for key := 0; key <= spans.MaxKey; key += 977 {
		domain := b.upstreams[g.view.spansOf("status").Find(uint16(key)).Owner].domain
		keys[domain] = append(keys[domain], key)
	}
	out, began := make(map[string][]*sampled), time.Now()
	var mu sync.Mutex
	var all sync.WaitGroup
	for n := 0; time.Since(began) < d; n++ {
		for group, list := range keys {
			path, method := "/status/x", http.MethodGet
			if group == "none" {
				path, method = "/pay/x", http.MethodPost
			}
			all.Go(func() {
				sent := time.Now()
				a := b.request(g, method, path, list[n%len(list)])
				took := time.Since(sent)
				mu.Lock()
				defer mu.Unlock()
				second := int(sent.Sub(began) / time.Second)
				for len(out[group]) <= second {
					out[group] = append(out[group], &sampled{causes: make(map[string]int)})
				}
				s := out[group][second]
				if took > time.Second {
					s.late++
				}
				if a.status == http.StatusOK {
					s.answered++
					return
				}
				s.refused++
				s.refusedAfter += took
				s.causes[fmt.Sprintf("%d %.90s", a.status, a.body)]++
				if seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
					s.retries = append(s.retries, seconds)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	all.Wait()
	for _, group := range slices.Sorted(maps.Keys(out)) {
		for second, s := range out[group] {
			slices.Sort(s.retries)
			first, last := 0.0, 0.0
			if len(s.retries) > 0 {
				first, last = s.retries[0], s.retries[len(s.retries)-1]
			}
			t.Logf("keys of %s, second %d: answered %d, refused %d after %v on average, after more than 1 s %d, Retry-After %.2f to %.2f, %v", group, second, s.answered, s.refused, s.refusedAfter/time.Duration(max(s.refused, 1)), s.late, first, last, s.causes)
		}
	}
	return out
}

// TestDomainCutOffFromLeader cuts a failure domain off from the leader, the store and the other domain.
// Requests without keys go on, and keys of its own upstreams are served as long as these hold them.
// Requests for owners out of reach are refused at once and told that another gateway may serve them.
func TestDomainCutOffFromLeader(t *testing.T) {
	t.Parallel()
	b, leader, g := newTwoDomainCluster(t, "a")
	leader.kill()
	b.store.Endpoint("g-b").SetMode(metastore.Unresponsive)
	b.silence("a", instance.Unresponsive)
	out := b.sample(t, g, 6*time.Second)
	for second, s := range out["none"] {
		if s.answered < 9*s.refused {
			t.Errorf("without keys, second %d: %d answered, %d refused", second, s.answered, s.refused)
		}
	}
	for second, s := range out["b"][:3] {
		if s.answered < 9*s.refused {
			t.Errorf("keys of the own domain, second %d: %d answered, %d refused", second, s.answered, s.refused)
		}
	}
	for second, s := range out["a"][1:] {
		for cause, n := range s.causes {
			if strings.Contains(cause, "no ups") {
				t.Errorf("keys of the other domain, second %d: %d have waited for room: %s", second+1, n, cause)
			}
		}
		if len(s.retries) > 0 && s.retries[len(s.retries)-1] > time.Second.Seconds() {
			t.Errorf("keys of the other domain, second %d: told to come back after %v s", second+1, s.retries)
		}
	}
}

// TestDomainLost silences the upstreams of a failure domain and ends its gateway, which may be the leader.
// Their keys are given to others when their holds have ended. Until then requests for them are refused at
// once, to come back when that is due.
func TestDomainLost(t *testing.T) {
	t.Parallel()
	for _, leading := range []string{"a", "b"} {
		t.Run("leader in "+leading, func(t *testing.T) {
			b, g, lost := newTwoDomainCluster(t, leading)
			lost.kill()
			b.silence("b", instance.Unresponsive)
			out := b.sample(t, g, 6*time.Second)
			for second, s := range out["a"] {
				if s.answered < 9*s.refused {
					t.Errorf("keys of the other domain, second %d: %d answered, %d refused", second, s.answered, s.refused)
				}
			}
			for second, s := range out["b"][1:] {
				for cause, n := range s.causes {
					if strings.Contains(cause, "no ups") {
						t.Errorf("keys of the lost domain, second %d: %d have waited for room: %s", second+1, n, cause)
					}
				}
			}
			b.eventually("the keys of the lost domain are served", func() bool {
				for key := 0; key <= spans.MaxKey; key += 977 {
					if b.request(g, http.MethodGet, "/status/x", key).status != http.StatusOK {
						return false
					}
				}
				return true
			})
		})
	}
}
