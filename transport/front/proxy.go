// Package front serves callers: it parses requests, routes each to the one owner of its key and
// streams the response back. Requests for keys of another cell are forwarded to an entry of that
// cell.
package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	"github.com/rockcroft/rockcroft/coordination/admission"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/retry"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/docstore"
	"github.com/rockcroft/rockcroft/transport/framing"
	"github.com/rockcroft/rockcroft/transport/peers"
	"github.com/rockcroft/rockcroft/transport/telemetry"
	"github.com/rockcroft/rockcroft/transport/upstreams"
)

// Limits of the proxy as a whole.
const (
	// maxPendingRequests bounds the requests that wait for a key to change its owner.
	maxPendingRequests = 4096
	// retryBurst is the number of retries that a service can accumulate.
	retryBurst = 50
	// maxTrackedCallers bounds the callers whose rate is tracked. All are forgotten when it is
	// reached.
	maxTrackedCallers = 10000
)

// Proxy serves requests from callers and from other entries.
type Proxy struct {
	self    cell.Member
	clock   func() time.Time
	gate    *gate.Gate
	docs    *docstore.Store
	pool    *upstreams.Pool
	peers   *peers.Pool
	backoff retry.Backoff
	tracer  trace.Tracer
	metrics *telemetry.Requests
	// observe is called for each request before it is sent to an upstream of this cell.
	observe func(service string, r gate.Route, key string)

	pending atomic.Int64

	mu      sync.Mutex
	rng     *rand.Rand
	budgets map[string]*retry.Budget
	callers map[string]*rate.Limiter
}

// Dependencies are the components that a Proxy uses.
type Dependencies struct {
	Self    cell.Member
	Clock   func() time.Time
	Gate    *gate.Gate
	Docs    *docstore.Store
	Pool    *upstreams.Pool
	Peers   *peers.Pool
	Tracer  trace.Tracer
	Metrics *telemetry.Requests
	Rand    *rand.Rand
	Observe func(service string, r gate.Route, key string)
}

// New returns a proxy.
func New(d Dependencies) *Proxy {
	return &Proxy{
		self:    d.Self,
		clock:   d.Clock,
		gate:    d.Gate,
		docs:    d.Docs,
		pool:    d.Pool,
		peers:   d.Peers,
		backoff: retry.Backoff{First: 5 * time.Millisecond, Max: 200 * time.Millisecond},
		tracer:  d.Tracer,
		metrics: d.Metrics,
		observe: d.Observe,
		rng:     d.Rand,
		budgets: make(map[string]*retry.Budget),
		callers: make(map[string]*rate.Limiter),
	}
}

// Callers returns the handler for requests from callers.
func (p *Proxy) Callers() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, path := splitPath(r.URL.Path)
		p.serve(w, r, name, path, false)
	})
}

