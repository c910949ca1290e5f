package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// tryResult is the result of one try.
type tryResult struct {
	grant dispatch.Grant
	resp  *pool.Response
	err   error
}

// final reports whether the response can be forwarded at once.
func (r tryResult) final() bool {
	return r.err == nil && r.resp.Status < http.StatusInternalServerError
}

// delivery is the processing of one request: successive tries, with at most two of them
// concurrent.
type delivery struct {
	*proxy
	*request
	results      chan tryResult
	runningTries int
	// lastGrant is the grant of the most recent try; hedged is set once a hedge was attempted.
	lastGrant dispatch.Grant
	hedged    bool
	// fallback is a failure response of an upstream, forwarded if no try gives a better
	// response.
	fallback *pool.Response
}

// deliverDirect sends the request to an upstream and returns the response. An error is final and
// carries its kind. An idempotent request that is overdue is hedged: it is sent to an upstream
// a second time while the first try goes on, and the first response wins.
func (f *proxy) deliverDirect(ctx context.Context, q *request) (*pool.Response, error) {
	d := &delivery{proxy: f, request: q, results: make(chan tryResult, q.route.MaxAttempts+maxUnsentTries+1)}
	a, err := d.admit(ctx, false)
	if err != nil {
		return nil, f.finalError(ctx, q, err)
	}
	d.startTry(ctx, a)
	for {
		r, ended := d.awaitTry()
		if !ended {
			d.hedge(ctx)
			continue
		}
		if r.final() {
			d.lastGrant = r.grant
			f.logAnswered(q, d, r.resp.Status)
			return r.resp, nil
		}
		if r.resp != nil {
			d.fallback = r.resp
		}
		retry := f.shouldRetry(ctx, q, r.grant, r.err)
		if d.runningTries > 0 {
			// The concurrent try may still succeed.
			continue
		}
		if retry {
			f.logRetry(q, r.grant, r.err)
			if a, err = d.admit(ctx, false); err == nil {
				d.startTry(ctx, a)
				continue
			}
			r.err = err
		}
		if d.fallback != nil {
			return d.fallback, nil
		}
		return nil, f.finalError(ctx, q, r.err)
	}
}

// admit counts the response to a try and acquires a grant for it. What does not fit is refused at once,
// before the request waits in the queue.
func (d *delivery) admit(ctx context.Context, atOnce bool) (admission, error) {
	response, err := d.expectResponse(d.request)
	if err != nil {
		return admission{}, err
	}
	grant, err := d.acquire(ctx, d.request, atOnce)
	if err != nil {
		response.Abandon(d.now())
		return admission{}, err
	}
	return admission{grant: grant, response: response}, nil
}

// startTry starts a try in the background.
func (d *delivery) startTry(ctx context.Context, a admission) {
	d.runningTries++
	d.lastGrant = a.grant
	if d.firstSentAt.IsZero() {
		d.firstSentAt = d.now()
	}
	d.meters.inc(d.meters.route(routeTries, d.route.Name))
	go d.try(ctx, d.request, a, d.results)
}

// awaitTry waits for the result of a try. It returns false if the only running try becomes
// overdue first.
func (d *delivery) awaitTry() (r tryResult, ended bool) {
	if d.hedged || d.runningTries > 1 || !d.route.Idempotent || d.arrivedTries+d.runningTries >= d.route.MaxAttempts {
		r = <-d.results
		d.runningTries--
		return r, true
	}
	timer := time.NewTimer(patience.HedgeDelay(d.lastGrant.ExpectedLatency) - d.now().Sub(d.lastGrant.GrantedAt))
	defer timer.Stop()
	select {
	case r = <-d.results:
		d.runningTries--
		return r, true
	case <-timer.C:
		return tryResult{}, false
	}
}

