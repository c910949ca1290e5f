package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
)

// harmful lets upstreams end by marked requests, and be back after a time. It returns how many such
// requests they began to run.
func (b *testCluster) harmful(back time.Duration) *atomic.Int64 {
	var runs atomic.Int64
	var arm func(u *upstream)
	arm = func(u *upstream) {
		u.OnHarm(func(string) {
			runs.Add(1)
			_ = u.server.Close()
			u.End()
			time.AfterFunc(back, func() { arm(b.startUpstreamIn(u.domain, u.ID, u.service, u.born+1)) })
		})
	}
	for _, u := range b.upstreams {
		arm(u)
	}
	return &runs
}

// harm sends a request that ends the upstream which runs it, the same each time but for its id.
func (b *testCluster) harm(g *testGateway, method, path string, key int) callerResponse {
	id := fmt.Sprintf("h%d", b.requestCount.Add(1))
	var body *strings.Reader
	if body = strings.NewReader(""); method == http.MethodPost {
		body = strings.NewReader("the same body")
	}
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+g.callers+path, body)
	if err != nil {
		b.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.RequestID, id)
	r.Header.Set(platform.Deadline, "2000")
	r.Header.Set(platform.ShardKey, fmt.Sprint(key))
	r.Header.Set(instance.HarmHeader, "1")
	resp, err := b.client.Do(r)
	if err != nil {
		return callerResponse{id: id, err: err}
	}
	_ = resp.Body.Close()
	return callerResponse{id: id, status: resp.StatusCode, header: resp.Header}
}

// TestHarmfulRequestIsStopped: a request that ends each upstream which runs it, and comes again at
// one gateway after the other, is sent to few more after the third. Others of the same kind go on.
func TestHarmfulRequestIsStopped(t *testing.T) {
	for _, kind := range []struct {
		method, path string
		status       int
	}{{http.MethodGet, "/read/harm", http.StatusServiceUnavailable}, {http.MethodPost, "/pay/harm", http.StatusBadGateway}, {http.MethodGet, "/status/harm", http.StatusServiceUnavailable}} {
		t.Run(strings.Trim(kind.path, "/"), func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			runs := b.harmful(700 * time.Millisecond)
			stopped := func() bool {
				for i, g := range b.gateways {
					if a := b.harm(g, kind.method, kind.path, 7); a.status == kind.status && a.header.Get("Retry-After") != "" != (kind.method == http.MethodPost) && metricsOf(b.gateways[i])["suspects.stopped"] == "1" {
						continue
					}
					return false
				}
				return true
			}
			b.eventually("all gateways refuse it", func() bool {
				time.Sleep(100 * time.Millisecond)
				return stopped()
			})
			after := runs.Load()
			if after > 6 {
				t.Errorf("%d upstreams ended, three are needed to know", after)
			}
			for range 5 {
				for _, g := range b.gateways {
					a := b.harm(g, kind.method, kind.path, 7)
					if again := a.header.Get("Retry-After"); kind.status == http.StatusServiceUnavailable && again != "60.000" {
						t.Errorf("it may come back in %s s", again)
					}
				}
			}
			if n := runs.Load(); n != after {
				t.Errorf("it ended %d upstreams more after all refused it", n-after)
			}
			b.eventually("others are served", func() bool {
				return b.request(b.gateways[0], kind.method, strings.Replace(kind.path, "harm", "other", 1), 7).status == http.StatusOK
			})
		})
	}
}

// TestInnocentRequestsAreNotStopped: upstreams that break connections, refuse, fail or end by
// themselves make no request suspected enough to be refused for it.
func TestInnocentRequestsAreNotStopped(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	modes := []instance.Mode{instance.Loses, instance.Sheds, instance.Fails, instance.Serves}
	for i := range 60 {
		b.upstreams["i-p0"].Set(modes[i%len(modes)])
		b.upstreams["i-p1"].Set(modes[(i/2)%len(modes)])
		if i%20 == 10 {
			b.restart(b.upstreams["i-p1"])
		}
		for _, g := range b.gateways {
			b.request(g, http.MethodGet, "/read/same", -1)
		}
	}
	for _, g := range b.gateways {
		if n := metricsOf(g)["suspects.refused"]; n != "" && n != "0" {
			t.Errorf("%s refused %s innocent requests", g.conf.Node, n)
		}
	}
}

