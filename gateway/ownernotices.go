package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file uses the notices reported by all gateways when owners of keys are decided: the keys of
// an upstream that is leaving or resting are handed over as if its entry in the store were marked
// that way.

const (
	// minRest is the shortest rest for which keys are handed over. Reporting the rest and moving
	// the keys takes some tenths of a second.
	minRest = 500 * time.Millisecond
	// minRestingShare is the share of the gateways that an owner must have asked for a rest. If it
	// has asked only a few, it still serves the requests of the others.
	minRestingShare = 0.5
)

// reportedLoad returns the load that this gateway and those that report to it have at the
// upstream, with the notices they received from it, or nil if there is none.
func (s *assignmentSupervisor) reportedLoad(upstream string) *syncpb.Load {
	return s.cluster.sum(s.lastOwnReport().loads).loads[upstream]
}

// reportedLeaving returns the upstreams that have told any gateway that they are leaving.
func (s *assignmentSupervisor) reportedLeaving() map[string]bool {
	var out map[string]bool
	for id, l := range s.cluster.sum(s.lastOwnReport().loads).loads {
		if !l.Leaving {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[id] = true
	}
	return out
}

// isResting reports whether the upstream has asked enough gateways for a long enough rest that
// its keys should move.
func (s *assignmentSupervisor) isResting(upstream string) bool {
	l := s.reportedLoad(upstream)
	if l == nil || time.Duration(l.RestMs)*time.Millisecond < minRest {
		return false
	}
	return float64(l.Resting) >= minRestingShare*float64(s.cluster.gatewayCount())
}
