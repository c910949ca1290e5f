package gateway

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
)

// repeatingUpstream holds all keys. It refuses the first attempts of some requests and executes the next one. On
// every connection it sends its previous response to a request again, where the next response is expected.
type repeatingUpstream struct {
	// refusals returns how many attempts of a request are refused, with refusalStatus or, if that is zero, 503.
	refusals      func(id string) int
	refusalStatus int
	// anyConnection sends a response again on whichever connection the next request arrives.
	anyConnection bool
	// targetID, if set, is the only target whose requests are not rejected. onMisdirected is called before others are.
	targetID      string
	onMisdirected func()

	mu       sync.Mutex
	attempts map[string]int
	ran      map[string]int
	previous string
}

// listen serves on a loopback address and returns it.
func (u *repeatingUpstream) listen(t *testing.T) string {
	t.Helper()
	u.attempts, u.ran = make(map[string]int), make(map[string]int)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return l.Addr().String()
}

func (u *repeatingUpstream) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	previous := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(platform.RequestID)
		if req.URL.Path == platform.GrantPath || req.URL.Path == platform.ReleasePath {
			respondToControlCall(c, id)
			continue
		}
		misdirected := u.targetID != "" && req.Header.Get(platform.TargetInstance) != u.targetID
		if misdirected {
			u.onMisdirected()
		}
		response := u.respond(id, misdirected)
		copied := previous
		if u.anyConnection {
			copied = u.swapPrevious(response)
		}
		if _, err := io.WriteString(c, copied+response); err != nil {
			return
		}
		previous = response
	}
}

// swapPrevious returns the previous response on any connection and records the next one.
func (u *repeatingUpstream) swapPrevious(response string) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	previous := u.previous
	u.previous = response
	return previous
}

func respondToControlCall(c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", platform.RequestID, id)
}

// respond refuses or executes a request and returns the response. A request for another target is refused.
func (u *repeatingUpstream) respond(id string, misdirected bool) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts[id]++
	echo := ""
	if id != "" {
		echo = platform.RequestID + ": " + id + "\r\n"
	}
	if misdirected || u.attempts[id] <= u.refusals(id) {
		status := cmp.Or(u.refusalStatus, http.StatusServiceUnavailable)
		if misdirected {
			status = http.StatusMisdirectedRequest
		}
		return fmt.Sprintf("HTTP/1.1 %d refused\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, echo, platform.NotExecuted)
	}
	u.ran[id]++
	body := fmt.Sprintf("run %d of %q", u.ran[id], id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: sig-%s\r\nContent-Length: %d\r\n\r\n%s", echo, platform.Signature, id, len(body), body)
}

func (u *repeatingUpstream) arrivals(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.attempts[id]
}

func (u *repeatingUpstream) runs(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ran[id]
}

// startKeyedGateway starts a gateway with one upstream that owns all keys of the service status, and returns its
// address. Requests for the route at /status/ must run once at most, and are sent up to maxAttempts times.
func startKeyedGateway(t *testing.T, u *repeatingUpstream, maxAttempts int) string {
	t.Helper()
	return startKeyedGatewayOfKind(t, u, maxAttempts, "unsafe")
}

// startKeyedGatewayOfKind is startKeyedGateway with a route of the given kind.
func startKeyedGatewayOfKind(t *testing.T, u *repeatingUpstream, maxAttempts int, kind string) string {
	t.Helper()
	b := newTestCluster(t)
	next := config(3)
	route := next.Routes["status"]
	route.Kind, route.MaxAttempts = kind, maxAttempts
	next.Routes["status"] = route
	b.store.Put(platform.ConfigKind, platform.ConfigName, next)
	b.register(&upstream{Instance: instance.New("i-1", true, 0, b.oracle), service: "status", domain: "a", address: u.listen(t)}, "ready")
	g := b.gateway("g0")
	b.ready()
	return g.callers
}

// postWithKey sends a request for key 0 and returns the status and the body of the response.
func postWithKey(t *testing.T, addr, id string) (status int, body string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+addr+"/status/x", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set(platform.ShardKey, "0")
	r.Header.Set(platform.Deadline, "2000")
	if id != "" {
		r.Header.Set(platform.RequestID, id)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// TestLateCopyOfRefusalIsNoPromise guards against a request that is answered "not run" by a copy of an earlier refusal, and has run.
func TestLateCopyOfRefusalIsNoPromise(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"unsafe", "safe"} {
		for maxAttempts := 2; maxAttempts <= 3; maxAttempts++ {
			u := &repeatingUpstream{refusals: func(id string) int {
				if strings.HasSuffix(id, "0") {
					return maxAttempts - 1
				}
				return 0
			}}
			addr := startKeyedGatewayOfKind(t, u, maxAttempts, kind)
			repeated := 0
			for n := range 60 {
				id := fmt.Sprintf("r%d", n)
				status, body := postWithKey(t, addr, id)
				ran := u.runs(id)
				switch {
				case status == http.StatusOK && body == fmt.Sprintf("run 1 of %q", id) && ran == 1:
					if u.refusals(id) > 0 {
						repeated++
					}
				case status == http.StatusServiceUnavailable && ran == 0:
				default:
					t.Errorf("%s, %d attempts: status %d, %q, request %s ran %d times", kind, maxAttempts, status, body, id, ran)
				}
			}
			if idempotent := kind == "safe"; (repeated > 0) != idempotent {
				t.Errorf("%s, %d attempts: %d requests were answered after a refusal", kind, maxAttempts, repeated)
			}
		}
	}
}

// TestRefusedRequestIsSentToItsOwnerOnce guards against a second try whose refusal would promise nothing: the caller of a request that is not idempotent is told at once that it has not run.
func TestRefusedRequestIsSentToItsOwnerOnce(t *testing.T) {
	t.Parallel()
	for _, refusalStatus := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		u := &repeatingUpstream{refusalStatus: refusalStatus, refusals: func(string) int { return 3 }}
		addr := startKeyedGateway(t, u, 3)
		for n := range 20 {
			id := fmt.Sprintf("r%d", n)
			if status, body := postWithKey(t, addr, id); status != http.StatusServiceUnavailable || u.arrivals(id) != 1 {
				t.Errorf("refused with %d: status %d, %q, %d arrivals", refusalStatus, status, body, u.arrivals(id))
			}
		}
	}
}

// TestRequestWithoutIDGetsItsOwnResponse guards against the response to another request, which no ID tells from that to a request without one.
func TestRequestWithoutIDGetsItsOwnResponse(t *testing.T) {
	t.Parallel()
	u := &repeatingUpstream{refusals: func(string) int { return 0 }}
	addr := startKeyedGateway(t, u, 2)
	for n := range 5 {
		postWithKey(t, addr, fmt.Sprintf("other%d", n))
		if _, body := postWithKey(t, addr, ""); body != fmt.Sprintf("run %d of %q", n+1, "") {
			t.Errorf("request %d without an ID got %q", n, body)
		}
	}
}

// TestLateCopyOnAnotherConnectionIsNoPromise guards against a request that is answered "not run" by a copy of a refusal on the connection of its next attempt, and runs.
func TestLateCopyOnAnotherConnectionIsNoPromise(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"unsafe", "safe"} {
		for _, refusalStatus := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
			for maxAttempts := 2; maxAttempts <= 3; maxAttempts++ {
				t.Run(fmt.Sprintf("%s, refused with %d, %d attempts", kind, refusalStatus, maxAttempts), func(t *testing.T) {
					t.Parallel()
					checkCopiesOnAnyConnection(t, kind, refusalStatus, maxAttempts)
				})
			}
		}
	}
}

