package gateway

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/transport/pool"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

const (
	// deadlineMargin is kept from the time that is left for the way back.
	deadlineMargin = 5 * time.Millisecond
	// mostUnsent bounds the upstreams tried that could not be reached.
	maxUnsentTries = 4
	// refusedWait is how long news of a key's owner is waited for after the one
	// known has refused: about the time from a move to the last gateway.
	ownerUpdateWait = 80 * time.Millisecond
	// retryUnknown is the time to come back when this process knows too little yet.
	retryAfterUnknown = 300 * time.Millisecond
	// configurationDoubt is how long after a gateway last knew its configuration to be the
	// newest it may be behind. In touch it is less: the leader's watch of 1.2 s, and a
	// report of 250 ms at most for each of two steps, take 1.7 s and what a slow store adds.
	maxConfigurationAge = 2200 * time.Millisecond
	// mostBodyShare bounds the bodies held at once, as a share of the memory.
	bodyMemoryDivisor = 4
)

// front serves callers.
type proxy struct {
	view         *view
	traffic      *traffic
	splitter     *routing.Splitter
	conns        *pool.Pool
	now          func() time.Time
	log          *slog.Logger
	meters       *meters
	draining     atomic.Bool
	bodyBytes    atomic.Int64
	maxBodyBytes int64
	// answered counts answers, to log a sample.
	answeredCount atomic.Uint64
	tracer        trace.Tracer
	// domain is the own failure domain.
	domain string
	// configurationAge returns how long ago the configuration was known to be the newest.
	configurationAge func() time.Duration
	// gaps tells how long keys have been without an owner.
	gaps *ownerGaps
	// limits are those that upstreams name.
	limits *namedLimits
	// suspects are requests that end upstreams.
	suspects *suspects
	// unread are headers of answers that no code reads.
	unread *unreadHeaders
	// open are the requests that are worked on.
	open *openRequests
}

// request is one caller's request.
type request struct {
	*http.Request
	id    string
	route *routing.Route
	// service is the one chosen for it.
	service    *routing.Service
	traffic    *service
	key        uint16
	body       []byte
	target     string
	receivedAt time.Time
	// read is when its body was there, sent when it was first sent to an upstream.
	bodyReadAt, firstSentAt time.Time
	// deadline is when the final answer must be out.
	deadline time.Time
	// until is the last moment for the first offer to an upstream.
	queueUntil time.Time
	exclude    []string
	// arrivals counts tries that arrived at an upstream or may have, unsent
	// those that did not.
	arrivedTries int
	unsentTries  int
	// refusedFence is the fence of the owner that said it does not hold the
	// key.
	refusedFence uint64
	// mayHaveRun is set when a try ended without the word that it did not run.
	mayHaveRun bool
	// known is the request's digest, zero until it is asked for.
	cachedDigest poison.Digest
}

// ServeHTTP answers one request of a caller.
func (f *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := f.now()
	q, err := f.parse(r, began)
	if q != nil {
		defer f.bodyBytes.Add(-int64(len(q.body)))
	}
	if err != nil {
		f.writeError(w, r, q, err)
		return
	}
	ctx, cancel := f.requestContext(r.Context(), q)
	defer cancel()
	ctx, span := f.tracer.Start(telemetry.Extract(ctx, r.Header), "gateway", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	span.SetAttributes(attribute.String("rockcroft.route", q.route.Name), attribute.String("rockcroft.request", q.id))
	resp, err := f.deliver(ctx, q)
	if err != nil {
		span.SetAttributes(attribute.String("rockcroft.kind", string(answer.KindOf(err))))
		f.writeError(w, r, q, err)
		return
	}
	answered := f.now()
	f.writeResponse(w, resp)
	f.recordRequest(q, answered)
}

// measure counts an answered request and the phases of its time.
func (f *proxy) recordRequest(q *request, answered time.Time) {
	name := q.route.Name
	f.meters.inc(f.meters.route(routeOutcome, name, outcomeAnswered))
	f.meters.recordDuration(f.meters.route(routeRead, name), q.bodyReadAt.Sub(q.receivedAt))
	f.meters.recordDuration(f.meters.route(routeWait, name), q.firstSentAt.Sub(q.bodyReadAt))
	f.meters.recordDuration(f.meters.route(routeUpstream, name), answered.Sub(q.firstSentAt))
	f.meters.recordDuration(f.meters.route(routeTotal, name), f.now().Sub(q.receivedAt))
}

// outcomeAnswered counts upstreams' answers, beside the kinds of errors.
const outcomeAnswered = "answered"

// lifetime returns the context of the work on a request. Work that must not
// run twice goes on when the caller has left: its outcome stands.
func (f *proxy) requestContext(parent context.Context, q *request) (context.Context, context.CancelFunc) {
	if !q.route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, q.deadline.Sub(f.now()))
	ctx, end := f.open.add(ctx, q)
	return ctx, func() {
		end()
		cancel()
	}
}

