// Package upstreams is the client of the servers that own keys: it sends them requests, and the
// control calls that grant and revoke ranges.
package upstreams

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/coordination/admission"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/transport/framing"
)

// Timeouts and limits of connections to upstreams.
const (
	dialTimeout    = 500 * time.Millisecond
	controlTimeout = 500 * time.Millisecond
	// idleTimeout closes idle connections before upstreams do, so that no request is sent on a
	// connection that is being closed.
	idleTimeout    = 20 * time.Second
	maxStatusBytes = 64 << 10
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 64 << 10
)

// Options bound the use of one upstream.
type Options struct {
	Admission   admission.Limits
	Connections int
}

// Upstream is the client of one upstream.
type Upstream struct {
	ID      string
	Addr    string
	Limiter *admission.Limiter

	data    *framing.Transport
	control *http.Client

	mu     sync.Mutex
	ctx    context.Context
	cancel context.CancelFunc
}

// AbortRequests cancels all requests in flight. It is called when the upstream is considered lost,
// as waiting for its responses is pointless.
func (u *Upstream) AbortRequests() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.cancel()
	u.ctx, u.cancel = context.WithCancel(context.Background())
}

func (u *Upstream) currentContext() context.Context {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.ctx
}

// Pool holds the clients of all upstreams. It is safe for concurrent use.
type Pool struct {
	clock func() time.Time

	mu      sync.Mutex
	clients map[string]*Upstream
}

// NewPool returns an empty pool.
func NewPool(clock func() time.Time) *Pool {
	return &Pool{clock: clock, clients: make(map[string]*Upstream)}
}

// Get returns the client of the upstream with the given ID, or nil.
func (p *Pool) Get(id string) *Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clients[id]
}

// GetOrCreate returns the client of u. It creates a client with the options if there is none or if
// the address has changed.
func (p *Pool) GetOrCreate(u cell.Upstream, o Options) *Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[u.ID]; c != nil && c.Addr == u.Addr {
		return c
	}
	c := &Upstream{
		ID:      u.ID,
		Addr:    u.Addr,
		Limiter: admission.NewLimiter(o.Admission, p.clock),
		data: framing.NewTransport(&http.Transport{
			DialContext:         dialCounting(dialTimeout),
			MaxConnsPerHost:     o.Connections,
			MaxIdleConnsPerHost: o.Connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		control: &http.Client{
			Timeout:   controlTimeout,
			Transport: framing.NewTransport(&http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeadBytes}),
		},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	p.clients[u.ID] = c
	return c
}

// Retain removes the clients of all upstreams whose ID is not in ids.
func (p *Pool) Retain(ids map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.clients {
		if !ids[id] {
			c.data.CloseIdleConnections()
			delete(p.clients, id)
		}
	}
}

// All returns the current clients.
func (p *Pool) All() []*Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*Upstream, 0, len(p.clients))
	for _, c := range p.clients {
		out = append(out, c)
	}
	return out
}

// Send sends one request. sent reports whether any byte of it may have reached the upstream. done
// must be called once the response has been read.
func (u *Upstream) Send(req *http.Request) (resp *http.Response, done func(), sent bool, err error) {
	var tracker sendTracker
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(u.currentContext(), cancel)
	done = func() {
		stop()
		cancel()
	}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { tracker.setConn(info.Conn) },
	})
	resp, err = u.data.RoundTrip(req.WithContext(ctx))
	return resp, done, tracker.sent(), err
}

// IsConnectionRefused reports whether err means that the host actively refused a connection, so
// that no process listens there.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Renew extends the lease of the upstream. With an empty renewal it only requests the status.
func (u *Upstream) Renew(ctx context.Context, r control.Renewal) (control.Status, error) {
	return u.callControl(ctx, control.PathRenew, r)
}

// Grant grants ranges to the upstream.
func (u *Upstream) Grant(ctx context.Context, g control.Grants) (control.Status, error) {
	return u.callControl(ctx, control.PathGrant, g)
}

// Revoke revokes ranges. It returns after the requests in flight at the upstream have ended.
func (u *Upstream) Revoke(ctx context.Context, r control.Revocations) (control.Status, error) {
	return u.callControl(ctx, control.PathRevoke, r)
}

// Reset makes the upstream drop all grants and take a new boot ID.
func (u *Upstream) Reset(ctx context.Context) (control.Status, error) {
	return u.callControl(ctx, control.PathReset, struct{}{})
}

func (u *Upstream) callControl(ctx context.Context, path string, body any) (control.Status, error) {
	var status control.Status
	data, err := json.Marshal(body)
	if err != nil {
		return status, fmt.Errorf("upstream %s: %w", u.ID, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+u.Addr+path, bytes.NewReader(data))
	if err != nil {
		return status, fmt.Errorf("upstream %s: %w", u.ID, err)
	}
	resp, err := u.control.Do(req)
	if err != nil {
		return status, fmt.Errorf("upstream %s: %w", u.ID, err)
	}
	defer func() { _ = resp.Body.Close() }()
	// A decoder that reads from the body would stop after the first value, before the response has arrived whole.
	data, err = io.ReadAll(http.MaxBytesReader(nil, resp.Body, maxStatusBytes))
	if err != nil {
		return status, fmt.Errorf("upstream %s: %w", u.ID, err)
	}
	if resp.StatusCode != http.StatusOK {
		return status, fmt.Errorf("upstream %s answered %d to %s", u.ID, resp.StatusCode, path)
	}
	if err := json.Unmarshal(data, &status); err != nil {
		return status, fmt.Errorf("upstream %s: %w", u.ID, err)
	}
	return status, nil
}