// Forwarded returns the handler for requests from other entries. It must be mounted at
// peers.ForwardPrefix.
func (p *Proxy) Forwarded() http.Handler {
	return http.StripPrefix(peers.ForwardPrefix, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, path := splitPath(r.URL.Path)
		p.serve(w, r, name, path, true)
	}))
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, name, path string, fromEntry bool) {
	start := p.clock()
	q, err := p.parse(r, name, path, fromEntry)
	if err == nil && !fromEntry {
		err = p.limitCaller(q)
	}
	if err == nil {
		err = q.bufferBody(r)
	}
	if err != nil {
		p.writeError(w, name, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	ctx, span := p.startSpan(ctx, r, q)
	defer span.End()
	p.retryBudget(name).RecordRequest()
	resp, err := p.deliver(ctx, r, q, w.Header())
	if err != nil {
		span.SetAttributes(attribute.String("rockcroft.kind", string(answer.KindOf(err))))
		p.writeError(w, name, err)
		return
	}
	defer resp.done()
	p.streamResponse(w, resp)
	p.metrics.RecordResponse(name, p.clock().Sub(start))
}

func (p *Proxy) startSpan(ctx context.Context, r *http.Request, q *request) (context.Context, trace.Span) {
	ctx = telemetry.Extract(ctx, r.Header)
	ctx, span := p.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	if span.IsRecording() {
		span.SetAttributes(
			attribute.String("rockcroft.service", q.service.Name),
			attribute.String("rockcroft.entry", p.self.ID),
			attribute.Int("rockcroft.hops", q.hops),
		)
	}
	return ctx, span
}

func (p *Proxy) writeError(w http.ResponseWriter, service string, err error) {
	p.metrics.RecordError(service, answer.KindOf(err))
	answer.Write(w, err)
}

// limitCaller enforces the request rate of a caller, so that one caller cannot use up the capacity
// of the others.
func (p *Proxy) limitCaller(q *request) error {
	if q.service.CallerRate <= 0 || q.caller == "" {
		return nil
	}
	id := q.service.Name + "/" + q.caller
	p.mu.Lock()
	l := p.callers[id]
	if l == nil {
		if len(p.callers) >= maxTrackedCallers {
			clear(p.callers)
		}
		l = rate.NewLimiter(rate.Limit(q.service.CallerRate), int(q.service.CallerRate)+1)
		p.callers[id] = l
	}
	p.mu.Unlock()
	if !l.AllowN(p.clock(), 1) {
		return answer.New(answer.CallerLimited, "caller %q sends more than %g requests a second", q.caller, q.service.CallerRate)
	}
	return nil
}

// response is the response of an upstream or of another entry. done must be called once its body
// has been read.
type response struct {
	*http.Response
	done func()
}

func (p *Proxy) attempt(ctx context.Context, r *http.Request, q *request, route gate.Route, h http.Header) (*response, error) {
	switch route.Destination {
	case gate.Local:
		if !p.gate.MaySend() {
			return p.forwardToSibling(ctx, r, q, h, answer.New(answer.NoRight, "this entry may not send at the moment"))
		}
		return p.sendToOwner(ctx, r, q, route, h)
	case gate.Remote:
		if q.hops > 0 {
			return p.awaitDirectory(ctx, route)
		}
		return p.forwardToCell(ctx, r, q, route.Cell, h)
	case gate.Pending:
		return p.awaitOwner(ctx, route)
	}
	return nil, answer.New(answer.NoOwner, "no cell is named for the key")
}

// directoryWait is how long a forwarded request waits for a newer directory.
const directoryWait = 200 * time.Millisecond

// awaitDirectory holds a forwarded request for a key that is not in this cell, which means that the
// two entries have different versions of the directory. Forwarding it again could send it back and
// forth. Without a change the request fails as not executed, and the first entry routes it again.
func (p *Proxy) awaitDirectory(ctx context.Context, route gate.Route) (*response, error) {
	timer := time.NewTimer(directoryWait)
	defer timer.Stop()
	select {
	case <-route.Changed():
		return nil, errRouteChanged
	case <-ctx.Done():
		return nil, p.contextError(ctx, false)
	case <-timer.C:
		return nil, answer.New(answer.WrongCell, "cell %s does not have the key", p.self.Cell)
	}
}

// awaitOwner waits until the key may have its next owner. The number of waiting requests is
// bounded.
func (p *Proxy) awaitOwner(ctx context.Context, route gate.Route) (*response, error) {
	if p.pending.Add(1) > maxPendingRequests {
		p.pending.Add(-1)
		return nil, answer.New(answer.Overloaded, "too many requests wait for a change of owner")
	}
	defer p.pending.Add(-1)
	select {
	case <-route.Changed():
		return nil, errRouteChanged
	case <-ctx.Done():
		return nil, p.contextError(ctx, false)
	}
}

// sendToOwner sends the request to the owner of the key in this cell.
func (p *Proxy) sendToOwner(ctx context.Context, r *http.Request, q *request, route gate.Route, h http.Header) (*response, error) {
	slot := route.Slot
	if q.repeatEpoch != 0 && q.repeatEpoch != slot.Epoch {
		h.Set(header.Epoch, strconv.FormatUint(q.repeatEpoch, 10))
		return nil, answer.New(answer.RepeatUnsafe, "the key has a new owner, which does not know the first try")
	}
	u := p.pool.Get(slot.Owner)
	if u == nil {
		return nil, answer.New(answer.NoOwner, "the owner %s is not known here", slot.Owner)
	}
	if err := u.Limiter.Acquire(ctx, q.importance, q.deadline); err != nil {
		return nil, err
	}
	switch p.gate.Enter(route) {
	case gate.RouteChanged:
		u.Limiter.Release(admission.Outcome{Unsent: true})
		return nil, errRouteChanged
	case gate.NoRight:
		u.Limiter.Release(admission.Outcome{Unsent: true})
		return nil, answer.New(answer.NoRight, "this entry may not send at the moment")
	}
	return p.sendToUpstream(ctx, r, q, route, u, h)
}

func (p *Proxy) sendToUpstream(ctx context.Context, r *http.Request, q *request, route gate.Route, u *upstreams.Upstream, h http.Header) (*response, error) {
	start := p.clock()
	slot := route.Slot
	p.observe(q.service.Name, route, q.key)
	ctx, span := p.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	out := p.newOutgoingRequest(ctx, r, q, "http://"+u.Addr+requestURI(q.path, r))
	out.Header.Set(header.Epoch, strconv.FormatUint(slot.Epoch, 10))
	resp, done, sent, err := u.Send(out)
	finish := func(o admission.Outcome) {
		done()
		o.Duration = p.clock().Sub(start)
		u.Limiter.Release(o)
		slot.RecordRequest(uint64(o.Duration.Microseconds()))
		span.End()
	}
	if err != nil {
		p.leaveGateAfterError(q, slot, sent)
		finish(admission.Outcome{Unsent: !sent})
		return nil, p.sendError(ctx, q, slot, sent, err, h)
	}
	if reason := resp.Header.Get(header.Refused); reason != "" {
		if err := readRefusal(resp); err != nil {
			p.leaveGateAfterError(q, slot, true)
			finish(admission.Outcome{})
			return nil, p.sendError(ctx, q, slot, true, err, h)
		}
		p.gate.Leave(slot)
		finish(admission.Outcome{Shed: reason == header.RefusedOverloaded})
		return nil, refusalError(reason)
	}
	resp.Header.Set(header.Owner, u.ID)
	return &response{Response: resp, done: func() {
		_ = resp.Body.Close()
		p.gate.Leave(slot)
		finish(admission.Outcome{})
	}}, nil
}

func requestURI(path string, r *http.Request) string {
	if r.URL.RawQuery == "" {
		return path
	}
	return path + "?" + r.URL.RawQuery
}

// newOutgoingRequest builds the request of one attempt from the caller's request.
func (p *Proxy) newOutgoingRequest(ctx context.Context, r *http.Request, q *request, url string) *http.Request {
	out, err := http.NewRequestWithContext(ctx, r.Method, url, nil)
	if err != nil {
		// The URL consists of parsed parts, so the error can only come from an invalid method.
		out, _ = http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	}
	copyHeader(out.Header, r.Header)
	out.Header.Set(header.Idempotent, strconv.FormatBool(q.idempotent))
	out.Header.Set(header.Timeout, q.deadline.Sub(p.clock()).String())
	telemetry.Inject(ctx, out.Header)
	q.attachBody(out)
	return out
}

// streamResponse streams a response to the caller. If the source fails midway, the response to the
// caller is aborted as well, so that it cannot appear complete.
func (p *Proxy) streamResponse(w http.ResponseWriter, resp *response) {
	copyHeader(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	if _, err := io.CopyBuffer(onlyWriter{w}, onlyReader{resp.Body}, *buf); err != nil {
		abortResponse(w)
	}
}

// abortResponse ends a response midway. It resets the connection, as closing it would complete a response that has
// neither a length nor chunks, which callers of HTTP/1.0 get.
func abortResponse(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		framing.Reset(c)
	}
	panic(http.ErrAbortHandler)
}

const copyBufferSize = 16 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferSize)
	return &b
}}

// onlyWriter and onlyReader hide the ReadFrom and WriteTo methods, so that io.CopyBuffer uses the
// pooled buffer.
type onlyWriter struct{ io.Writer }
type onlyReader struct{ io.Reader }
