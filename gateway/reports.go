package gateway

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file counts and logs how reports to other gateways end.

// failedReports is a run of reports that all ended without success.
type failedReports struct {
	// since is when the first of them ended.
	since time.Time
	count int
}

// How a report to another gateway ends, the parts of the counter's name.
const (
	reportOK = "ok"
	// reportLate is no whole answer in time, or no connection.
	reportLate    = "late"
	reportRefused = "refused"
	// reportFailed is any other error.
	reportFailed = "failed"
	// reportStale is an answer of a gateway that has not heard from the leader.
	reportStale = "stale"
)

// errStale is the cause of a report's failure that did get an answer.
var errStale = errors.New("the gateway has not heard from the leader")

// reportError returns why a report is no success: its error, or errStale; nil for a
// success.
func reportError(resp *syncpb.SyncResponse, err error) error {
	if err == nil && time.Duration(resp.HeardMs)*time.Millisecond >= orphanAfter {
		return errStale
	}
	return err
}

// reportEnd names how a report ended whose reportError is err.
func reportEnd(err error) string {
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

// noteReport counts a report to a parent by its reportError. It logs when reports begin
// to fail, and when they succeed again.
func (f *follower) noteReport(to string, err error, took time.Duration) {
	f.meters.inc(fillPattern(reportAnswer, reportEnd(err)))
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if err != nil {
		if f.failing.count == 0 {
			f.failing.since = now
			f.log.Warn("reports to other gateways fail", "to", to, "cause", err.Error(),
				"took_ms", took.Milliseconds(), "heard_ms_ago", milliseconds(now.Sub(f.heard)))
		}
		f.failing.count++
		return
	}
	if f.failing.count > 0 {
		f.log.Info("reports succeed again", "to", to,
			"failed_for_ms", now.Sub(f.failing.since).Milliseconds(), "failures", f.failing.count)
	}
	f.failing = failedReports{}
}
