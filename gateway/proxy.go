package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rockcroft/rockcroft/coordination/bytebudget"
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
	// deadlineMargin is the part of the remaining time that is reserved for returning the
	// response to the caller.
	deadlineMargin = 5 * time.Millisecond
	// maxUnsentTries bounds the tries of one request that failed before anything was sent,
	// because the upstream could not be reached.
	maxUnsentTries = 4
	// ownerUpdateWait is how long a request waits for an update of the key's owner after the
	// known owner has refused it. It is about the time between a move of a key and its arrival
	// at the last gateway.
	ownerUpdateWait = 80 * time.Millisecond
	// retryAfterUnknown is the Retry-After time when this gateway does not yet know enough to
	// handle the request.
	retryAfterUnknown = 300 * time.Millisecond
	// maxConfigurationAge is the time since the configuration was last known to be current
	// after which it may be outdated. With a leader in reach the age stays below that: the
	// leader's watch takes 1.2 s and each of two reporting steps 250 ms at most, together 1.7 s
	// plus the delay of a slow store.
	maxConfigurationAge = 2200 * time.Millisecond
)

// proxy is the HTTP handler for callers. It forwards their requests to upstreams.
type proxy struct {
	view     *view
	traffic  *traffic
	splitter *routing.Splitter
	conns    *pool.Pool
	now      func() time.Time
	log      *slog.Logger
	meters   *meters
	draining atomic.Bool
	// maxWriteStall is the time after which a caller that takes nothing of a response is given up.
	maxWriteStall time.Duration
	// bytes bounds the bodies and responses held.
	bytes *bytebudget.Budget
	// answeredCount counts successful responses, to select those that are logged.
	answeredCount atomic.Uint64
	tracer        trace.Tracer
	// domain is this gateway's failure domain.
	domain string
	// configurationAge returns the times since the configuration was last heard to be current and was
	// certainly so.
	configurationAge func() (heard, confirmed time.Duration)
	// revocationTimeout is how long after a credential was revoked no gateway may accept it any more,
	// including those that have not heard of it. Zero means no bound.
	revocationTimeout time.Duration
	quotas            *teamQuotas
	// ownerGaps measures how long keys have been without an owner.
	ownerGaps *ownerGaps
	// limits holds the request limits that upstreams announce.
	limits *namedLimits
	// suspects tracks requests that may crash upstreams.
	suspects *suspects
	// unread records the response headers that no code interprets.
	unread *unreadHeaders
	// open holds the requests in progress.
	openRequests *openRequests
	// leaderSilence returns for how long this gateway has not heard from a leader.
	leaderSilence func() time.Duration
	// forward forwards requests to other gateways.
	forward *forwarder
	// startup holds the requests that arrive while this gateway knows too little to send them.
	startup *startup
}

// request is the state of one caller's request.
type request struct {
	*http.Request
	id    string
	route *routing.Route
	// team is nil if the route needs no credential.
	team *routing.Team
	// service is the one that was picked from the route's services.
	service *routing.Service
	traffic *serviceTraffic
	key     uint16
	body    []byte
	// held counts the bytes of the body and of the responses.
	held       *bytebudget.Hold
	target     string
	receivedAt time.Time
	// caller identifies who sent the request; see callerOf.
	caller uint64
	// forwarded is set if another gateway has forwarded the request. That one has counted it.
	forwarded bool
	// bodyReadAt is when the body was read completely, firstSentAt when the request was first
	// sent to an upstream.
	bodyReadAt, firstSentAt time.Time
	// deadline is the time by which the final response must be written.
	deadline time.Time
	// queueUntil is the latest time for the first assignment to an upstream.
	queueUntil time.Time
	excluded   []string
	// arrivedTries counts tries that reached an upstream or may have reached it, unsentTries
	// those that certainly did not.
	arrivedTries int
	unsentTries  int
	// attempts are those sent to upstreams.
	attempts pool.Attempts
	// refusedFence is the fencing token of the owner that answered that it does not hold the
	// key.
	refusedFence uint64
	// mayHaveRun is set when a try ended without a confirmation that the request was not
	// executed.
	mayHaveRun bool
	// cachedDigest is the request's digest, zero until it is first computed.
	cachedDigest poison.Digest
}

