package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// callerCount is the number of callers. Each has one request in flight at a time.
	callerCount = 12
	// bookerCount is the number of callers besides, which send nothing but bookRequests.
	bookerCount = 4
	// callerInterval is the pause of a caller between two requests. All callers together
	// send about 300 requests per second.
	callerInterval = 40 * time.Millisecond
	// callerTimeout is how long a caller waits for a response: twice the timeout of the
	// routes.
	callerTimeout = 4 * time.Second
	// deadlineMs is the deadline that callers send with each request, in milliseconds.
	deadlineMs = "2000"
)

// requestKind is one of the kinds of requests that callers send.
type requestKind struct {
	method, path string
	keyed        bool
	// padding is the number of bytes by which the body is longer than it needs to be.
	padding int
}

// The kinds of requests: idempotent with a key, not idempotent without one, the same with a long body, and not idempotent
// with a key.
var (
	statusRequest = requestKind{method: http.MethodGet, path: "/status/x", keyed: true}
	payRequest    = requestKind{method: http.MethodPost, path: "/pay/x"}
	uploadRequest = requestKind{method: http.MethodPost, path: "/pay/x", padding: uploadSize}
	bookRequest   = requestKind{method: http.MethodPost, path: "/book/x", keyed: true}
)

// outcome is the result of a request from its caller's point of view.
type outcome string

// The outcomes that are counted. failed covers errors other than a refusal, and
// noConnection all requests without a complete response.
const (
	served       outcome = "served"
	refused      outcome = "refused"
	failed       outcome = "failed"
	noConnection outcome = "no connection"
)

// monitor sends requests while faults occur, and records outcomes and violations of what
// the gateways guarantee to callers and upstreams.
type monitor struct {
	deployment *deployment
	client     *http.Client
	startedAt  time.Time
	next       atomic.Int64

	mu         sync.Mutex
	violations []string
	counts     map[int]map[outcome]int
	versions   map[string]uint64
	requests   *requestLog
	promises   promises
}

func newMonitor(d *deployment) *monitor {
	return &monitor{
		deployment: d, startedAt: time.Now(), counts: make(map[int]map[outcome]int), versions: make(map[string]uint64),
		requests: newRequestLog(),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}},
	}
}

func (m *monitor) addViolation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violations = append(m.violations, fmt.Sprintf("%.1f s: ", time.Since(m.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

func (m *monitor) count(o outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	second := int(time.Since(m.startedAt).Seconds())
	if m.counts[second] == nil {
		m.counts[second] = make(map[outcome]int)
	}
	m.counts[second][o]++
}

// runCaller sends requests until ctx ends. A caller keeps using its connections until the
// gateway closes them. It changes the gateway after every 8 requests. The kinds are those of its requests in turn.
func (m *monitor) runCaller(ctx context.Context, n int, kinds ...requestKind) {
	for i := 0; ctx.Err() == nil; i++ {
		g := pick(m.deployment.gateways, n+i/8)
		m.count(m.sendRequest(ctx, g, pick(kinds, i), (i*7919+n*131)%(spans.MaxKey+1)))
		time.Sleep(callerInterval)
	}
}

// sendRequest sends one request and checks its response.
func (m *monitor) sendRequest(ctx context.Context, g *gateway, kind requestKind, key int) (result outcome) {
	id := fmt.Sprintf("r%d-%d", os.Getpid(), m.next.Add(1))
	defer func() { m.requests.setOutcome(id, result) }()
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	var body io.Reader
	if kind.method == http.MethodPost {
		body = strings.NewReader("body of " + id + strings.Repeat(" ", kind.padding))
	}
	r, err := http.NewRequestWithContext(ctx, kind.method, "http://"+g.callers+kind.path, body)
	if err != nil {
		m.addViolation("request %s cannot be made: %v", id, err)
		return failed
	}
	r.Host = host
	r.Header.Set(platform.RequestID, id)
	r.Header.Set(platform.Deadline, deadlineMs)
	if kind.keyed {
		r.Header.Set(platform.ShardKey, fmt.Sprint(key))
	}
	kills := g.killCount()
	request := sentRequest{gateway: g, sent: time.Now()}
	m.requests.add(id, request)
	resp, err := m.client.Do(r)
	if err != nil {
		return m.checkUnanswered(ctx, g, id, kills, err)
	}
	if resp.Header.Get(platform.LeavingHeader) != "" {
		request.leavingSeen, request.incarnation = time.Now(), resp.Header.Get(instance.IncarnationHeader)
		m.requests.add(id, request)
	}
	data, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err != nil || closeErr != nil {
		return m.checkUnanswered(ctx, g, id, kills, errors.Join(err, closeErr))
	}
	return m.checkResponse(id, resp.StatusCode, string(data))
}

// checkUnanswered checks a request whose connection ended without a response. It is a
// violation if the request ran, unless its gateway was killed or clientTimeout had passed.
func (m *monitor) checkUnanswered(ctx context.Context, g *gateway, id string, kills int, err error) outcome {
	if ctx.Err() == nil && g.killCount() == kills && m.deployment.oracle.Runs(id) > 0 {
		m.addViolation("request %s has run and %s closed its connection without an answer: %v", id, g.name, err)
	}
	return noConnection
}

// checkResponse compares a response with the request. Whether a refused request has run is judged at the end of the
// run, as it must not run later either.
func (m *monitor) checkResponse(id string, status int, body string) outcome {
	switch {
	case status == http.StatusOK:
		if !m.deployment.isWholeBody(id, body) {
			m.addViolation("request %s got the answer %q", id, body)
		}
		return served
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		m.promises.add(id)
		return refused
	case status < http.StatusInternalServerError:
		m.addViolation("request %s got status %d", id, status)
	}
	return failed
}

// versionPollInterval is the interval at which the configuration in force is read.
const versionPollInterval = 300 * time.Millisecond

// checkVersions checks until ctx ends that no gateway process returns to an older
// configuration. A version is compared only if the process was the same before and after
// the read.
func (m *monitor) checkVersions(ctx context.Context) {
	for ctx.Err() == nil {
		for _, g := range m.deployment.gateways {
			pid, err := g.pid()
			version, ok := m.gatewayVersion(ctx, g)
			if again, errAgain := g.pid(); err != nil || errAgain != nil || again != pid || !ok {
				continue
			}
			process := fmt.Sprintf("%s of process %d", g.name, pid)
			if before := m.versions[process]; version < before {
				m.addViolation("%s went back from configuration %d to %d", process, before, version)
			}
			m.versions[process] = version
		}
		time.Sleep(versionPollInterval)
	}
}

// gatewayVersion returns the version of the configuration in force, read from the
// gateway's metrics. ok is false if it cannot be read.
func (m *monitor) gatewayVersion(ctx context.Context, g *gateway) (version uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.metrics+"/metrics", nil)
	if err != nil {
		return 0, false
	}
	resp, err := m.client.Do(r)
	if err != nil {
		return 0, false
	}
	data, err := io.ReadAll(resp.Body)
	if closeErr := resp.Body.Close(); err != nil || closeErr != nil {
		return 0, false
	}
	for _, line := range strings.Split(string(data), "\n") {
		if _, err := fmt.Sscanf(line, "view.configuration_version %d", &version); err == nil {
			return version, true
		}
	}
	return 0, false
}