// parse finds the route and reads the body.
func (f *proxy) parse(r *http.Request, began time.Time) (*request, error) {
	table := f.view.table.Load()
	if table == nil {
		return nil, answer.New(answer.NoRight, "this gateway has no configuration yet")
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		return nil, f.routeNotFound(r.Host, path)
	}
	q := &request{Request: r, id: platform.ID(r.Header), route: route, target: target, receivedAt: began}
	left := route.Timeout
	if l, ok := platform.Left(r.Header); ok {
		left = min(left, l)
	}
	q.deadline = began.Add(left)
	q.queueUntil = began.Add(patience.MaxQueueWait(route.Objective, left))
	if err := f.readBody(q, table.Limits.MaxBody); err != nil {
		return q, err
	}
	q.bodyReadAt = f.now()
	name := f.splitter.Pick(route)
	q.service = table.Services[name]
	if q.service == nil {
		return q, answer.New(answer.NoOwner, "service %s is not known", name)
	}
	q.traffic = f.traffic.get(name)
	if q.service.Keyed {
		key, ok := platform.Key(r.Header)
		if !ok {
			return q, answer.New(answer.NoKey, "the request has no valid key")
		}
		q.key = key
		q.traffic.recordKey(key)
	}
	f.traffic.recordRequest(q.traffic)
	return q, f.suspects.check(q)
}

// noRoute refuses a request for a route that this process does not know. Not found is
// final to a client; it is said only by one that knows what the operator wants now. One
// that may be behind has run nothing, and another gateway may know the route.
func (f *proxy) routeNotFound(host, path string) error {
	if age := f.configurationAge(); age > maxConfigurationAge {
		refusal := answer.New(answer.NoRight, "no route for %s%s in a configuration last known to be the newest %d ms ago", host, path, age.Milliseconds())
		refusal.RetryAfter = retryAfterUnknown
		return refusal
	}
	return answer.New(answer.NotFound, "no route for %s%s", host, path)
}

// readBody reads the whole body, within the bounds for one and for all.
func (f *proxy) readBody(q *request, most int64) error {
	if q.ContentLength == 0 || q.Body == http.NoBody {
		return nil
	}
	if q.ContentLength > most {
		return answer.New(answer.TooLarge, "the body has %d bytes, at most %d are allowed", q.ContentLength, most)
	}
	if f.bodyBytes.Load()+max(q.ContentLength, 0) > f.maxBodyBytes {
		return answer.New(answer.Overloaded, "too many bytes of bodies are held")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, q.Body, most))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return answer.New(answer.TooLarge, "the body has more than %d bytes", most)
	case err != nil:
		return answer.Wrap(answer.BadRequest, err)
	}
	q.body = body
	f.bodyBytes.Add(int64(len(body)))
	return nil
}

// acquire finds an upstream with room, atOnce or after a wait. It ends when the
// caller has left: what has not begun need not begin.
func (f *proxy) acquire(ctx context.Context, q *request, atOnce bool) (dispatch.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(q.Context(), cancel)()
	for {
		want := &dispatch.Request{
			Priority: q.route.Priority, Objective: q.route.Objective, Deadline: q.deadline,
			QueueUntil: q.queueUntil, Exclude: slices.Concat(q.exclude, f.suspects.avoid(q)),
		}
		switch {
		case atOnce:
			want.QueueUntil = f.now()
		case q.arrivedTries+q.unsentTries == 0:
			want.LateAt = q.receivedAt.Add(q.route.Objective)
		default:
			// A second try may wait as long again.
			want.QueueUntil = f.now().Add(q.queueUntil.Sub(q.receivedAt))
		}
		if q.service.Keyed {
			owner, err := f.owner(ctx, q)
			if err != nil {
				return dispatch.Grant{}, err
			}
			want.Owner, want.Key, want.Exclude = owner, q.key, nil
			want.Retry = !atOnce && q.arrivedTries+q.unsentTries > 0
			want.Cold = f.span(q).Cold
		}
		grant, err := f.traffic.acquire(ctx, q.traffic, want)
		if err != nil {
			return grant, err
		}
		// More may be known of the request than when it came.
		if err := f.suspects.check(q); err != nil {
			f.traffic.endTry(q.traffic, grant, dispatch.Canceled)
			return dispatch.Grant{}, err
		}
		if !q.service.Keyed || f.ownerNow(q) == grant.Instance.ID {
			return grant, nil
		}
		// The key has moved while the request waited.
		f.traffic.endTry(q.traffic, grant, dispatch.Canceled)
	}
}

