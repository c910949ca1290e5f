package gateway

import "github.com/rockcroft/rockcroft/protocol/syncpb"

// This file adds up what gateways are asked for, as they report it.

// demandElsewhere returns how many requests a second all gateways but the given one and
// those behind it are asked for, by service. own is what this process is asked for.
func (c *cluster) demandElsewhere(except string, own map[string]float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]float64)
	if except != c.self.Node {
		for name, rate := range own {
			sum[name] += rate
		}
	}
	for node, one := range c.children {
		if node != except && c.now().Sub(one.lastReport) < reportExpiry {
			addDemands(sum, one.demands)
		}
	}
	if !c.leading {
		addDemands(sum, c.parentDemands)
	}
	return sum
}

// demandBelow returns what this gateway and those that report to it are asked for.
func (c *cluster) demandBelow(own map[string]float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]float64)
	for name, rate := range own {
		sum[name] += rate
	}
	for _, one := range c.children {
		if c.now().Sub(one.lastReport) < reportExpiry {
			addDemands(sum, one.demands)
		}
	}
	return sum
}

func addDemands(sum map[string]float64, demands []*syncpb.Demand) {
	for _, d := range demands {
		sum[d.Service] += float64(d.Requests)
	}
}

func demandMessages(demand map[string]float64) []*syncpb.Demand {
	out := make([]*syncpb.Demand, 0, len(demand))
	for name, rate := range demand {
		out = append(out, &syncpb.Demand{Service: name, Requests: float32(rate)})
	}
	return out
}
