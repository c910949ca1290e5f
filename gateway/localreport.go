package gateway

import (
	"maps"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file collects this gateway's own part of a report, and applies what the others reported.

// maxReportedKeys bounds the keys that are collected for one report.
const maxReportedKeys = 512

// localReport is this gateway's own part of a report to the leader.
type localReport struct {
	loads []*syncpb.Load
	// demand is what this gateway is asked for, by service. limitedDemand is the part of the requests
	// per second that would go to upstreams which announce a limit, by upstream.
	demand        map[string]dispatch.Demand
	limitedDemand map[string]float64
	// ownerDemand is the part of demand for contended owners of keys, by upstream.
	ownerDemand map[string]float64
	// keys are the requests for keys since the last report, by service.
	keys map[string][]keyRequest
}

// recordKey records a request of a route for a key, for the next report.
func (s *serviceTraffic) recordKey(key uint16, route string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.keys) < maxReportedKeys {
		s.keys = append(s.keys, keyRequest{key: key, work: s.dispatch.RouteFactor(route)})
	}
}

// forwardKeys records the requests that another gateway reported, for the next report.
func (s *serviceTraffic) forwardKeys(requests []keyRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keys = append(s.keys, requests[:min(len(requests), max(maxReportedKeys-len(s.keys), 0))]...)
}

// takeReport returns the local report and clears the collected keys.
func (t *traffic) takeReport() *localReport {
	now := t.now()
	r := &localReport{keys: make(map[string][]keyRequest), demand: make(map[string]dispatch.Demand), limitedDemand: make(map[string]float64), ownerDemand: make(map[string]float64)}
	for name, s := range t.all() {
		s.mu.Lock()
		r.loads = append(r.loads, loadMessages(s.dispatch.Loads(now))...)
		r.demand[name] = s.dispatch.Demand(now)
		maps.Copy(r.limitedDemand, s.dispatch.LimitedDemand(now))
		maps.Copy(r.ownerDemand, s.dispatch.OwnerDemand(now))
		if len(s.keys) > 0 {
			r.keys[name] = s.keys
			s.keys = nil
		}
		s.mu.Unlock()
	}
	return r
}

// applyReport applies what the other gateways reported, their demand by service and the
// admission limits of hot keys.
func (t *traffic) applyReport(report dispatch.ClusterReport, demand map[string]dispatch.Demand, limits admittedShares) {
	t.setGateways(report.Gateways)
	now := t.now()
	for name, s := range t.all() {
		s.mu.Lock()
		report.Demand, report.HotKeyAdmission = demand[name], limits[name]
		s.dispatch.ApplyReport(now, report)
		s.mu.Unlock()
	}
}
