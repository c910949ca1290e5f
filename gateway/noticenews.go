package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file uses what upstreams have told all gateways of themselves where owners of keys are
// decided: keys of one that leaves or rests are handed over as if its entry said so.

const (
	// leastRest is the shortest rest for which keys are handed over: the news and a move take
	// some tenths of a second.
	leastRest = 500 * time.Millisecond
	// restingShare is the share of the gateways that an owner must have asked for rest: asked by
	// a few it serves what the others are asked for.
	restingShare = 0.5
)

// told returns what this gateway and those that report to it have at the upstream, and what it has
// told them; nil for nothing.
func (s *assignmentSupervisor) told(upstream string) *syncpb.Load {
	return s.cluster.sum(s.lastOwnReport().loads).loads[upstream]
}

// toldLeaving returns the upstreams that have told a gateway that they leave.
func (s *assignmentSupervisor) toldLeaving() map[string]bool {
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

// rests reports whether the upstream has asked so many gateways for so long a rest that its keys
// are better off elsewhere.
func (s *assignmentSupervisor) rests(upstream string) bool {
	l := s.told(upstream)
	if l == nil || time.Duration(l.RestMs)*time.Millisecond < leastRest {
		return false
	}
	return float64(l.Resting) >= restingShare*float64(s.cluster.gateways())
}