// ServeHTTP handles one request of a caller.
func (f *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := f.now()
	q, err := f.parse(r, began)
	if q != nil {
		defer func() { q.held.Release(f.now()) }()
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

// recordRequest counts an answered request and records the duration of its phases.
func (f *proxy) recordRequest(q *request, answered time.Time) {
	name := q.route.Name
	f.meters.inc(f.meters.route(routeOutcome, name, outcomeAnswered))
	f.meters.recordDuration(f.meters.route(routeRead, name), q.bodyReadAt.Sub(q.receivedAt))
	f.meters.recordDuration(f.meters.route(routeWait, name), q.firstSentAt.Sub(q.bodyReadAt))
	f.meters.recordDuration(f.meters.route(routeUpstream, name), answered.Sub(q.firstSentAt))
	f.meters.recordDuration(f.meters.route(routeTotal, name), f.now().Sub(q.receivedAt))
}

// outcomeAnswered is the metric label of responses from upstreams; the other labels are the
// kinds of errors.
const outcomeAnswered = "answered"

// requestContext returns the context for processing a request. A request that is not idempotent
// is continued when the caller disconnects, because its effect stands in any case.
func (f *proxy) requestContext(parent context.Context, q *request) (context.Context, context.CancelFunc) {
	if !q.route.Idempotent {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithTimeout(parent, q.deadline.Sub(f.now()))
	ctx, end := f.openRequests.add(ctx, q)
	return ctx, func() {
		end()
		cancel()
	}
}

// acquire obtains a grant to send the request to an upstream, either at once or after waiting
// in the queue. It ends when the caller disconnects: a request that has not started need not
// start.
func (f *proxy) acquire(ctx context.Context, q *request, atOnce bool) (dispatch.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(q.Context(), cancel)()
	if err := f.startup.awaitUpstreams(ctx, q); err != nil {
		return dispatch.Grant{}, err
	}
	for {
		if err := f.suspects.awaitDecision(ctx, q); err != nil {
			return dispatch.Grant{}, err
		}
		req := &dispatch.Request{
			Route: q.route.Name, ReceivedAt: q.receivedAt, Priority: q.priority(), Objective: q.route.Objective, Deadline: q.deadline,
			QueueUntil: q.queueUntil, Exclude: slices.Concat(q.excluded, f.suspects.upstreamsToAvoid(q)),
		}
		switch {
		case atOnce:
			req.QueueUntil = f.now()
		case q.arrivedTries+q.unsentTries == 0:
			req.LateAt = q.receivedAt.Add(q.route.Objective)
			req.Caller = q.caller
		default:
			// A retry may wait as long in the queue as the first try.
			req.QueueUntil = f.now().Add(q.queueUntil.Sub(q.receivedAt))
		}
		if q.service.Keyed {
			owner, err := f.awaitOwner(ctx, q)
			if err != nil {
				return dispatch.Grant{}, err
			}
			if err := f.checkOwner(q, owner); err != nil {
				return dispatch.Grant{}, err
			}
			req.Owner, req.Key, req.Exclude = owner, q.key, nil
			req.Retry = !atOnce && q.arrivedTries+q.unsentTries > 0
			span := f.span(q)
			req.Cold, req.Fence = span.Cold, span.Fence
		}
		grant, err := f.traffic.acquire(ctx, q.traffic, req)
		if err != nil {
			return grant, err
		}
		// The request may have become suspect while it waited.
		if err := f.suspects.check(q); err != nil {
			f.traffic.endTry(q.traffic, grant, dispatch.Canceled)
			return dispatch.Grant{}, err
		}
		if f.suspects.undecided(q) {
			f.traffic.endTry(q.traffic, grant, dispatch.Canceled)
			continue
		}
		moved := q.service.Keyed && f.currentOwner(q) != grant.Instance.ID
		if !moved && q.maySendTo(grant.Instance.Address) {
			return grant, nil
		}
		f.traffic.endTry(q.traffic, grant, dispatch.Canceled)
		switch {
		case !q.service.Keyed:
			q.excluded = append(q.excluded, grant.Instance.ID)
		case !moved:
			return dispatch.Grant{}, ownerRefusedError()
		}
	}
}

// try sends the request to one upstream and delivers the result to the channel.
func (f *proxy) try(ctx context.Context, q *request, a admission, results chan<- tryResult) {
	grant := a.grant
	suspected := f.suspects.recordStarted(q, grant)
	resp, outcome, feedback, err := f.send(ctx, q, a)
	if resp != nil {
		a.response.Complete(f.now(), int64(len(resp.Body)), outcome != dispatch.Answered)
	} else {
		a.response.Abandon(f.now())
	}
	f.suspects.recordEnded(q, grant, suspected, outcome, feedback.connected)
	f.logNotice(grant, feedback.notice, f.traffic.endTryWithFeedback(q.traffic, grant, outcome, feedback))
	f.meters.inc(f.meters.service(tryOutcome, q.service.Name, f.domainClass(grant), outcome.String()))
	results <- tryResult{grant: grant, resp: resp, err: err}
}

// domainClass returns the metric label that separates upstreams in this gateway's failure
// domain from all others.
func (f *proxy) domainClass(grant dispatch.Grant) string {
	if grant.Instance.Domain == f.domain {
		return "own"
	}
	return "other"
}

// send makes one try. A response with the outcome Failed is a failure reported by the upstream
// itself.
func (f *proxy) send(ctx context.Context, q *request, a admission) (*pool.Response, dispatch.Outcome, upstreamFeedback, error) {
	grant := a.grant
	ctx, span := f.tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("rockcroft.upstream", grant.Instance.ID))
	h := platform.EndToEndHeaders(q.Header)
	telemetry.Inject(ctx, h)
	platform.SetTeam(h, q.teamName())
	platform.SetTarget(h, grant.Instance.ID)
	f.limits.countSent(grant)
	feedback := upstreamFeedback{}
	resp, err := f.conns.Do(ctx, grant.Instance.Address, &pool.Request{
		Method: q.Method, Target: q.target, Host: q.Host, Header: h, Body: q.body,
		EchoHeader: platform.RequestID, EchoValue: q.id, NonIdempotent: !q.route.Idempotent, Attempts: &q.attempts,
		// Nothing tells the response to a request without an ID from one to an earlier request.
		EchoOrNewConn: q.id == "",
		BeforeSend:    func() error { return f.checkBeforeSend(h, q, grant) },
		OnConnection:  func(opened time.Time) { feedback.connected = opened },
		OnLength:      a.response.Announced, OnRead: f.countReceived(q, a),
	})
	if err != nil {
		return nil, outcomeOfError(err), feedback, err
	}
	feedback.load, feedback.notice = f.decodeLoad(resp), f.decodeNotice(resp.Status, resp.Header)
	f.limits.recordAnswer(grant, resp.Header)
	f.unread.record(grant, resp.Header)
	answer, outcome, err := classify(resp)
	return answer, outcome, feedback, q.checkRefusal(grant.Instance.Address, err)
}

// checkBeforeSend is called when a connection is available. It returns an error if the request
// must not be sent any more.
func (f *proxy) checkBeforeSend(h http.Header, q *request, grant dispatch.Grant) error {
	allowed, change := f.traffic.maySend(q.traffic, grant)
	if !allowed {
		return errUpstreamClosed
	}
	if err := f.checkTeam(q); err != nil {
		return err
	}
	if err := f.setTimeLeft(h, q); err != nil {
		return err
	}
	f.quotas.recordSent(q.team)
	f.countSentDespiteNotice(grant, change)
	return nil
}

// setTimeLeft sets the header with the remaining time, which has shrunk while the connection
// was opened. It fails if no time is left.
func (f *proxy) setTimeLeft(h http.Header, q *request) error {
	left := q.deadline.Sub(f.now()) - deadlineMargin
	if left <= 0 {
		return context.DeadlineExceeded
	}
	platform.SetRemainingTime(h, left)
	return nil
}

// decodeLoad returns the load that an upstream reported in its response, or nil. An invalid
// load is counted and ignored.
func (f *proxy) decodeLoad(resp *pool.Response) *instances.Load {
	load, ok, err := platform.DecodeLoad(resp.Header)
	if err != nil {
		f.meters.inc(loadsInvalid)
	}
	if !ok {
		return nil
	}
	return &load
}

// writeResponse forwards an upstream's response to the caller unchanged.
func (f *proxy) writeResponse(w http.ResponseWriter, resp *pool.Response) {
	h := w.Header()
	for name, values := range platform.EndToEndHeaders(resp.Header) {
		h[name] = values
	}
	h["Content-Length"] = []string{strconv.Itoa(len(resp.Body))}
	f.closeWhenDraining(h)
	w.WriteHeader(resp.Status)
	if err := f.writeBody(w, resp.Body); err != nil {
		f.meters.inc(responsesNotWritten)
	}
}

// retryAfter returns how long a refused caller should wait before it retries.
func (f *proxy) retryAfter(q *request, kind answer.Kind, err error) time.Duration {
	var known *answer.Error
	switch {
	case errors.As(err, &known) && known.RetryAfter > 0:
		return known.RetryAfter
	case kind == answer.NoRight:
		return retryAfterUnknown
	case kind == answer.Overloaded && q != nil && q.traffic != nil:
		if after := f.traffic.retryAfter(q, f.currentOwner(q)); after > 0 {
			return after
		}
	case kind == answer.NoOwner && f.leaderSilence() > leaderSilenceTimeout:
		return patience.RetryAfterElsewhere()
	case kind == answer.NoOwner && q != nil && q.service != nil && q.service.Keyed:
		return patience.RetryAfterNoOwner(f.ownerGaps.gapOf(q.service.Name, q.key))
	}
	return patience.RetryAfterNoCapacity()
}

// closeWhenDraining asks the caller to open another connection while this process is stopping.
func (f *proxy) closeWhenDraining(h http.Header) {
	if f.draining.Load() {
		h.Set("Connection", "close")
	}
}

// unknownRoute is the metric label of requests that match no route.
const unknownRoute = "none"

// writeError writes an error response of the gateway itself.
func (f *proxy) writeError(w http.ResponseWriter, r *http.Request, q *request, err error) {
	kind := answer.KindOf(err)
	route := unknownRoute
	if q != nil {
		route = q.route.Name
	}
	f.meters.inc(f.meters.route(routeOutcome, route, string(kind)))
	row, after := kind.Response(), time.Duration(0)
	if row.RetryAfter > 0 {
		after = f.retryAfter(q, kind, err)
	}
	f.logRefusal(r, q, kind, after, err)
	h := w.Header()
	if id := platform.ID(r.Header); id != "" {
		h.Set(platform.RequestID, id)
	}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	f.closeWhenDraining(h)
	if kind == answer.Cancelled {
		panic(http.ErrAbortHandler)
	}
	answer.Write(w, err)
}
