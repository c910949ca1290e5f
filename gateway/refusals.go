package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/protocol/answer"
)

// This file turns refusals of the dispatcher into errors for callers.

// refusalAnswer returns the error for a refusal, or nil if the request was not refused.
func (t *traffic) refusalAnswer(s *serviceTraffic, req *dispatch.Request, d dispatch.Decision) error {
	if d.Granted() {
		return nil
	}
	if d.Refusal != dispatch.Resting {
		return refusalError(d)
	}
	left := t.restRemaining(s, req)
	if req.Owner != "" {
		// If an owner rests for longer than that, its keys are moved.
		left = min(left, patience.RetryAfterMovingKey())
	}
	err := answer.New(answer.Overloaded, "all that could run it want nothing more for a while")
	err.RetryAfter = patience.RetryAfterRest(left, t.randomFraction())
	return err
}

// refusalError returns the error for a refusal, with the time after which the caller should retry.
func refusalError(d dispatch.Decision) error {
	err := refusalKind(d.Refusal)
	err.RetryAfter = d.RetryAfter
	if err.RetryAfter == 0 {
		err.RetryAfter = defaultRetryAfter(d.Refusal)
	}
	return err
}

// refusalKind returns the error for a reason.
func refusalKind(r dispatch.Refusal) *answer.Error {
	switch r {
	case dispatch.NoUpstream:
		return answer.New(answer.NoOwner, "no upstream is known that could run it")
	case dispatch.OwnerUnresponsive:
		return answer.New(answer.NoOwner, "the owner of the key does not answer")
	case dispatch.Evacuated:
		return answer.New(answer.NoOwner, "the owner of the key is in an evacuated failure domain")
	case dispatch.Leaving:
		return answer.New(answer.NoOwner, "the owner of the key leaves")
	case dispatch.WarmingUp:
		return answer.New(answer.Overloaded, "the owner of the key warms up")
	case dispatch.ColdKey:
		return answer.New(answer.Overloaded, "the key is cold at a busy owner")
	case dispatch.HotKey:
		return answer.New(answer.Overloaded, "the key is asked for more often than its owner can run")
	case dispatch.Limited:
		return answer.New(answer.Overloaded, "all that could run it name a limit, and more is asked for")
	case dispatch.CallerShare:
		return answer.New(answer.Overloaded, "no upstream has room, and the caller asks for more than its share")
	case dispatch.TooLate:
		return answer.New(answer.Overloaded, "it cannot be answered in time")
	}
	return answer.New(answer.Overloaded, "no upstream has room")
}

// defaultRetryAfter returns the retry time for a reason if nothing more is known. Zero leaves the
// choice to the kind of the error.
func defaultRetryAfter(r dispatch.Refusal) time.Duration {
	switch r {
	case dispatch.Leaving:
		return patience.RetryAfterMovingKey()
	case dispatch.WarmingUp, dispatch.ColdKey:
		return patience.RetryAfterColdKey()
	case dispatch.HotKey:
		return patience.RetryAfterHotKey()
	case dispatch.Limited:
		return patience.RetryAfterLimited()
	}
	return 0
}