// try sends the request to one upstream and reports how that ended.
func (f *proxy) try(ctx context.Context, q *request, grant dispatch.Grant, results chan<- tryResult) {
	suspected := f.suspects.began(q, grant)
	resp, outcome, said, err := f.send(ctx, q, grant)
	f.suspects.ended(q, grant, suspected, outcome)
	f.noticed(grant, said.notice, f.traffic.endTryWithFeedback(q.traffic, grant, outcome, said))
	f.meters.inc(f.meters.service(tryOutcome, q.service.Name, f.domainClass(grant), outcome.String()))
	results <- tryResult{grant: grant, resp: resp, err: err}
}

// class tells upstreams of the own failure domain from the others, in counters.
func (f *proxy) domainClass(grant dispatch.Grant) string {
	if grant.Instance.Domain == f.domain {
		return "own"
	}
	return "other"
}

// send makes one try. A response that comes with the outcome Failed is the
// upstream's own failure.
func (f *proxy) send(ctx context.Context, q *request, grant dispatch.Grant) (*pool.Response, dispatch.Outcome, upstreamFeedback, error) {
	ctx, span := f.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("rockcroft.upstream", grant.Instance.ID))
	h := platform.ForwardHeader(q.Header)
	telemetry.Inject(ctx, h)
	platform.SetTarget(h, grant.Instance.ID)
	f.limits.sent(grant)
	resp, err := f.conns.Do(ctx, grant.Instance.Address, &pool.Request{
		Method: q.Method, Target: q.target, Host: q.Host, Header: h, Body: q.body,
		EchoHeader: platform.RequestID, Echo: q.id, Once: !q.route.Idempotent,
		Still: func() error { return f.checkBeforeSend(h, q, grant) },
	})
	if err != nil {
		return nil, outcomeOfError(err), upstreamFeedback{}, err
	}
	said := upstreamFeedback{load: f.decodeLoad(resp), notice: f.notice(resp.Status, resp.Header)}
	f.limits.answered(grant, resp.Header)
	f.unread.record(grant, resp.Header)
	answer, outcome, err := classify(resp)
	return answer, outcome, said, err
}

// still reports why the request may not go out after all, now that a connection is there.
func (f *proxy) checkBeforeSend(h http.Header, q *request, grant dispatch.Grant) error {
	may, said := f.traffic.maySend(q.traffic, grant)
	if !may {
		return errUpstreamClosed
	}
	if err := f.setTimeLeft(h, q); err != nil {
		return err
	}
	f.countNoticed(grant, said)
	return nil
}

// refreshLeft tells the upstream the time that is left now that a connection is there. There may
// be none.
func (f *proxy) setTimeLeft(h http.Header, q *request) error {
	left := q.deadline.Sub(f.now()) - deadlineMargin
	if left <= 0 {
		return context.DeadlineExceeded
	}
	platform.SetLeft(h, left)
	return nil
}

// load returns the load that an upstream told with an answer, or nil. What cannot be is
// counted and dropped.
func (f *proxy) decodeLoad(resp *pool.Response) *instances.Load {
	load, ok, err := platform.DecodeLoad(resp.Header)
	if err != nil {
		f.meters.inc(loadsUnsound)
	}
	if !ok {
		return nil
	}
	return &load
}

// pass hands an upstream's answer on as it is.
func (f *proxy) writeResponse(w http.ResponseWriter, resp *pool.Response) {
	h := w.Header()
	for name, values := range platform.ForwardHeader(resp.Header) {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	f.closeWhenDraining(h)
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		f.meters.inc(answersLost)
	}
}

// comeBack is when a refused caller may come back.
func (f *proxy) retryAfter(q *request, kind answer.Kind, err error) time.Duration {
	var known *answer.Error
	switch {
	case errors.As(err, &known) && known.RetryAfter > 0:
		return known.RetryAfter
	case kind == answer.NoRight:
		return retryAfterUnknown
	case kind == answer.NoOwner && q != nil && q.service != nil && q.service.Keyed:
		return patience.RetryAfterNoOwner(f.gaps.gapOf(q.service.Name, q.key))
	}
	return patience.RetryAfterNoCapacity()
}

// farewell tells the caller to use another connection while this process
// stops.
func (f *proxy) closeWhenDraining(h http.Header) {
	if f.draining.Load() {
		h.Set("Connection", "close")
	}
}

// routeNone counts requests that no route is known for.
const unknownRoute = "none"

// refuse gives an answer of our own.
func (f *proxy) writeError(w http.ResponseWriter, r *http.Request, q *request, err error) {
	kind := answer.KindOf(err)
	route := unknownRoute
	if q != nil {
		route = q.route.Name
	}
	f.meters.inc(f.meters.route(routeOutcome, route, string(kind)))
	f.logRefusal(r, q, kind, err)
	h := w.Header()
	if id := platform.ID(r.Header); id != "" {
		h.Set(platform.RequestID, id)
	}
	row := kind.Row()
	if row.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter(q, kind, err).Seconds(), 'f', 3, 64))
	}
	f.closeWhenDraining(h)
	if kind == answer.Cancelled {
		panic(http.ErrAbortHandler)
	}
	answer.Write(w, err)
}
