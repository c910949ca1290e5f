package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
)

// teamConfig is config with the teams red and blue and an anonymous route.
func teamConfig(version uint64) platform.ConfigBody {
	c := config(version)
	open := c.Routes["read"]
	open.Path, open.Anonymous = "/open/", true
	c.Routes["open"] = open
	c.Teams = map[string]platform.TeamBody{
		"red":  {Credentials: []string{"red-1", "red-2"}},
		"blue": {Credentials: []string{"blue-1"}},
	}
	return c
}

func credential(values ...string) http.Header {
	return http.Header{platform.CredentialHeader: values}
}

// TestTeamsAreIdentified checks that a request runs only with the credential of a team, that
// upstreams get the name of that team whatever the client claims, and that no credential reaches
// them.
func TestTeamsAreIdentified(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.store.Put(platform.ConfigKind, platform.ConfigName, teamConfig(3))
	var mu sync.Mutex
	teams := make(map[string]string)
	b.onUpstreamRequest = func(r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		teams[r.Header.Get(platform.RequestID)] = strings.Join(r.Header[platform.TeamHeader], ",")
		if len(r.Header[platform.CredentialHeader]) > 0 {
			t.Error("a credential reached an upstream")
		}
	}
	b.upstream("s1", "status")
	b.upstream("p1", "pay")
	g := b.gateway("g1")
	b.ready()
	claiming := credential("red-2")
	claiming[platform.TeamHeader] = []string{"blue", "red"}
	for _, c := range []struct {
		name, path string
		header     http.Header
		status     int
		team       string
	}{
		{"credential of a team", "/pay/x", credential("red-1"), http.StatusOK, "red"},
		{"credential at a keyed service", "/status/x", credential("blue-1"), http.StatusOK, "blue"},
		{"another team claimed", "/pay/x", claiming, http.StatusOK, "red"},
		{"no credential", "/pay/x", nil, http.StatusUnauthorized, ""},
		{"empty credential", "/pay/x", credential(""), http.StatusUnauthorized, ""},
		{"unknown credential", "/pay/x", credential("green"), http.StatusUnauthorized, ""},
		{"two credentials", "/pay/x", credential("red-1", "blue-1"), http.StatusUnauthorized, ""},
		{"not ASCII", "/pay/x", credential("r\u00e9d"), http.StatusUnauthorized, ""},
		{"large", "/pay/x", credential(strings.Repeat("x", 8000)), http.StatusUnauthorized, ""},
		{"anonymous route", "/open/x", credential("green"), http.StatusOK, ""},
	} {
		got := b.requestWith(g, http.MethodGet, c.path, 7, c.header)
		if got.err != nil || got.status != c.status {
			t.Errorf("%s: status %d, error %v, want %d", c.name, got.status, got.err, c.status)
		}
		mu.Lock()
		if team, ran := teams[got.id]; team != c.team || ran != (c.status == http.StatusOK) {
			t.Errorf("%s: ran %t for team %q, want %q", c.name, ran, team, c.team)
		}
		mu.Unlock()
	}
}

// TestRevokedCredentialEndsEverywhere checks that no request runs which was sent later than the
// revocation timeout after its credential was revoked, at a gateway that reaches neither the store nor
// other gateways, and that anonymous requests still run there.
func TestRevokedCredentialEndsEverywhere(t *testing.T) {
	t.Parallel()
	const timeout = 5 * time.Second
	b := newTestCluster(t)
	b.changeSettings = func(conf *settings.Gateway) { conf.RevocationTimeout = jsonc.Duration(timeout) }
	b.store.Put(platform.ConfigKind, platform.ConfigName, teamConfig(3))
	b.upstream("s1", "status")
	b.upstream("p1", "pay")
	g := b.gateway("g1")
	b.ready()
	if got := b.requestWith(g, http.MethodGet, "/pay/x", -1, credential("red-1")); got.status != http.StatusOK {
		t.Fatalf("before the revocation: status %d, error %v", got.status, got.err)
	}
	g.storeEndpoint.SetMode(metastore.Unavailable)
	revoked := teamConfig(4)
	revoked.Teams["red"] = platform.TeamBody{Credentials: []string{"red-2"}}
	b.store.Put(platform.ConfigKind, platform.ConfigName, revoked)
	revokedAt := time.Now()
	b.eventually("the credential is refused as not run", func() bool {
		sentAt := time.Now()
		got := b.requestWith(g, http.MethodGet, "/pay/x", -1, credential("red-1"))
		if got.status == http.StatusOK && sentAt.Sub(revokedAt) > timeout {
			t.Fatalf("a request ran that was sent %v after its credential was revoked", sentAt.Sub(revokedAt))
		}
		return got.status == http.StatusServiceUnavailable
	})
	if got := b.requestWith(g, http.MethodGet, "/open/x", -1, nil); got.status != http.StatusOK {
		t.Errorf("anonymous request: status %d, error %v", got.status, got.err)
	}
	g.storeEndpoint.SetMode(metastore.Healthy)
	b.eventually("the credential is refused for good", func() bool {
		return b.requestWith(g, http.MethodGet, "/pay/x", -1, credential("red-1")).status == http.StatusUnauthorized
	})
	b.eventually("the other credential is accepted", func() bool {
		return b.requestWith(g, http.MethodGet, "/pay/x", -1, credential("red-2")).status == http.StatusOK
	})
}

// TestQuotaHoldsOverAllGateways checks that a team which sends many times its quota through several
// gateways has no more requests run in any window than its quota allows.
func TestQuotaHoldsOverAllGateways(t *testing.T) {
	t.Parallel()
	const rate, burst, slack, window, duration = 50, 50, 20, 5 * time.Second, 8 * time.Second
	b := newTestCluster(t)
	b.changeSettings = func(conf *settings.Gateway) { conf.QuotaSlack = slack }
	c := teamConfig(3)
	c.Teams["red"] = platform.TeamBody{Credentials: []string{"red-1"}, Rate: rate, Burst: burst}
	b.store.Put(platform.ConfigKind, platform.ConfigName, c)
	var mu sync.Mutex
	var ran []time.Time
	b.onUpstreamRequest = func(r *http.Request) {
		if r.Header.Get(platform.TeamHeader) != "red" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		ran = append(ran, time.Now())
	}
	b.upstream("s1", "status")
	for i := range 3 {
		b.upstream(fmt.Sprintf("p%d", i), "pay")
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.ready()
	var refused, others atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range 12 {
		callers.Go(func() {
			for time.Now().Before(end) {
				switch b.requestWith(b.gateways[i%3], http.MethodGet, "/pay/x", -1, credential("red-1")).status {
				case http.StatusOK:
				case http.StatusTooManyRequests:
					refused.Add(1)
				default:
					others.Add(1)
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if refused.Load() == 0 {
		t.Error("no request was refused")
	}
	if others.Load() > 0 {
		t.Errorf("%d requests were neither answered nor refused as beyond the quota", others.Load())
	}
	bound := (rate*window.Seconds()+burst)*1.1 + slack
	first, most := 0, 0
	for i := range ran {
		for ran[i].Sub(ran[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	if float64(most) > bound {
		t.Errorf("%d requests ran within %v, at most %.0f are allowed", most, window, bound)
	}
}
