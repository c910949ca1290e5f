package gateway

import (
	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file sums the demand that gateways report.

// demandExcept returns what is asked of all gateways except the given one and those that report through
// it, by service. own is the demand of this process.
func (c *cluster) demandExcept(except string, own map[string]dispatch.Demand) map[string]dispatch.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]dispatch.Demand)
	if except != c.self.Node {
		for name, d := range own {
			sum[name] = sum[name].Add(d)
		}
	}
	for node, reporter := range c.children {
		if node != except && c.now().Sub(reporter.lastReport) < reportExpiry {
			addDemands(sum, reporter.demands)
		}
	}
	if !c.leading {
		addDemands(sum, c.parentDemands)
	}
	return sum
}

// subtreeDemand returns what is asked of this gateway and of those that report to it, by service.
func (c *cluster) subtreeDemand(own map[string]dispatch.Demand) map[string]dispatch.Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]dispatch.Demand)
	for name, d := range own {
		sum[name] = sum[name].Add(d)
	}
	for _, reporter := range c.children {
		if c.now().Sub(reporter.lastReport) < reportExpiry {
			addDemands(sum, reporter.demands)
		}
	}
	return sum
}

// maxDemand bounds received rates. One that is beyond it, negative or not a number is left out, because it
// would spoil the sum over all gateways.
const maxDemand = 1e9

func addDemands(sum map[string]dispatch.Demand, demands []*syncpb.Demand) {
	valid := func(rate float32) bool { return rate >= 0 && rate <= maxDemand }
	for _, d := range demands {
		if valid(d.Requests) && valid(d.Work) {
			sum[d.Service] = sum[d.Service].Add(dispatch.Demand{Requests: float64(d.Requests), Work: float64(d.Work)})
		}
	}
}

func encodeDemands(demand map[string]dispatch.Demand) []*syncpb.Demand {
	out := make([]*syncpb.Demand, 0, len(demand))
	for name, d := range demand {
		out = append(out, &syncpb.Demand{Service: name, Requests: float32(d.Requests), Work: float32(d.Work)})
	}
	return out
}