// checkCopiesOnAnyConnection sends requests, some of which are refused at the first attempt, to an upstream that sends
// each response again on any connection.
func checkCopiesOnAnyConnection(t *testing.T, kind string, refusalStatus, maxAttempts int) {
	t.Helper()
	u := &repeatingUpstream{anyConnection: true, refusalStatus: refusalStatus, refusals: func(id string) int {
		if strings.HasSuffix(id, "0") {
			return 1
		}
		return 0
	}}
	addr := startKeyedGatewayOfKind(t, u, maxAttempts, kind)
	for n := range 40 {
		id := fmt.Sprintf("r%d", n)
		status, body := postWithKey(t, addr, id)
		if ran := u.runs(id); statusImpliesNotRun(status) && ran > 0 {
			t.Errorf("status %d, %q, request %s ran %d times", status, body, id, ran)
		}
	}
}

// TestRestartAtSameAddressIsNoOtherUpstream guards against a second try that reaches the process of the first one under its new ID, and is answered "not run" by a copy.
func TestRestartAtSameAddressIsNoOtherUpstream(t *testing.T) {
	t.Parallel()
	u := &repeatingUpstream{anyConnection: true, targetID: "i-2", refusals: func(string) int { return 0 }}
	b := newTestCluster(t)
	address := u.listen(t)
	register := func(id string) {
		b.register(&upstream{Instance: instance.New(id, false, 0, b.oracle), service: "pay", domain: "a", address: address}, "ready")
	}
	register("i-1")
	b.upstream("i-s0", "status")
	g := b.gateway("g0")
	b.ready()
	u.onMisdirected = func() {
		register("i-2")
		b.eventually("the new ID is known", func() bool { return g.view.inst.Load().Get("i-2") != nil })
	}
	resp, err := b.client.Do(callerRequest(t.Context(), t, http.MethodPost, "http://"+g.callers+"/pay/x", "r", "x"))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if u.arrivals("r") == 0 || statusImpliesNotRun(resp.StatusCode) && u.runs("r") > 0 {
		t.Errorf("status %d, %d arrivals, %d runs", resp.StatusCode, u.arrivals("r"), u.runs("r"))
	}
}

// TestCopyIsNoResponseToRequestWithoutID guards against a request without an ID that is answered with a copy of the response to another one.
func TestCopyIsNoResponseToRequestWithoutID(t *testing.T) {
	t.Parallel()
	for refusals := range 2 {
		u := &repeatingUpstream{anyConnection: true, refusals: func(id string) int { return refusals * min(len(id), 1) }}
		addr := startKeyedGateway(t, u, 2)
		for n := range 10 {
			postWithKey(t, addr, fmt.Sprintf("other%d", n))
			before := u.runs("")
			if status, body := postWithKey(t, addr, ""); statusImpliesNotRun(status) || status == http.StatusOK && body != fmt.Sprintf("run %d of %q", before+1, "") {
				t.Errorf("%d refusals: status %d, %q, %d runs", refusals, status, body, u.runs("")-before)
			}
		}
	}
}
