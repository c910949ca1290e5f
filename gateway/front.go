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
	mostUnsent = 4
	// refusedWait is how long news of a key's owner is waited for after the one
	// known has refused: about the time from a move to the last gateway.
	refusedWait = 80 * time.Millisecond
	// retryUnknown is the time to come back when this process knows too little yet.
	retryUnknown = 300 * time.Millisecond
	// configurationDoubt is how long after a gateway last knew its configuration to be the
	// newest it may be behind. In touch it is less: the leader's watch of 1.2 s, and a
	// report of 250 ms at most for each of two steps, take 1.7 s and what a slow store adds.
	configurationDoubt = 2200 * time.Millisecond
	// mostBodyShare bounds the bodies held at once, as a share of the memory.
	mostBodyShare = 4
)

// front serves callers.
type front struct {
	view     *view
	traffic  *traffic
	splitter *routing.Splitter
	conns    *pool.Pool
	now      func() time.Time
	log      *slog.Logger
	meters   *meters
	draining atomic.Bool
	bodies   atomic.Int64
	maxHeld  int64
	// answered counts answers, to log a sample.
	answered atomic.Uint64
	tracer   trace.Tracer
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
	service *routing.Service
	traffic *service
	key     uint16
	body    []byte
	target  string
	began   time.Time
	// read is when its body was there, sent when it was first sent to an upstream.
	read, sent time.Time
	// deadline is when the final answer must be out.
	deadline time.Time
	// until is the last moment for the first offer to an upstream.
	until   time.Time
	exclude []string
	// arrivals counts tries that arrived at an upstream or may have, unsent
	// those that did not.
	arrivals int
	unsent   int
	// refusedFence is the fence of the owner that said it does not hold the
	// key.
	refusedFence uint64
	// mayHaveRun is set when a try ended without the word that it did not run.
	mayHaveRun bool
	// known is the request's digest, zero until it is asked for.
	known poison.Digest
}

// ServeHTTP answers one request of a caller.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := f.now()
	q, err := f.parse(r, began)
	if q != nil {
		defer f.bodies.Add(-int64(len(q.body)))
	}
	if err != nil {
		f.refuse(w, r, q, err)
		return
	}
	ctx, cancel := f.lifetime(r.Context(), q)
	defer cancel()
	ctx, span := f.tracer.Start(telemetry.Extract(ctx, r.Header), "gateway", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	span.SetAttributes(attribute.String("rockcroft.route", q.route.Name), attribute.String("rockcroft.request", q.id))
	resp, err := f.deliver(ctx, q)
	if err != nil {
		span.SetAttributes(attribute.String("rockcroft.kind", string(answer.KindOf(err))))
		f.refuse(w, r, q, err)
		return
	}
	answered := f.now()
	f.pass(w, resp)
	f.measure(q, answered)
}

// measure counts an answered request and the phases of its time.
func (f *front) measure(q *request, answered time.Time) {
	name := q.route.Name
	f.meters.inc(f.meters.route(routeOutcome, name, outcomeAnswered))
	f.meters.took(f.meters.route(routeRead, name), q.read.Sub(q.began))
	f.meters.took(f.meters.route(routeWait, name), q.sent.Sub(q.read))
	f.meters.took(f.meters.route(routeUpstream, name), answered.Sub(q.sent))
	f.meters.took(f.meters.route(routeTotal, name), f.now().Sub(q.began))
}

// outcomeAnswered counts upstreams' answers, beside the kinds of errors.
const outcomeAnswered = "answered"

