package entry

import (
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

// updateGauges sets the gauges that describe the state of this entry.
func (e *Entry) updateGauges() {
	now := e.clock()
	telemetry.SetGauge(e.registry, "entry.may_send", boolGauge(e.gate.MaySend()))
	telemetry.SetGauge(e.registry, "entry.right_left_ms", max(e.gate.RightUntil().Sub(now).Milliseconds(), 0))
	telemetry.SetGauge(e.registry, "controller.leads", boolGauge(e.control.isLeader()))
	doc := e.gate.Doc()
	if doc == nil {
		return
	}
	lost, unowned := 0, 0
	for _, u := range doc.Upstreams {
		if u.State == cell.Lost {
			lost++
		}
	}
	for _, s := range doc.Services {
		for _, r := range s.Ranges {
			if r.Phase != cell.Owned {
				unowned++
			}
		}
	}
	telemetry.SetGauge(e.registry, "cell.version", int64(doc.Version))
	telemetry.SetGauge(e.registry, "cell.fence", int64(doc.Fence))
	telemetry.SetGauge(e.registry, "cell.voters", int64(len(doc.Quorum.Local)))
	telemetry.SetGauge(e.registry, "cell.upstreams_lost", int64(lost))
	telemetry.SetGauge(e.registry, "cell.ranges_without_owner", int64(unowned))
	for _, u := range e.pool.All() {
		limit, inflight, waiting := u.Limiter.Load()
		telemetry.SetGauge(e.registry, "upstream."+u.ID+".limit", int64(limit))
		telemetry.SetGauge(e.registry, "upstream."+u.ID+".inflight", int64(inflight))
		telemetry.SetGauge(e.registry, "upstream."+u.ID+".waiting", int64(waiting))
	}
}

func boolGauge(on bool) int64 {
	if on {
		return 1
	}
	return 0
}
