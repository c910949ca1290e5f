package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// Load is the state of one upstream as reported to the other gateways.
type Load struct {
	Instance string
	// Incarnation tells which start of the upstream this is about.
	Incarnation instances.Incarnation
	// Inflight is the mean number of requests from here since the last call.
	Inflight float64
	// Runs are those seen from here since the last call.
	Runs    worktime.Sum
	Silent  time.Duration
	Refused bool
	// Leaving says that it has told this gateway that it leaves, Rest for how long it wants
	// nothing more from here.
	Leaving bool
	Rest    time.Duration
}

// Loads returns what is worth a report: upstreams with requests from here or
// with troubles.
func (s *Service) Loads(now time.Time) []Load {
	var out []Load
	for _, u := range s.order {
		u.advance(now)
		span := now.Sub(u.reportedAt).Seconds()
		mean := u.alive()
		if span > 0 {
			mean = u.area / span
		}
		u.area, u.reportedAt = 0, now
		l := Load{Instance: u.ID, Incarnation: u.Incarnation(), Inflight: mean, Runs: u.runs, Refused: u.refused}
		u.runs = worktime.Sum{}
		if u.pause > 0 || u.silent(now, s.typical) {
			l.Silent = max(now.Sub(u.lastAnswer), time.Millisecond)
		}
		l.Leaving, l.Rest = u.said.Leaving(), u.said.RestRemaining(now)
		if mean > 0 || l.Silent > 0 || l.Runs.Runs > 0 || l.Leaving || l.Rest > 0 {
			out = append(out, l)
		}
	}
	return out
}

// Explanation is what a decision was made from.
type Explanation struct {
	// Upstreams is the number known, Usable that of those that may get
	// requests at all.
	Upstreams int
	Usable    int
	// Waiting is the number of requests that wait here.
	Waiting int
	// OwnInflight are the requests from here at the owner, or at all upstreams, Hung those of
	// them that seem forgotten there; Others those that other gateways reported,
	// ReportAge ago.
	OwnInflight    int
	HungInflight   int
	OthersInflight float64
	ReportAge      time.Duration
	// Slots is how many run at once there, Work how long one takes.
	Slots   int
	RunTime time.Duration
	// Part is this gateway's part of the room, Saved how much of it is left at the
	// owner.
	Part       float64
	SavedShare float64
	// LimitedUpstreams is the number of them that name a limit, Limit the owner's, in requests a second,
	// and Wanted what all gateways are asked for of the owner.
	LimitedUpstreams int
	Limit            float64
	TotalDemand      float64
}

// Explain returns what a decision for the owner, or for any upstream, would be
// made from.
func (s *Service) Explain(now time.Time, owner string) Explanation {
	e := Explanation{Waiting: s.waiting, RunTime: s.typical, Part: s.part}
	for _, u := range s.order {
		if owner != "" && u.ID != owner {
			continue
		}
		e.Upstreams++
		if s.usable(now, u) {
			e.Usable++
		}
		e.OwnInflight += u.mine
		e.HungInflight += u.hung
		e.OthersInflight += u.others
		e.Slots += u.Slots
		if !u.othersAt.IsZero() {
			e.ReportAge = max(e.ReportAge, now.Sub(u.othersAt))
		}
		if u.limit != nil {
			e.LimitedUpstreams++
		}
		if owner != "" && u.limit != nil {
			e.Limit, e.TotalDemand = u.limit.PerSecond, u.totalDemand(now)
		}
		if owner != "" {
			e.RunTime = u.workTime(now, s.typical)
			e.SavedShare = u.share.saved
		}
	}
	return e
}