// lifetime returns the context of the work on a request. Work that must not
// run twice goes on when the caller has left: its outcome stands.
func (f *front) lifetime(parent context.Context, q *request) (context.Context, context.CancelFunc) {
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
func (f *front) parse(r *http.Request, began time.Time) (*request, error) {
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
		return nil, f.noRoute(r.Host, path)
	}
	q := &request{Request: r, id: platform.ID(r.Header), route: route, target: target, began: began}
	left := route.Timeout
	if l, ok := platform.Left(r.Header); ok {
		left = min(left, l)
	}
	q.deadline = began.Add(left)
	q.until = began.Add(patience.MaxQueueWait(route.Objective, left))
	if err := f.readBody(q, table.Limits.MaxBody); err != nil {
		return q, err
	}
	q.read = f.now()
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
		q.traffic.asked(key)
	}
	f.traffic.first(q.traffic)
	return q, f.suspects.check(q)
}

// noRoute refuses a request for a route that this process does not know. Not found is
// final to a client; it is said only by one that knows what the operator wants now. One
// that may be behind has run nothing, and another gateway may know the route.
func (f *front) noRoute(host, path string) error {
	if age := f.configurationAge(); age > configurationDoubt {
		refusal := answer.New(answer.NoRight, "no route for %s%s in a configuration last known to be the newest %d ms ago", host, path, age.Milliseconds())
		refusal.RetryAfter = retryUnknown
		return refusal
	}
	return answer.New(answer.NotFound, "no route for %s%s", host, path)
}

// readBody reads the whole body, within the bounds for one and for all.
func (f *front) readBody(q *request, most int64) error {
	if q.ContentLength == 0 || q.Body == http.NoBody {
		return nil
	}
	if q.ContentLength > most {
		return answer.New(answer.TooLarge, "the body has %d bytes, at most %d are allowed", q.ContentLength, most)
	}
	if f.bodies.Load()+max(q.ContentLength, 0) > f.maxHeld {
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
	f.bodies.Add(int64(len(body)))
	return nil
}

// acquire finds an upstream with room, atOnce or after a wait. It ends when the
// caller has left: what has not begun need not begin.
func (f *front) acquire(ctx context.Context, q *request, atOnce bool) (dispatch.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(q.Context(), cancel)()
	for {
		want := &dispatch.Request{
			Priority: q.route.Priority, Objective: q.route.Objective, Deadline: q.deadline,
			QueueUntil: q.until, Exclude: slices.Concat(q.exclude, f.suspects.upstreamsToAvoid(q)),
		}
		switch {
		case atOnce:
			want.QueueUntil = f.now()
		case q.arrivals+q.unsent == 0:
			want.LateAt = q.began.Add(q.route.Objective)
		default:
			// A second try may wait as long again.
			want.QueueUntil = f.now().Add(q.until.Sub(q.began))
		}
		if q.service.Keyed {
			owner, err := f.awaitOwner(ctx, q)
			if err != nil {
				return dispatch.Grant{}, err
			}
			want.Owner, want.Key, want.Exclude = owner, q.key, nil
			want.Retry = !atOnce && q.arrivals+q.unsent > 0
			want.Cold = f.span(q).Cold
		}
		grant, err := f.traffic.acquire(ctx, q.traffic, want)
		if err != nil {
			return grant, err
		}
		// More may be known of the request than when it came.
		if err := f.suspects.check(q); err != nil {
			f.traffic.done(q.traffic, grant, dispatch.Canceled)
			return dispatch.Grant{}, err
		}
		if !q.service.Keyed || f.currentOwner(q) == grant.Instance.ID {
			return grant, nil
		}
		// The key has moved while the request waited.
		f.traffic.done(q.traffic, grant, dispatch.Canceled)
	}
}

// try sends the request to one upstream and reports how that ended.
func (f *front) try(ctx context.Context, q *request, grant dispatch.Grant, results chan<- result) {
	suspected := f.suspects.noteStarted(q, grant)
	resp, outcome, said, err := f.send(ctx, q, grant)
	f.suspects.noteEnded(q, grant, suspected, outcome)
	f.logNotice(grant, said.notice, f.traffic.doneTelling(q.traffic, grant, outcome, said))
	f.meters.inc(f.meters.service(tryOutcome, q.service.Name, f.class(grant), outcome.String()))
	results <- result{grant: grant, resp: resp, err: err}
}

// class tells upstreams of the own failure domain from the others, in counters.
func (f *front) class(grant dispatch.Grant) string {
	if grant.Instance.Domain == f.domain {
		return "own"
	}
	return "other"
}

// send makes one try. A response that comes with the outcome Failed is the
// upstream's own failure.
func (f *front) send(ctx context.Context, q *request, grant dispatch.Grant) (*pool.Response, dispatch.Outcome, told, error) {
	ctx, span := f.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("rockcroft.upstream", grant.Instance.ID))
	h := platform.ForwardHeader(q.Header)
	telemetry.Inject(ctx, h)
	platform.SetTarget(h, grant.Instance.ID)
	f.limits.countSent(grant)
	resp, err := f.conns.Do(ctx, grant.Instance.Address, &pool.Request{
		Method: q.Method, Target: q.target, Host: q.Host, Header: h, Body: q.body,
		EchoHeader: platform.RequestID, EchoValue: q.id, NonIdempotent: !q.route.Idempotent,
		BeforeSend: func() error { return f.still(h, q, grant) },
	})
	if err != nil {
		return nil, errorOutcome(err), told{}, err
	}
	said := told{load: f.load(resp), notice: f.decodeNotice(resp.Status, resp.Header)}
	f.limits.recordAnswer(grant, resp.Header)
	f.unread.note(grant, resp.Header)
	answer, outcome, err := classify(resp)
	return answer, outcome, said, err
}