// hedge starts a second try in parallel with the overdue one if an upstream has capacity at once
// and the retry budget allows it. It is attempted once per request.
func (d *delivery) hedge(ctx context.Context) {
	d.hedged = true
	if d.draining.Load() || d.deadline.Sub(d.now()) < d.lastGrant.ExpectedLatency || d.suspects.isSuspected(d.request) || d.suspects.undecided(d.request) {
		return
	}
	if !d.service.Keyed {
		d.excluded = append(d.excluded, d.lastGrant.Instance.ID)
	}
	a, err := d.admit(ctx, true)
	if err != nil {
		return
	}
	if !d.spendRetry(d.request) {
		a.response.Abandon(d.now())
		d.proxy.traffic.endTry(d.request.traffic, a.grant, dispatch.Canceled)
		return
	}
	d.meters.inc(d.meters.route(routeHedged, d.route.Name))
	d.logRetry(d.request, d.lastGrant, nil)
	d.startTry(ctx, a)
}

// shouldRetry updates the request after a failed try and reports whether it is sent again.
func (f *proxy) shouldRetry(ctx context.Context, q *request, grant dispatch.Grant, err error) bool {
	if !q.service.Keyed {
		q.excluded = append(q.excluded, grant.Instance.ID)
	}
	var refusal *answer.Error
	if errors.Is(err, pool.ErrNotSent) {
		q.unsentTries++
		if errors.As(err, &refusal) {
			// Another upstream would not change that the request must not be sent.
			return false
		}
		return ctx.Err() == nil && q.unsentTries <= maxUnsentTries
	}
	q.arrivedTries++
	if errors.Is(err, errNotOwner) && q.service.Keyed {
		q.refusedFence = f.span(q).Fence
	}
	if errors.Is(err, errAmbiguousRefusal) {
		f.meters.inc(refusalsAmbiguous)
	}
	q.mayHaveRun = q.mayHaveRun || !isRefusal(err) || errors.Is(err, errAmbiguousRefusal)
	switch {
	case ctx.Err() != nil || q.deadline.Sub(f.now()) < 2*deadlineMargin:
		return false
	case q.mayHaveRun && !q.route.Idempotent:
		return false
	case errors.Is(err, errNotOwner) && f.leaderSilence() > ownership.HoldWithMargin(holdDuration):
		// Without a leader in reach the grants have ended, and no update of the owner will come.
		return false
	case errors.Is(err, errNotRun) && q.service.Keyed && !q.maySendTo(grant.Instance.Address) && f.currentOwner(q) == grant.Instance.ID:
		// No other upstream may run the request.
		return false
	case f.suspects.isSuspected(q):
		// A harmless request only loses a retry, while a harmful one would crash another
		// upstream.
		return false
	case q.arrivedTries >= q.route.MaxAttempts || !f.spendRetry(q):
		return false
	}
	f.meters.inc(f.meters.route(routeRepeated, q.route.Name))
	return true
}

// spendRetry takes a retry from the budget of the request's service and counts a refusal by the
// budget.
func (f *proxy) spendRetry(q *request) bool {
	if f.traffic.spendRetry(q.traffic) {
		return true
	}
	f.meters.inc(f.meters.service(budgetRefused, q.service.Name))
	return false
}

// finalError converts the last error into the final one. An error stating that the request was not
// executed is returned only if that is certain.
func (f *proxy) finalError(ctx context.Context, q *request, err error) error {
	var known *answer.Error
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return answer.Wrap(answer.Cancelled, err)
	case !q.mayHaveRun && answer.KindOf(err) == answer.HarmfulOnce:
		return err
	case !q.mayHaveRun && errors.As(err, &known) && known.Kind.Response().Execution == answer.NotExecuted && known.Kind != answer.DeadlinePassed:
		return known
	case !q.mayHaveRun && q.arrivedTries == 0:
		return &answer.Error{Kind: answer.Unreachable, Err: err}
	case !q.mayHaveRun:
		return &answer.Error{Kind: answer.Overloaded, Err: err}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return &answer.Error{Kind: answer.TimedOut, Err: err}
	}
	return &answer.Error{Kind: answer.Broken, Err: err}
}
