package gateway

import "github.com/rockcroft/rockcroft/protocol/syncpb"

// This file sums the request rates that gateways report.

// demandExcept returns how many requests a second are sent to all gateways except the given one
// and those that report through it, by service. own is the demand of this process.
func (c *cluster) demandExcept(except string, own map[string]float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]float64)
	if except != c.self.Node {
		for name, rate := range own {
			sum[name] += rate
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

// subtreeDemand returns how many requests a second are sent to this gateway and to those that
// report to it, by service.
func (c *cluster) subtreeDemand(own map[string]float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]float64)
	for name, rate := range own {
		sum[name] += rate
	}
	for _, reporter := range c.children {
		if c.now().Sub(reporter.lastReport) < reportExpiry {
			addDemands(sum, reporter.demands)
		}
	}
	return sum
}

func addDemands(sum map[string]float64, demands []*syncpb.Demand) {
	for _, d := range demands {
		sum[d.Service] += float64(d.Requests)
	}
}

func encodeDemands(demand map[string]float64) []*syncpb.Demand {
	out := make([]*syncpb.Demand, 0, len(demand))
	for name, rate := range demand {
		out = append(out, &syncpb.Demand{Service: name, Requests: float32(rate)})
	}
	return out
}
