package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// result is how one try ended.
type result struct {
	grant dispatch.Grant
	resp  *pool.Response
	err   error
}

// final reports whether the result is an answer to be passed on at once.
func (r result) final() bool {
	return r.err == nil && r.resp.Status < http.StatusInternalServerError
}

// delivery is the work on one request: tries one after the other, and at most
// two beside each other.
type delivery struct {
	*front
	*request
	results chan result
	running int
	// last is the grant of the try begun last, hedged that it got company.
	last   dispatch.Grant
	hedged bool
	// kept is an upstream's own failure, to be passed on when there is no
	// better answer.
	kept *pool.Response
}

// deliver brings the request to an upstream and returns its answer. An error
// is the final answer, with its kind. A request that may run more than once and
// is overdue is sent a second time beside the first; the first answer counts.
func (f *front) deliver(ctx context.Context, q *request) (*pool.Response, error) {
	d := &delivery{front: f, request: q, results: make(chan result, q.route.MaxAttempts+mostUnsent+1)}
	grant, err := f.acquire(ctx, q, false)
	if err != nil {
		return nil, f.giveUp(ctx, q, err)
	}
	d.begin(ctx, grant)
	for {
		r, ended := d.await()
		if !ended {
			d.hedge(ctx)
			continue
		}
		if r.final() {
			d.last = r.grant
			f.logAnswered(q, d, r.resp.Status)
			return r.resp, nil
		}
		if r.resp != nil {
			d.kept = r.resp
		}
		again := f.mayRepeat(ctx, q, r.grant, r.err)
		if d.running > 0 {
			// The try beside it may still bring the answer.
			continue
		}
		if again {
			f.logAgain(q, r.grant, r.err)
			if grant, err = f.acquire(ctx, q, false); err == nil {
				d.begin(ctx, grant)
				continue
			}
			r.err = err
		}
		if d.kept != nil {
			return d.kept, nil
		}
		return nil, f.giveUp(ctx, q, r.err)
	}
}

// begin starts a try.
func (d *delivery) begin(ctx context.Context, grant dispatch.Grant) {
	d.running++
	d.last = grant
	if d.sent.IsZero() {
		d.sent = d.now()
	}
	d.meters.inc(d.meters.route(routeTries, d.route.Name))
	go d.try(ctx, d.request, grant, d.results)
}

// await waits for the end of a try, or until the only one is overdue.
func (d *delivery) await() (r result, ended bool) {
	if d.hedged || d.running > 1 || !d.route.Idempotent || d.arrivals+d.running >= d.route.MaxAttempts {
		r = <-d.results
		d.running--
		return r, true
	}
	timer := time.NewTimer(patience.HedgeDelay(d.last.ExpectedLatency) - d.now().Sub(d.last.GrantedAt))
	defer timer.Stop()
	select {
	case r = <-d.results:
		d.running--
		return r, true
	case <-timer.C:
		return result{}, false
	}
}

// hedge begins a second try beside the overdue one, if there is room at once and
// the budget allows it. It is tried once a request.
func (d *delivery) hedge(ctx context.Context) {
	d.hedged = true
	if d.draining.Load() || d.deadline.Sub(d.now()) < d.last.ExpectedLatency || d.suspects.isSuspected(d.request) {
		return
	}
	if !d.service.Keyed {
		d.exclude = append(d.exclude, d.last.Instance.ID)
	}
	grant, err := d.acquire(ctx, d.request, true)
	if err != nil {
		return
	}
	if !d.spend(d.request) {
		d.front.traffic.done(d.request.traffic, grant, dispatch.Canceled)
		return
	}
	d.meters.inc(d.meters.route(routeHedged, d.route.Name))
	d.logAgain(d.request, d.last, nil)
	d.begin(ctx, grant)
}

// mayRepeat decides whether the request is sent once more.
func (f *front) mayRepeat(ctx context.Context, q *request, grant dispatch.Grant, err error) bool {
	if !q.service.Keyed {
		q.exclude = append(q.exclude, grant.Instance.ID)
	}
	if errors.Is(err, pool.ErrNotSent) {
		q.unsent++
		return ctx.Err() == nil && q.unsent <= mostUnsent
	}
	q.arrivals++
	if errors.Is(err, errNotOwner) && q.service.Keyed {
		q.refusedFence = f.span(q).Fence
	}
	notRun := errors.Is(err, errNotRun) || errors.Is(err, errNotOwner)
	q.mayHaveRun = q.mayHaveRun || !notRun
	switch {
	case ctx.Err() != nil || q.deadline.Sub(f.now()) < 2*deadlineMargin:
		return false
	case q.mayHaveRun && !q.route.Idempotent:
		return false
	case f.suspects.isSuspected(q):
		// An innocent request loses a second try, a guilty one would end another upstream.
		return false
	case q.arrivals >= q.route.MaxAttempts || !f.spend(q):
		return false
	}
	f.meters.inc(f.meters.route(routeRepeated, q.route.Name))
	return true
}

// spend takes a second try from the budget of the request's service.
func (f *front) spend(q *request) bool {
	if f.traffic.spend(q.traffic) {
		return true
	}
	f.meters.inc(f.meters.service(budgetRefused, q.service.Name))
	return false
}

// giveUp turns the last error into the final answer. Only a request that
// surely has not run is refused.
func (f *front) giveUp(ctx context.Context, q *request, err error) error {
	var known *answer.Error
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		return answer.Wrap(answer.Cancelled, err)
	case !q.mayHaveRun && answer.KindOf(err) == answer.HarmfulOnce:
		return err
	case !q.mayHaveRun && errors.As(err, &known) && known.Kind.Response().Execution == answer.NotExecuted && known.Kind != answer.DeadlinePassed:
		return known
	case !q.mayHaveRun && q.arrivals == 0:
		return &answer.Error{Kind: answer.Unreachable, Err: err}
	case !q.mayHaveRun:
		return &answer.Error{Kind: answer.Overloaded, Err: err}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return &answer.Error{Kind: answer.TimedOut, Err: err}
	}
	return &answer.Error{Kind: answer.Broken, Err: err}
}
