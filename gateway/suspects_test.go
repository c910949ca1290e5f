package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// crashOnHarmful makes upstreams crash on marked requests and restart after the duration back. It
// returns the number of such requests that they began to run.
func (b *testCluster) crashOnHarmful(back time.Duration) *atomic.Int64 {
	var runs atomic.Int64
	var arm func(u *upstream)
	arm = func(u *upstream) {
		u.OnCrash(func(string) {
			runs.Add(1)
			_ = u.server.Close()
			u.Terminate()
			time.AfterFunc(back, func() { arm(b.startUpstreamIn(u.domain, u.ID, u.service, u.born+1)) })
		})
	}
	for _, u := range b.upstreams {
		arm(u)
	}
	return &runs
}

// sendHarmful sends a request that crashes the upstream which runs it. Every call sends the same
// request except for its id.
func (b *testCluster) sendHarmful(g *testGateway, method, path string, key int) callerResponse {
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

// TestHarmfulRequestIsStopped checks that a request which crashes every upstream that runs it, and
// is repeated at one gateway after the other, is sent to few more upstreams after the third crash.
// Other requests of the same kind are still served.
func TestHarmfulRequestIsStopped(t *testing.T) {
	for _, kind := range []struct {
		method, path string
		status       int
	}{{http.MethodGet, "/read/harm", http.StatusServiceUnavailable}, {http.MethodPost, "/pay/harm", http.StatusBadGateway}, {http.MethodGet, "/status/harm", http.StatusServiceUnavailable}} {
		t.Run(strings.Trim(kind.path, "/"), func(t *testing.T) {
			t.Parallel()
			b := newStandardCluster(t)
			runs := b.crashOnHarmful(700 * time.Millisecond)
			stopped := func() bool {
				for i, g := range b.gateways {
					if a := b.sendHarmful(g, kind.method, kind.path, 7); a.status == kind.status && a.header.Get("Retry-After") != "" != (kind.method == http.MethodPost) && metricsOf(b.gateways[i])["suspects.stopped"] == "1" {
						continue
					}
					return false
				}
				return true
			}
			b.eventually("request refused by all gateways", func() bool {
				time.Sleep(100 * time.Millisecond)
				return stopped()
			})
			after := runs.Load()
			if after > 6 {
				t.Errorf("%d upstreams crashed, three are needed to identify the request", after)
			}
			for range 5 {
				for _, g := range b.gateways {
					a := b.sendHarmful(g, kind.method, kind.path, 7)
					if again := a.header.Get("Retry-After"); kind.status == http.StatusServiceUnavailable && again != "60.000" {
						t.Errorf("Retry-After %s, want 60.000", again)
					}
				}
			}
			if n := runs.Load(); n != after {
				t.Errorf("%d more upstreams crashed after all gateways refused the request", n-after)
			}
			b.eventually("other requests served", func() bool {
				return b.request(b.gateways[0], kind.method, strings.Replace(kind.path, "harm", "other", 1), 7).status == http.StatusOK
			})
		})
	}
}

// TestInnocentRequestsAreNotStopped checks that no request is refused because upstreams break
// connections, refuse, fail or restart for other reasons.
func TestInnocentRequestsAreNotStopped(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	modes := []instance.Mode{instance.LosesResponses, instance.Overloaded, instance.ReturnsErrors, instance.Healthy}
	for i := range 60 {
		b.upstreams["i-p0"].SetMode(modes[i%len(modes)])
		b.upstreams["i-p1"].SetMode(modes[(i/2)%len(modes)])
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

// TestSuspectsRunOnSeparateUpstreams guards against crashes that do not show which of two suspected
// requests caused them: while one runs, others go to different upstreams, unless hardly an upstream
// would remain.
func TestSuspectsRunOnSeparateUpstreams(t *testing.T) {
	s := noSuspects()
	s.view.setInstances(1, instances.NewView(1, []instances.Instance{
		{ID: "u1", Service: "read"}, {ID: "u2", Service: "read"}, {ID: "u3", Service: "read"}, {ID: "w", Service: "pair"}, {ID: "x", Service: "pair"},
	}))
	ask := func(d poison.Digest, service string) *request {
		return &request{cachedDigest: d, service: &routing.Service{Name: service}}
	}
	sent := func(u string) dispatch.Grant { return dispatch.Grant{Instance: instances.Instance{ID: u}} }
	if s.recordStarted(ask(1, "read"), sent("u1")) {
		t.Error("a request without crashes is suspected")
	}
	for i, d := range []poison.Digest{1, 2, 2} {
		s.book.Merge([]poison.Crash{{Digest: d, Event: poison.Event(i), At: s.now()}})
	}
	first := s.recordStarted(ask(1, "read"), sent("u1"))
	if got := s.upstreamsToAvoid(ask(2, "read")); !slices.Equal(got, []string{"u1"}) {
		t.Errorf("another suspected request avoids %v", got)
	}
	for what, q := range map[string]*request{
		"the same request": ask(1, "read"), "an unsuspected request": ask(3, "read"), "a request for a service with two upstreams": ask(2, "pair"),
	} {
		if got := s.upstreamsToAvoid(q); len(got) > 0 {
			t.Errorf("%s avoids %v", what, got)
		}
	}
	s.recordEnded(ask(1, "read"), sent("u1"), first, dispatch.ConnectionBroken, s.now())
	if got := s.upstreamsToAvoid(ask(2, "read")); len(got) > 0 {
		t.Errorf("%v still avoided after the run ended", got)
	}
}

// TestHarmfulRequestRefusedWhileQueued guards against a harmful request that is sent because
// nothing was known of it when it arrived: the crashes became known while it waited for an
// upstream.
func TestHarmfulRequestRefusedWhileQueued(t *testing.T) {
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

// TestUndecidedRequestIsHeld guards against a request that is sent to further upstreams while it is not known
// yet whether it has ended a third one.
func TestUndecidedRequestIsHeld(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	f := b.gateways[0].proxy
	r := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "http://h.example/read/undecided", http.NoBody)
	r.Header.Set(platform.RequestID, "undecided")
	r.Header.Set(platform.Deadline, "2000")
	q, err := f.parse(r, f.now())
	if err != nil {
		t.Fatal(err)
	}
	s := f.suspects
	s.mu.Lock()
	for i := range 2 {
		s.book.Merge([]poison.Crash{{Digest: q.digest(), Event: poison.Event(i), At: s.now()}})
	}
	// The time lies ahead, so that the end stays possible however slow the test is.
	s.book.AddPossible(s.now(), poison.PossibleEnd{Digest: q.digest(), Upstream: "gone", At: s.now().Add(time.Hour)})
	s.mu.Unlock()
	held := make(chan error, 1)
	go func() {
		_, err := f.deliver(r.Context(), q)
		held <- err
	}()
	b.eventually("the request is held", func() bool { return metricsOf(b.gateways[0])["suspects.held"] == "1" })
	s.mu.Lock()
	s.book.Merge([]poison.Crash{{Digest: q.digest(), Event: 2, At: s.now()}})
	s.mu.Unlock()
	if err := <-held; answer.KindOf(err) != answer.Harmful {
		t.Errorf("error %v, want a refusal", err)
	}
	if n := b.oracle.Runs("undecided"); n > 0 {
		t.Errorf("the request ran %d times", n)
	}
}

// TestPossibleEndOfOtherGatewayIsChecked guards against ends that nobody confirms because the gateway which saw
// them cannot open connections.
func TestPossibleEndOfOtherGatewayIsChecked(t *testing.T) {
	const others = 12
	s := noSuspects()
	list := addUpstreams(s, 1+others)
	s.probeLink = func(_ context.Context, addr string) (time.Time, error) {
		if addr == list[0].Address {
			return time.Time{}, pool.ErrRefused
		}
		return s.now(), nil
	}
	s.applyMessage(&syncpb.Suspects{PossibleEnds: []*syncpb.PossibleEnd{{Digest: 1, Upstream: list[0].ID}}})
	deadline := time.Now().Add(10 * time.Second)
	for s.message() == nil || len(s.message().Ends) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the end is not reported")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestDigestText checks the form of digests that operators read and write.
func TestDigestText(t *testing.T) {
	if d, err := parseDigest(digestText(0xab12)); err != nil || d != 0xab12 {
		t.Errorf("%x, %v", d, err)
	}
	for _, text := range []string{"", "ab12", "zzzzzzzzzzzzzzzz", "000000000000ab12f"} {
		if _, err := parseDigest(text); err == nil {
			t.Errorf("%q is accepted as a digest", text)
		}
	}
}

// TestSuspectIsLifted checks that operators see a refused request, under the digest in the log
// lines of its refusals, and can let it through again at all gateways.
func TestSuspectIsLifted(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	const crashes = 3
	d := poison.DigestOf("/read/same", "127.0.0.1", nil)
	first := b.gateways[0].suspects
	first.mu.Lock()
	for i := range crashes {
		first.book.RequestAborted(first.now(), d, "i-p0", instances.Incarnation(i+1), first.now())
		first.book.UpstreamEnded(first.now(), "i-p0", instances.Incarnation(i+1), poison.RefusedDial)
	}
	first.mu.Unlock()
	// Send the request only once all gateways know of it: a successful response before that would
	// clear it.
	b.eventually("suspect known to all gateways", func() bool {
		for _, g := range b.gateways {
			if metricsOf(g)["suspects.stopped"] != "1" {
				return false
			}
		}
		return true
	})
	for _, g := range b.gateways {
		if a := b.request(g, http.MethodGet, "/read/same", -1); a.status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", a.status)
		}
	}
	operator := placementpb.NewPlacementProtobufClient("http://"+b.gateways[1].listeners.Peers.Addr().String(), b.client)
	state, err := operator.Suspects(context.Background(), &placementpb.SuspectsRequest{})
	if err != nil || len(state.List) != 1 || state.List[0].Digest != digestText(d) || !state.List[0].Refused {
		t.Fatalf("suspects %v, error %v", state, err)
	}
	if _, err := operator.LiftSuspect(context.Background(), &placementpb.Lift{Digest: "nonsense"}); err == nil {
		t.Error("an invalid digest is accepted")
	}
	if _, err := operator.LiftSuspect(context.Background(), &placementpb.Lift{Digest: digestText(d), By: "test"}); err != nil {
		t.Fatal(err)
	}
	b.eventually("request served by all gateways", func() bool {
		for _, g := range b.gateways {
			if b.request(g, http.MethodGet, "/read/same", -1).status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestCutGatewayStopsNoHarmlessRequest guards against a gateway that takes its own cut links for
// ends of upstreams: the requests that ran there were refused as harmful by all gateways.
func TestCutGatewayStopsNoHarmlessRequest(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	for i := range 6 {
		b.upstream(fmt.Sprintf("i-p%d", i), "pay").ServiceTime = 30 * time.Millisecond
	}
	for i := range 3 {
		b.upstream(fmt.Sprintf("i-s%d", i), "status")
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.ready()
	var all sync.WaitGroup
	var ended atomic.Bool
	for _, g := range b.gateways {
		for range 20 {
			all.Go(func() {
				for !ended.Load() {
					if a := b.request(g, http.MethodGet, "/read/"+g.conf.Node, -1); a.status != http.StatusOK {
						time.Sleep(10 * time.Millisecond)
					}
				}
			})
		}
	}
	for range 4 {
		for _, state := range []linkState{linksReset, linksUp} {
			time.Sleep(500 * time.Millisecond)
			b.gateways[1].upstreamLinks.set(state)
		}
	}
	time.Sleep(500 * time.Millisecond)
	ended.Store(true)
	all.Wait()
	for _, g := range b.gateways {
		m := metricsOf(g)
		if n := m["suspects.refused"]; n != "" && n != "0" {
			t.Errorf("%s refused %s harmless requests, %s ends were contradicted", g.conf.Node, n, m["suspects.ends_contradicted"])
		}
	}
}

// TestEndsAreConfirmedAtTheSameTime guards against ends of upstreams that are not noticed because the
// end of another one is being confirmed at that moment.
func TestEndsAreConfirmedAtTheSameTime(t *testing.T) {
	const harmful, ends, others = poison.Digest(1), 3, 12
	s := noSuspects()
	dialed, accept := make(chan struct{}, 100), make(chan struct{})
	list := addUpstreams(s, ends+others)
	s.probeLink = func(_ context.Context, addr string) (time.Time, error) {
		if hasAddress(list[:ends], addr) {
			<-accept
			return time.Time{}, pool.ErrRefused
		}
		dialed <- struct{}{}
		<-accept
		return s.now(), nil
	}
	q := &request{cachedDigest: harmful}
	for i := range ends {
		s.recordEnded(q, dispatch.Grant{Instance: list[i]}, false, dispatch.ConnectionBroken, s.now())
		s.recordEnded(q, dispatch.Grant{Instance: list[i]}, false, dispatch.ConnectionRefused, s.now())
		select {
		case <-dialed:
		case <-time.After(5 * time.Second):
			t.Fatalf("the end of %s is not being confirmed", list[i].ID)
		}
	}
	close(accept)
	waitRefused(t, s, ends)
}

// TestEndOfUnusedUpstreamIsNoticed guards against a request that ends one upstream after the other because
// no request is sent to the ended ones, which would show their ends.
func TestEndOfUnusedUpstreamIsNoticed(t *testing.T) {
	const harmful, ends, others = poison.Digest(1), 3, 12
	s := noSuspects()
	list := addUpstreams(s, ends+others)
	s.probeLink = func(_ context.Context, addr string) (time.Time, error) {
		if hasAddress(list[:ends], addr) {
			return time.Time{}, pool.ErrRefused
		}
		return s.now(), nil
	}
	for i := range ends {
		s.recordEnded(&request{cachedDigest: harmful}, dispatch.Grant{Instance: list[i]}, false, dispatch.ConnectionBroken, s.now())
	}
	waitRefused(t, s, ends)
}

// TestRunsAbortedWhileCutOffBlameNoRequest guards against a harmless request that is refused because its runs were aborted by cut links, and their upstreams ended later for other reasons.
func TestRunsAbortedWhileCutOffBlameNoRequest(t *testing.T) {
	s := noSuspects()
	list := addUpstreams(s, 3)
	cut := true
	s.cutOff = func() bool { return cut }
	for i := range list {
		s.recordEnded(&request{cachedDigest: 1}, dispatch.Grant{Instance: list[i]}, false, dispatch.ConnectionBroken, s.now())
	}
	cut = false
	s.onViewChanged(instances.NewView(2, nil))
	if suspected := s.list(); len(suspected) > 0 {
		t.Errorf("suspected: %+v", suspected)
	}
}

// TestAnsweredRequestIsNotBlamedForEndsFoundLater guards against a harmless request that is refused because the ends of several upstreams are found at once, after it was answered.
func TestAnsweredRequestIsNotBlamedForEndsFoundLater(t *testing.T) {
	s := noSuspects()
	list := addUpstreams(s, 4)
	q := &request{cachedDigest: 1}
	for i := range 3 {
		s.recordEnded(q, dispatch.Grant{Instance: list[i]}, false, dispatch.ConnectionBroken, s.now())
	}
	s.recordEnded(q, dispatch.Grant{Instance: list[3]}, false, dispatch.Answered, s.now())
	s.onViewChanged(instances.NewView(2, nil))
	if suspected := s.list(); len(suspected) > 0 {
		t.Errorf("suspected: %+v", suspected)
	}
}

// addUpstreams makes the given number of upstreams known and returns them.
func addUpstreams(s *suspects, n int) []instances.Instance {
	var list []instances.Instance
	for i := range n {
		list = append(list, instances.Instance{ID: fmt.Sprintf("u%02d", i), Address: fmt.Sprintf("address %d", i), Service: "read"})
	}
	s.view.setInstances(1, instances.NewView(1, list))
	return list
}

func hasAddress(list []instances.Instance, addr string) bool {
	return slices.ContainsFunc(list, func(inst instances.Instance) bool { return inst.Address == addr })
}

// waitRefused waits until there is one suspect, which is refused with the given number of ends.
func waitRefused(t *testing.T, s *suspects, ends int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		got := s.list()
		if len(got) == 1 && got[0].Crashes == ends && got[0].Refused {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("suspects %v, want one that is refused with %d ends", got, ends)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestRunsCutOffByOwnLinksBlameNoRequest guards against requests that are blamed for the restart of an
// upstream because this gateway's links to it were cut shortly before.
func TestRunsCutOffByOwnLinksBlameNoRequest(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	running := make(chan struct{}, 100)
	b.onUpstreamRequest = func(r *http.Request) {
		if r.URL.Path == "/read/own" {
			running <- struct{}{}
		}
	}
	for i := range 3 {
		b.startUpstreamIn("a", fmt.Sprintf("i-p%d", i), "pay", 1).ServiceTime = 300 * time.Millisecond
	}
	for i := range 2 {
		b.gateway(fmt.Sprintf("g%d", i))
	}
	b.upstream("i-s0", "status")
	b.ready()
	cut := b.gateways[1]
	var all sync.WaitGroup
	all.Go(func() { b.request(cut, http.MethodGet, "/read/own", -1) })
	<-running
	b.cutOff(cut)
	all.Wait()
	for i := range 3 {
		b.restart(b.upstreams[fmt.Sprintf("i-p%d", i)])
	}
	b.eventually("the restarts are known", func() bool {
		for i := range 3 {
			if inst := cut.view.inst.Load().Get(fmt.Sprintf("i-p%d", i)); inst == nil || inst.StartedMs != 2 {
				return false
			}
		}
		return true
	})
	if list := cut.suspects.list(); len(list) > 0 {
		t.Errorf("%d requests are suspected", len(list))
	}
}