// still reports why the request may not go out after all, now that a connection is there.
func (f *front) still(h http.Header, q *request, grant dispatch.Grant) error {
	may, said := f.traffic.maySend(q.traffic, grant)
	if !may {
		return errClosed
	}
	if err := f.refreshLeft(h, q); err != nil {
		return err
	}
	f.countSentDespiteNotice(grant, said)
	return nil
}

// refreshLeft tells the upstream the time that is left now that a connection is there. There may
// be none.
func (f *front) refreshLeft(h http.Header, q *request) error {
	left := q.deadline.Sub(f.now()) - deadlineMargin
	if left <= 0 {
		return context.DeadlineExceeded
	}
	platform.SetLeft(h, left)
	return nil
}

// load returns the load that an upstream told with an answer, or nil. What cannot be is
// counted and dropped.
func (f *front) load(resp *pool.Response) *instances.Load {
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
func (f *front) pass(w http.ResponseWriter, resp *pool.Response) {
	h := w.Header()
	for name, values := range platform.ForwardHeader(resp.Header) {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	f.farewell(h)
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		f.meters.inc(answersLost)
	}
}

// comeBack is when a refused caller may come back.
func (f *front) comeBack(q *request, kind answer.Kind, err error) time.Duration {
	var known *answer.Error
	switch {
	case errors.As(err, &known) && known.RetryAfter > 0:
		return known.RetryAfter
	case kind == answer.NoRight:
		return retryUnknown
	case kind == answer.NoOwner && q != nil && q.service != nil && q.service.Keyed:
		return patience.RetryAfterNoOwner(f.gaps.without(q.service.Name, q.key))
	}
	return patience.RetryAfterNoCapacity()
}

// farewell tells the caller to use another connection while this process
// stops.
func (f *front) farewell(h http.Header) {
	if f.draining.Load() {
		h.Set("Connection", "close")
	}
}

// routeNone counts requests that no route is known for.
const routeNone = "none"

// refuse gives an answer of our own.
func (f *front) refuse(w http.ResponseWriter, r *http.Request, q *request, err error) {
	kind := answer.KindOf(err)
	route := routeNone
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
		h.Set("Retry-After", strconv.FormatFloat(f.comeBack(q, kind, err).Seconds(), 'f', 3, 64))
	}
	f.farewell(h)
	if kind == answer.Cancelled {
		panic(http.ErrAbortHandler)
	}
	answer.Write(w, err)
}
