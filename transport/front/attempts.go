package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/retry"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
)

func (p *Proxy) retryBudget(service string) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.budgets[service]
	if b == nil {
		share := 0.1
		if conf := p.docs.Service(service); conf != nil {
			share = conf.RetryShare
		}
		b = retry.NewBudget(share, retryBurst)
		p.budgets[service] = b
	}
	return b
}

// deliver makes attempts until it receives a response, fails with an error that must not be
// retried, or reaches its deadline.
func (p *Proxy) deliver(ctx context.Context, r *http.Request, q *request, h http.Header) (*response, error) {
	for attempt := 1; ; attempt++ {
		route := p.gate.Route(q.service.Name, q.keyHash)
		resp, err := p.attempt(ctx, r, q, route, h)
		if err == nil {
			return resp, nil
		}
		retryAllowed, wait := p.shouldRetry(q, err, attempt)
		if !retryAllowed {
			return nil, err
		}
		if !p.waitToRetry(ctx, route, wait) {
			return nil, err
		}
	}
}

// errRouteChanged reports that the route changed before anything was sent.
var errRouteChanged = answer.New(answer.NoOwner, "the key is changing owner")

// contextError distinguishes an expired deadline from a caller that disconnected.
func (p *Proxy) contextError(ctx context.Context, sent bool) error {
	timedOut := errors.Is(ctx.Err(), context.DeadlineExceeded)
	switch {
	case timedOut && sent:
		return answer.New(answer.TimedOut, "the deadline passed after the request was sent")
	case timedOut:
		return answer.New(answer.DeadlinePassed, "the deadline passed before the request was sent")
	}
	return answer.New(answer.Cancelled, "the caller left")
}

// shouldRetry reports whether another attempt is allowed and how long to wait before it. Only
// requests that certainly did not run or that are idempotent are sent again.
func (p *Proxy) shouldRetry(q *request, err error, attempt int) (bool, time.Duration) {
	if err == errRouteChanged {
		return true, 0
	}
	if err == errOwnerOverloaded {
		// The request did not run, but a retry adds load to an overloaded owner.
		return q.canResend() && p.retryBudget(q.service.Name).Spend(), p.nextBackoff(attempt)
	}
	kind := answer.KindOf(err)
	if kind == answer.WrongCell && q.hops > 0 {
		return false, 0
	}
	switch kind {
	case answer.NotOwner, answer.Unreachable, answer.NoRight, answer.WrongCell, answer.NoOwner, answer.Stopping:
		// The request did not run. These errors end once ownership has settled, so an exhausted
		// retry budget does not stop the attempts; the growing wait and the deadline do.
	case answer.Broken:
		if !q.idempotent {
			return false, 0
		}
	default:
		return false, 0
	}
	if !q.canResend() || !p.retryBudget(q.service.Name).Spend() && kind == answer.Broken {
		return false, 0
	}
	return true, p.nextBackoff(attempt)
}

func (p *Proxy) nextBackoff(attempt int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backoff.Pause(attempt, p.rng)
}

// errOwnerOverloaded reports that the owner refused the request because of overload, before any
// work.
var errOwnerOverloaded = answer.New(answer.Overloaded, "the owner sheds load")

// waitToRetry waits for the given time or until the route may have changed. It returns false if the
// deadline comes first.
func (p *Proxy) waitToRetry(ctx context.Context, route gate.Route, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	if deadline, ok := ctx.Deadline(); ok && p.clock().Add(wait).After(deadline) {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-route.Changed():
		return true
	case <-ctx.Done():
		return false
	}
}

// leaveGateAfterError marks the end of a failed request. An upstream that does not check epochs may
// continue to work on it until the deadline, so the range counts as in use until then.
func (p *Proxy) leaveGateAfterError(q *request, slot *gate.Slot, sent bool) {
	left := q.deadline.Sub(p.clock())
	if !sent || q.service.ChecksFences || left <= 0 {
		p.gate.Leave(slot)
		return
	}
	time.AfterFunc(left, func() { p.gate.Leave(slot) })
}

// sendError classifies a failed attempt. If any byte may have reached the upstream, the outcome is
// unknown, and the epoch header tells the caller how to repeat the request.
func (p *Proxy) sendError(ctx context.Context, q *request, slot *gate.Slot, sent bool, err error, h http.Header) error {
	if sent {
		h.Set(header.Epoch, strconv.FormatUint(slot.Epoch, 10))
	}
	if ctx.Err() != nil {
		return p.contextError(ctx, sent)
	}
	if sent {
		return answer.New(answer.Broken, "the connection to %s broke: %v", slot.Owner, err)
	}
	return answer.New(answer.Unreachable, "%s cannot be reached: %v", slot.Owner, err)
}

// maxRefusalBytes bounds the body of a refusal or an error, in bytes. Nothing in it is used.
const maxRefusalBytes = 64 << 10

// readRefusal reads the body of a response whose head says that the request was refused. A refusal that has not arrived
// whole is an error: it is no evidence that the request was not executed.
func readRefusal(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	_, err := io.Copy(io.Discard, http.MaxBytesReader(nil, resp.Body, maxRefusalBytes))
	return err
}

// refusalError returns the error for the reason with which an upstream refused a request before any
// work.
func refusalError(reason string) error {
	switch reason {
	case header.RefusedOverloaded:
		return errOwnerOverloaded
	case header.RefusedDeadline:
		return answer.New(answer.DeadlinePassed, "the owner had no time left")
	case header.RefusedStopping:
		return answer.New(answer.Stopping, "the owner is stopping")
	}
	return answer.New(answer.NotOwner, "the owner does not hold the key at this epoch")
}
