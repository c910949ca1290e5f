package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// TestNoErrorPromisesAfterTryThatMayHaveRun guards against an error that says "not run" of a request one try of which may have run.
func TestNoErrorPromisesAfterTryThatMayHaveRun(t *testing.T) {
	failures := []error{errNotRun, errNotOwner, errNotGenuine, errUpstreamClosed, pool.ErrNotSent, pool.ErrBroken, context.DeadlineExceeded, errors.New("other")}
	for _, kind := range answer.Kinds() {
		failures = append(failures, answer.New(kind, "refused"))
	}
	expired, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	<-expired.Done()
	for _, idempotent := range []bool{false, true} {
		for _, ctx := range []context.Context{t.Context(), expired} {
			for _, err := range failures {
				q := &request{route: &routing.Route{Idempotent: idempotent}, mayHaveRun: true, arrivedTries: 1}
				final := (&proxy{}).finalError(ctx, q, err)
				if row := answer.KindOf(final).Response(); statusImpliesNotRun(row.Status) || row.Execution == answer.NotExecuted {
					t.Errorf("idempotent: %v, context %v: %v becomes %v", idempotent, ctx.Err(), err, final)
				}
			}
		}
	}
}

// TestOnlyRefusalsByUpstreamsCountAsNotRun guards against a response of an upstream that is passed on, or counted, as "not run" without its saying so.
func TestOnlyRefusalsByUpstreamsCountAsNotRun(t *testing.T) {
	for status := 200; status < 600; status++ {
		for _, notExecuted := range []bool{false, true} {
			h := http.Header{platform.Signature: {"s"}}
			if notExecuted {
				h.Set(platform.NotExecuted, "1")
			}
			resp, outcome, err := classify(&pool.Response{Status: status, Header: h})
			name := fmt.Sprintf("status %d, not executed: %v", status, notExecuted)
			if resp != nil && statusImpliesNotRun(resp.Status) {
				t.Errorf("%s: passed on", name)
			}
			want := status == http.StatusMisdirectedRequest || notExecuted && status != http.StatusBadRequest
			if isRefusal(err) != want || want != (outcome == dispatch.Overloaded || outcome == dispatch.NotOwner) {
				t.Errorf("%s: outcome %v, error %v", name, outcome, err)
			}
		}
	}
}
