// Package peers connects to the other entries: over Twirp for control, and over plain HTTP for
// requests that another entry has to serve.
package peers

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/transport/framing"
)

// Timeouts and limits of connections between entries.
const (
	dialTimeout         = 300 * time.Millisecond
	idleTimeout         = 30 * time.Second
	maxIdleForwardConns = 64
	maxIdleControlConns = 2
	// maxHeadBytes bounds the status line and the headers of a response.
	maxHeadBytes = 64 << 10
	// MaxMessageBytes bounds the body of a control message between entries, or from an operator.
	MaxMessageBytes = 16 << 20
)

// ForwardPrefix is the path under which an entry accepts forwarded requests.
const ForwardPrefix = "/forward"

// Pool holds the connections to other entries. It is safe for concurrent use.
type Pool struct {
	scheme  string
	control *http.Client
	data    *framing.Transport

	mu          sync.Mutex
	clients     map[string]peerpb.Peer
	failedUntil map[string]time.Time
	clock       func() time.Time
}

// failureCooldown is how long other entries are preferred to one that failed.
const failureCooldown = time.Second

// NewPool returns a pool without connections. A nil config selects plain TCP.
func NewPool(config *tls.Config, clock func() time.Time) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	scheme := "http"
	if config != nil {
		scheme = "https"
	}
	return &Pool{
		scheme: scheme,
		control: &http.Client{Transport: limitedTransport{framing.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     config,
			MaxIdleConnsPerHost: maxIdleControlConns,
			IdleConnTimeout:     idleTimeout,

			MaxResponseHeaderBytes: maxHeadBytes,
		})}},
		data: framing.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			TLSClientConfig:     config,
			MaxIdleConnsPerHost: maxIdleForwardConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		}),
		clients:     make(map[string]peerpb.Peer),
		failedUntil: make(map[string]time.Time),
		clock:       clock,
	}
}

// limitedTransport bounds the bodies of responses to MaxMessageBytes.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(r)
	if err == nil {
		resp.Body = http.MaxBytesReader(nil, resp.Body, MaxMessageBytes)
	}
	return resp, err
}

// Client returns the control client for the entry at addr.
func (p *Pool) Client(addr string) peerpb.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = peerpb.NewPeerProtobufClient(p.scheme+"://"+addr, p.control)
		p.clients[addr] = c
	}
	return c
}

// ForwardURL returns the URL of a request that is forwarded to the entry at addr.
func (p *Pool) ForwardURL(addr, pathAndQuery string) string {
	return p.scheme + "://" + addr + ForwardPrefix + pathAndQuery
}

// ForwardTransport returns the transport for forwarded requests.
func (p *Pool) ForwardTransport() http.RoundTripper { return p.data }

// MarkFailed records a failure of the entry at addr, so that others are preferred for a while.
func (p *Pool) MarkFailed(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedUntil[addr] = p.clock().Add(failureCooldown)
}

// Healthy reports whether the entry at addr has not failed recently.
func (p *Pool) Healthy(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.clock().Before(p.failedUntil[addr])
}
