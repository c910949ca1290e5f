package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file counts and logs the outcomes of reports to other gateways.

// reportFailures is an uninterrupted series of failed reports.
type reportFailures struct {
	// since is when the first of them failed.
	since time.Time
	count int
}

// Outcomes of a report to another gateway. They are part of a counter's name.
const (
	reportOK = "ok"
	// reportLate means that no complete response arrived, or no connection was made, in time.
	reportLate    = "late"
	reportRefused = "refused"
	// reportFailed means any other error.
	reportFailed = "failed"
	// reportStale means a response from a gateway that has not recently heard from the leader.
	reportStale = "stale"
)

// errStale is the failure of a report that was answered, but by a gateway that has not recently
// heard from the leader.
var errStale = errors.New("the gateway has not heard from the leader")

// reportError returns the reason why a report failed: its error, or errStale. It returns nil for
// a success.
func reportError(resp *syncpb.SyncResponse, err error) error {
	if err == nil && time.Duration(resp.HeardMs)*time.Millisecond >= leaderSilenceTimeout {
		return errStale
	}
	return err
}

// reportOutcome returns the outcome of a report from the result of reportError.
func reportOutcome(err error) string {
	switch {
	case err == nil:
		return reportOK
	case errors.Is(err, errStale):
		return reportStale
	case errors.Is(err, context.DeadlineExceeded):
		return reportLate
	case errors.Is(err, syscall.ECONNREFUSED):
		return reportRefused
	}
	return reportFailed
}

// recordReport counts the outcome of a report to a parent, given the result of reportError. It
// logs when reports begin to fail and when they succeed again.
func (f *follower) recordReport(to string, err error, took time.Duration) {
	f.meters.inc(fillPattern(reportAnswer, reportOutcome(err)))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if err != nil {
		if f.failing.count == 0 {
			f.failing.since = now
			f.log.Warn("reports to other gateways fail", "to", to, "cause", err.Error(),
				"took_ms", took.Milliseconds(), "heard_ms_ago", milliseconds(now.Sub(f.leaderHeardAt)))
		}
		f.failing.count++
		return
	}
	if f.failing.count > 0 {
		f.log.Info("reports succeed again", "to", to,
			"failed_for_ms", now.Sub(f.failing.since).Milliseconds(), "failures", f.failing.count)
	}
	f.failing = reportFailures{}
}
