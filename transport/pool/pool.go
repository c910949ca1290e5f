// Package pool is a small HTTP/1.1 client with its own connections. It exists
// because net/http's client repeats some requests by itself and does not say
// whether a request was sent. Here each call sends at most once, an answer is
// taken only for the request it belongs to, and a connection with bytes that
// belong to no request is never used again.
package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits of a pool.
type Limits struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// MaxIdleTime is how long a connection may be idle and still be used.
	MaxIdleTime time.Duration
	// MaxIdleTimeNonIdempotent is the same for requests that must not run twice: the less
	// idle a connection was, the less likely its end crosses the request.
	MaxIdleTimeNonIdempotent time.Duration
	// MaxIdleConnsPerAddr bounds the idle connections to one address.
	MaxIdleConnsPerAddr int
	// MaxBodyBytes bounds an answer's body in bytes.
	MaxBodyBytes int64
}

// Request is one request to be sent once.
type Request struct {
	Method string
	// Target is path and query as they go on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader and Echo: if set, only an answer that bears the value in the
	// header is the answer to this request.
	EchoHeader string
	EchoValue  string
	// NonIdempotent says that the request must not run twice.
	NonIdempotent bool
	// BeforeSend, if set, is asked once a connection is there, right before anything is sent: what gave
	// the right to send may have ended while the connection was opened. With its error nothing
	// is sent.
	BeforeSend func() error
	// OnRead, if set, is called with the number of bytes of each piece of the
	// answer, head or body, as it arrives. The calls come from the goroutine that
	// called Do, which reads on when they return; none comes after Do has returned.
	OnRead func(n int)
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Errors to be tested with errors.Is.
var (
	// ErrNotSent: not a byte of the request was sent.
	ErrNotSent = errors.New("not sent")
	// ErrRefused: the address refuses connections; also ErrNotSent.
	ErrRefused = errors.New("connection refused")
	// ErrDialTimeout: no connection within the bound; also ErrNotSent.
	ErrDialTimeout = errors.New("no connection in time")
	// ErrBroken: the connection ended before a whole answer.
	ErrBroken = errors.New("connection broken")
	// ErrTooLarge: the answer's body is larger than the pool's bound; also ErrBroken.
	ErrTooLarge = errors.New("answer too large")
	// ErrMismatchedResponse: the answer belongs to another request.
	ErrMismatchedResponse = errors.New("answer to another request")
)

// Pool keeps connections to many addresses. It is safe for concurrent use.
type Pool struct {
	limits Limits
	now    func() time.Time

	mu    sync.Mutex
	idle  map[string][]*conn
	stats Stats
}

// Stats counts what a pool has done.
type Stats struct {
	// Opened counts connections opened, Reused requests on kept ones.
	Opened, Reused uint64
	// Stale counts kept connections that had ended when they were wanted.
	Stale uint64
	// Mismatched counts answers to other requests.
	Mismatched uint64
	// ClosedAfterSilence counts idle connections that were closed after another one to the
	// same address had fallen silent.
	ClosedAfterSilence uint64
}

// New returns an empty pool.
func New(limits Limits, now func() time.Time) *Pool {
	return &Pool{limits: limits, now: now, idle: make(map[string][]*conn)}
}

// Stats returns the counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// Do sends the request once and returns the whole answer. When ctx ends, the
// connection is reset, so that what is still on its way is lost.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	c := p.takeIdle(addr, r.NonIdempotent)
	reused := c != nil
	if !reused {
		var err error
		if c, err = p.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.putIdle(addr, c)
			return nil, &classifiedError{kinds: []error{ErrNotSent}, cause: err}
		}
	}
	start := p.now()
	resp, reusable, err := c.roundTrip(ctx, r, p.limits.MaxBodyBytes)
	if errors.Is(err, ErrMismatchedResponse) || c.mismatched > 0 {
		p.updateStats(func(s *Stats) { s.Mismatched++ })
	}
	if err != nil {
		c.reset()
		if reused && p.wasSilent(err, start) {
			p.closeUnusedSince(addr, start)
		}
		return nil, err
	}
	if reusable {
		p.putIdle(addr, c)
	} else {
		c.close()
	}
	return resp, nil
}

// minSilence is how long a request must have waited on a kept connection, when it
// is given up for another reason than its deadline, for the connection to count as
// silent: longer than upstreams and the store usually take.
const minSilence = 400 * time.Millisecond

// silent reports whether a request that failed with the error has waited in vain.
func (p *Pool) wasSilent(err error, start time.Time) bool {
	if errors.Is(err, context.DeadlineExceeded) {
		return true
	}
	return errors.Is(err, context.Canceled) && p.now().Sub(start) >= minSilence
}

// distrust closes the idle connections to an address that were not used since one
// of them fell silent. Connections can fall silent together without a reset, while
// new ones work; each that was kept would cost one more request.
func (p *Pool) closeUnusedSince(addr string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	kept := list[:0]
	for _, c := range list {
		if c.idleSince.After(since) {
			kept = append(kept, c)
			continue
		}
		p.stats.ClosedAfterSilence++
		c.close()
	}
	p.idle[addr] = kept
}

// CloseIdle closes all idle connections: what was known of them is too old.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		for _, c := range list {
			c.close()
		}
		delete(p.idle, addr)
	}
}

func (p *Pool) updateStats(f func(*Stats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

// kept returns the connection that was used last and is still good.
func (p *Pool) takeIdle(addr string, nonIdempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for {
		list := p.idle[addr]
		if len(list) == 0 {
			return nil
		}
		c := list[len(list)-1]
		age := now.Sub(c.idleSince)
		if nonIdempotent && age > p.limits.MaxIdleTimeNonIdempotent && age <= p.maxIdleTime(c) {
			return nil
		}
		p.idle[addr] = list[:len(list)-1]
		if age <= p.maxIdleTime(c) && c.isReusable() {
			p.stats.Reused++
			return c
		}
		p.stats.Stale++
		c.close()
	}
}

// allowed is how long the connection may be idle: the bound of the pool, or
// less if the other side announced less.
func (p *Pool) maxIdleTime(c *conn) time.Duration {
	if c.announcedTimeout > 0 {
		return min(p.limits.MaxIdleTime, c.announcedTimeout*keepAliveNumerator/keepAliveDenominator)
	}
	return p.limits.MaxIdleTime
}

// A connection is used for three quarters of the announced time: the other
// side counts from when its answer left.
const (
	keepAliveNumerator   = 3
	keepAliveDenominator = 4
)

func (p *Pool) putIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.idleSince = p.now()
	list := p.idle[addr]
	if len(list) >= p.limits.MaxIdleConnsPerAddr {
		list[0].close()
		list = append(list[:0], list[1:]...)
	}
	p.idle[addr] = append(list, c)
}

// Expire closes connections that were idle for too long. It is to be called
// from time to time.
func (p *Pool) Expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > p.maxIdleTime(c) {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.limits.DialTimeout, KeepAlive: -1}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, dialError(ctx, err)
	}
	p.updateStats(func(s *Stats) { s.Opened++ })
	return newConn(nc), nil
}
