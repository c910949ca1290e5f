package gateway

import (
	"errors"
	"fmt"

	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/protocol/answer"
)

// This file decides where a request may be retried, and what the refusal of a retry promises.
//
// Upstreams may send a response a second time, late and on any connection. It is recognized by the ID of the request,
// which all tries of a request have in common. A refusal therefore identifies a try only if the upstream received no
// other one. Upstreams are told apart by their addresses here: one that was started anew at an address may be known
// under its former ID for a while, so that a process can receive two tries under two IDs.

// errAmbiguousRefusal is a refusal of one try while another one may have run.
var errAmbiguousRefusal = errors.New("the request was refused, but another try of it may have run")

// isRefusal reports whether an upstream has stated that it has not run the request and never will.
func isRefusal(err error) bool {
	return errors.Is(err, errNotRun) || errors.Is(err, errNotOwner)
}

// maySendTo reports whether the request may be sent to the upstream at an address. A request that is not idempotent
// is sent there only once: were the second try refused, its outcome would be unknown, and the caller could not retry.
func (q *request) maySendTo(address string) bool {
	return q.route.Idempotent || q.attempts.SentTo(address) == 0
}

// checkRefusal returns the error of a try at an address. A refusal is marked as ambiguous if it may be the response to
// another try of the request, or to another request without an ID.
func (q *request) checkRefusal(address string, err error) error {
	if !isRefusal(err) || q.id != "" && q.attempts.SentTo(address) <= 1 {
		return err
	}
	return fmt.Errorf("%w: %w", errAmbiguousRefusal, err)
}

// checkOwner returns an error if the request must not be sent to the owner of its key because it was sent there
// before. The owner has then refused it.
func (f *proxy) checkOwner(q *request, owner string) error {
	if upstreams := f.view.inst.Load(); upstreams != nil {
		if u := upstreams.Get(owner); u != nil && !q.maySendTo(u.Address) {
			return ownerRefusedError()
		}
	}
	return nil
}

// ownerRefusedError returns the error for a request that its owner has refused and that is not sent there again.
func ownerRefusedError() *answer.Error {
	err := answer.New(answer.NotOwner, "the owner of the key has refused the request")
	// The owner may be about to be granted the key.
	err.RetryAfter = patience.RetryAfterNoCapacity()
	return err
}
