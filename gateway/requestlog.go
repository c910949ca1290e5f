package gateway

import (
	"net/http"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
)

// logRefusal logs why a request was not answered, with the inputs of that decision.
func (f *proxy) logRefusal(r *http.Request, q *request, kind answer.Kind, retryAfter time.Duration, err error) {
	if kind == answer.Cancelled {
		return
	}
	attrs := []any{"request", platform.ID(r.Header), "kind", kind, "cause", err.Error(), "retry_after_ms", retryAfter.Milliseconds(), "bytes_held", f.bytes.Stats().Held}
	if t := f.view.table.Load(); t != nil {
		attrs = append(attrs, "configuration", t.Version)
	}
	if q == nil {
		f.log.Warn("request not answered", append(attrs, "host", r.Host, "path", r.URL.Path)...)
		return
	}
	attrs = append(attrs, "route", q.route.Name, "arrivals", q.arrivedTries, "unsent", q.unsentTries,
		"tried", q.excluded, "connections", q.attempts.Connections(), "after_ms", f.now().Sub(q.receivedAt).Milliseconds(), "allowed_ms", q.deadline.Sub(q.receivedAt).Milliseconds())
	if q.service == nil {
		f.log.Warn("request not answered", attrs...)
		return
	}
	owner := ""
	if q.service.Keyed {
		owner = f.currentOwner(q)
		attrs = append(attrs, "key", q.key, "upstream", owner, "cold", f.span(q).Cold)
		if t := f.view.spansOf(q.service.Name); t != nil {
			attrs = append(attrs, "owners_version", t.Version)
		}
	}
	e := f.traffic.explain(q.traffic, owner)
	attrs = append(attrs, "service", q.service.Name, "upstreams", e.Upstreams, "usable", e.Usable, "waiting", e.Waiting,
		"mine", e.OwnInflight, "hung", e.HungInflight, "part", e.Part, "saved", e.SavedShare, "others", int(e.OthersInflight), "others_age_ms", e.ReportAge.Milliseconds(), "slots", e.Slots, "limited", e.LimitedUpstreams, "limit", e.Limit, "wanted", e.TotalDemand, "pool_load", e.PoolLoad, "pool_saved", e.PoolCredit, "rejecting", e.Rejecting, "work_ms", e.RunTime.Milliseconds(), "cold_factor", e.ColdFactor, "odds", e.Odds, "owner_demand", e.OwnerDemand)
	f.log.Warn("request not answered", attrs...)
}

// successSampleInterval selects the logged successes: one of this many successes at the first
// try is logged.
const successSampleInterval = 200

// logAnswered logs how a request was answered: always if it was sent more than once, otherwise
// for a sample.
func (f *proxy) logAnswered(q *request, d *delivery, status int) {
	if f.answeredCount.Add(1)%successSampleInterval != 0 && q.arrivedTries+q.unsentTries == 0 && !d.hedged {
		return
	}
	f.log.Info("request answered", "request", q.id, "route", q.route.Name, "service", q.service.Name,
		"upstream", d.lastGrant.Instance.ID, "status", status, "arrivals", q.arrivedTries, "unsent", q.unsentTries, "tried", q.excluded,
		"connections", q.attempts.Connections(), "hedged", d.hedged, "expected_ms", d.lastGrant.ExpectedLatency.Milliseconds(), "ahead", d.lastGrant.InFlight,
		"after_ms", f.now().Sub(q.receivedAt).Milliseconds())
}

// logRetry logs that a request is sent again, and the reason.
func (f *proxy) logRetry(q *request, first dispatch.Grant, cause error) {
	reason := "overdue"
	if cause != nil {
		reason = cause.Error()
	}
	f.log.Info("request sent again", "request", q.id, "route", q.route.Name, "service", q.service.Name,
		"upstream", first.Instance.ID, "cause", reason, "arrivals", q.arrivedTries, "unsent", q.unsentTries,
		"after_ms", f.now().Sub(q.receivedAt).Milliseconds())
}
