// Package check compares the outcomes that callers saw with the requests that upstreams ran.
package check

import (
	"fmt"
	"slices"

	"github.com/rockcroft/rockcroft/bench/load"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/standin/upstream"
)

// Rule names a guarantee that a history can violate.
type Rule string

// Rules.
const (
	// RanTwice: a non-idempotent request ran more than once.
	RanTwice Rule = "ran twice"
	// NotRunRan: a request ran although the response said that it was not run.
	NotRunRan Rule = "told not run, but ran"
	// AnsweredNotRun: a request was answered, but no upstream ran it.
	AnsweredNotRun Rule = "answered, but not run"
	// WrongResponse: a caller received the response to another request.
	WrongResponse Rule = "answer of another request"
	// EpochDecreased: requests for a key ran under an older epoch after a newer one.
	EpochDecreased Rule = "older epoch after a newer one"
	// TwoOwners: two upstreams ran requests for a key under the same epoch.
	TwoOwners Rule = "two owners in one epoch"
)

// Violation is one violated rule.
type Violation struct {
	Rule   Rule
	Detail string
}

// Report is the result of a check, with the number of outcomes and runs compared.
type Report struct {
	Outcomes   int
	Runs       int
	Violations []Violation
}

// History checks outcomes against the runs logged by all upstreams.
func History(outcomes []load.Outcome, runs []upstream.Run) Report {
	r := Report{Outcomes: len(outcomes), Runs: len(runs)}
	r.checkRequests(outcomes, runs)
	r.checkKeys(runs)
	return r
}

func (r *Report) add(rule Rule, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{rule, fmt.Sprintf(format, args...)})
}

func (r *Report) checkRequests(outcomes []load.Outcome, runs []upstream.Run) {
	ran := make(map[string]int)
	for _, run := range runs {
		ran[run.RequestID]++
		if !run.Idempotent && ran[run.RequestID] == 2 {
			r.add(RanTwice, "request %s, key %s, by %s", run.RequestID, run.Key, run.Upstream)
		}
	}
	notRun := make(map[string]bool)
	for _, o := range outcomes {
		if o.OK() {
			r.checkResponse(o, ran)
		}
		reportedNotRun := o.Ran == string(answer.NotExecuted)
		before, seen := notRun[o.RequestID]
		notRun[o.RequestID] = reportedNotRun && (before || !seen)
	}
	for id, reportedNotRun := range notRun {
		if reportedNotRun && ran[id] > 0 {
			r.add(NotRunRan, "request %s", id)
		}
	}
}

func (r *Report) checkResponse(o load.Outcome, ran map[string]int) {
	if o.ResponseID != o.RequestID || o.ResponseKey != o.Key {
		r.add(WrongResponse, "request %s got the answer of %s", o.RequestID, o.ResponseID)
	}
	if ran[o.RequestID] == 0 {
		r.add(AnsweredNotRun, "request %s", o.RequestID)
	}
}

// checkKeys checks the runs of each key in chronological order.
func (r *Report) checkKeys(runs []upstream.Run) {
	byKey := make(map[string][]upstream.Run)
	for _, run := range runs {
		byKey[run.Key] = append(byKey[run.Key], run)
	}
	for key, list := range byKey {
		slices.SortStableFunc(list, func(a, b upstream.Run) int { return int(a.At - b.At) })
		r.checkKey(key, list)
	}
}

func (r *Report) checkKey(key string, list []upstream.Run) {
	for i := 1; i < len(list); i++ {
		a, b := list[i-1], list[i]
		if b.Epoch < a.Epoch {
			r.add(EpochDecreased, "key %s: %s at epoch %d after %s at %d", key, b.Upstream, b.Epoch, a.Upstream, a.Epoch)
		}
		if b.Epoch == a.Epoch && b.Upstream != a.Upstream {
			r.add(TwoOwners, "key %s: %s and %s at epoch %d", key, a.Upstream, b.Upstream, b.Epoch)
		}
	}
}