// TestSuspectsDoNotMeet guards against ends of upstreams that do not tell which of two suspects was
// their cause: while one runs others go elsewhere, unless hardly an upstream were left.
func TestSuspectsDoNotMeet(t *testing.T) {
	s := noSuspects()
	s.view.setInstances(1, instances.NewView(1, []instances.Instance{
		{ID: "u1", Service: "read"}, {ID: "u2", Service: "read"}, {ID: "u3", Service: "read"}, {ID: "w", Service: "pair"}, {ID: "x", Service: "pair"},
	}))
	ask := func(d poison.Digest, service string) *request {
		return &request{cachedDigest: d, service: &routing.Service{Name: service}}
	}
	sent := func(u string) dispatch.Grant { return dispatch.Grant{Instance: instances.Instance{ID: u}} }
	if s.began(ask(1, "read"), sent("u1")) {
		t.Error("a request is watched that nothing is known of")
	}
	for i, d := range []poison.Digest{1, 2, 2} {
		s.book.Merge([]poison.Crash{{Digest: d, Event: poison.Event(i), At: s.now()}})
	}
	first := s.began(ask(1, "read"), sent("u1"))
	if got := s.avoid(ask(2, "read")); !slices.Equal(got, []string{"u1"}) {
		t.Errorf("another suspect avoids %v", got)
	}
	for what, q := range map[string]*request{
		"itself": ask(1, "read"), "one that is not suspected": ask(3, "read"), "one for two upstreams": ask(2, "pair"),
	} {
		if got := s.avoid(q); len(got) > 0 {
			t.Errorf("%s avoids %v", what, got)
		}
	}
	s.ended(ask(1, "read"), sent("u1"), first, dispatch.ConnectionBroken)
	if got := s.avoid(ask(2, "read")); len(got) > 0 {
		t.Errorf("%v avoided after the run has ended", got)
	}
}

// TestHarmfulWhileItWaits guards against a harmful request that is let through since nothing was
// known of it when it came: it waited for an upstream while the word went round.
func TestHarmfulWhileItWaits(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	f := b.gateways[0].proxy
	event := poison.Event(0)
	for _, tt := range []struct {
		method, path string
		want         answer.Kind
	}{{http.MethodGet, "/read/late", answer.Harmful}, {http.MethodPost, "/pay/late", answer.HarmfulOnce}} {
		r := httptest.NewRequestWithContext(context.Background(), tt.method, "http://h.example"+tt.path, http.NoBody)
		r.Header.Set(platform.RequestID, "late")
		r.Header.Set(platform.Deadline, "2000")
		q, err := f.parse(r, f.now())
		if err != nil {
			t.Fatal(err)
		}
		var crashes []poison.Crash
		for range 4 {
			event++
			crashes = append(crashes, poison.Crash{Digest: q.digest(), Event: event, At: f.now()})
		}
		f.suspects.book.Merge(crashes)
		if _, err = f.deliver(r.Context(), q); answer.KindOf(err) != tt.want {
			t.Errorf("%s %s: %v", tt.method, tt.path, err)
		}
	}
}

// TestDigestText is what operators read and write.
func TestDigestText(t *testing.T) {
	if d, err := parseDigest(digestText(0xab12)); err != nil || d != 0xab12 {
		t.Errorf("%x, %v", d, err)
	}
	for _, text := range []string{"", "ab12", "zzzzzzzzzzzzzzzz", "000000000000ab12f"} {
		if _, err := parseDigest(text); err == nil {
			t.Errorf("%q is taken for a digest", text)
		}
	}
}

// TestSuspectIsLifted: operators see a request that is sent no more, with the digest of the refused
// ones' log lines, and let it through at all gateways.
func TestSuspectIsLifted(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	const crashes = 3
	d := poison.DigestOf("/read/same", "127.0.0.1", nil)
	one := b.gateways[0].suspects
	one.mu.Lock()
	for i := range crashes {
		one.book.RequestAborted(one.now(), d, "i-p0", instances.Incarnation(i+1))
		one.book.UpstreamEnded(one.now(), "i-p0", instances.Incarnation(i+1))
	}
	one.mu.Unlock()
	// Not asked for before all know: answered well meanwhile, it would be cleared.
	b.eventually("all know it", func() bool {
		for _, g := range b.gateways {
			if metricsOf(g)["suspects.stopped"] != "1" {
				return false
			}
		}
		return true
	})
	for _, g := range b.gateways {
		if a := b.request(g, http.MethodGet, "/read/same", -1); a.status != http.StatusServiceUnavailable {
			t.Errorf("status %d", a.status)
		}
	}
	operator := placementpb.NewPlacementProtobufClient("http://"+b.gateways[1].listeners.Peers.Addr().String(), b.client)
	state, err := operator.Suspects(context.Background(), &placementpb.SuspectsRequest{})
	if err != nil || len(state.List) != 1 || state.List[0].Digest != digestText(d) || !state.List[0].Refused {
		t.Fatalf("suspects %v, %v", state, err)
	}
	if _, err := operator.LiftSuspect(context.Background(), &placementpb.Lift{Digest: "nonsense"}); err == nil {
		t.Error("nonsense is lifted")
	}
	if _, err := operator.LiftSuspect(context.Background(), &placementpb.Lift{Digest: digestText(d), By: "test"}); err != nil {
		t.Fatal(err)
	}
	b.eventually("all send it", func() bool {
		for _, g := range b.gateways {
			if b.request(g, http.MethodGet, "/read/same", -1).status != http.StatusOK {
				return false
			}
		}
		return true
	})
}
