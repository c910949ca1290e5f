package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/retry"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
)

func (p *Proxy) budget(service string) *retry.Budget {
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

// deliver tries until the request has its answer, its fate is decided, or its
// deadline has passed.
func (p *Proxy) deliver(ctx context.Context, r *http.Request, q *request, h http.Header) (*reply, error) {
	for try := 1; ; try++ {
		route := p.gate.Route(q.service.Name, q.hash)
		resp, err := p.attempt(ctx, r, q, route, h)
		if err == nil {
			return resp, nil
		}
		again, wait := p.again(q, err, try)
		if !again {
			return nil, err
		}
		if !p.pause(ctx, route, wait) {
			return nil, err
		}
	}
}

// errMoved says that the route changed before anything was sent.
var errMoved = answer.New(answer.NoOwner, "the key is changing owner")

// contextError tells a passed deadline from a caller that left.
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

// again decides whether another try is allowed and after which pause. Only
// what certainly did not run, or is idempotent, is ever sent again.
func (p *Proxy) again(q *request, err error, try int) (bool, time.Duration) {
	if err == errMoved {
		return true, 0
	}
	if err == errShed {
		// Not run, but another try is more load for an owner that sheds.
		return q.canSendAgain() && p.budget(q.service.Name).Spend(), p.nextPause(try)
	}
	kind := answer.KindOf(err)
	if kind == answer.WrongCell && q.hops > 0 {
		return false, 0
	}
	switch kind {
	case answer.NotOwner, answer.Unreachable, answer.NoRight, answer.WrongCell, answer.NoOwner, answer.Stopping:
		// Not run: these end when ownership has settled. The pause grows and
		// the deadline ends it.
	case answer.Broken:
		if !q.idempotent {
			return false, 0
		}
	default:
		return false, 0
	}
	if !q.canSendAgain() || !p.budget(q.service.Name).Spend() && kind == answer.Broken {
		return false, 0
	}
	return true, p.nextPause(try)
}

func (p *Proxy) nextPause(try int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backoff.Pause(try, p.rng)
}

// errShed says that the owner refused for overload before any work.
var errShed = answer.New(answer.Overloaded, "the owner sheds load")

// pause waits for the given time or until the route may have changed. It
// returns false when the deadline comes first.
func (p *Proxy) pause(ctx context.Context, route gate.Route, wait time.Duration) bool {
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

// leaveAfterError ends a request that failed. An upstream that does not check
// epochs may go on with what it was sent until the deadline: the range counts
// as in use until then.
func (p *Proxy) leaveAfterError(q *request, slot *gate.Slot, sent bool) {
	left := q.deadline.Sub(p.clock())
	if !sent || q.service.ChecksFences || left <= 0 {
		p.gate.Leave(slot)
		return
	}
	time.AfterFunc(left, func() { p.gate.Leave(slot) })
}

// sendError classifies a failed try. Where bytes may have reached the upstream
// the outcome is unknown, and the epoch tells the caller how to ask again.
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

// refusal maps the reason of an upstream that refused before any work.
func refusal(reason string) error {
	switch reason {
	case header.RefusedOverloaded:
		return errShed
	case header.RefusedDeadline:
		return answer.New(answer.DeadlinePassed, "the owner had no time left")
	case header.RefusedStopping:
		return answer.New(answer.Stopping, "the owner is stopping")
	}
	return answer.New(answer.NotOwner, "the owner does not hold the key at this epoch")
}
