package gateway

import (
	"cmp"
	"slices"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file sums the demand for contended owners of keys over all gateways.

// maxOwnerDemands bounds the owners in one message, those in most demand first. At 20 bytes each and
// four reports a second, a message that is full at all times takes 2.5 KB a second each way.
const maxOwnerDemands = 32

// ownerDemandExcept returns how many requests a second all gateways except the given one and those
// that report through it receive for each contended owner. own is the demand of this process.
func (c *cluster) ownerDemandExcept(except string, own map[string]float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]float64)
	if except != c.self.Node {
		addRates(sum, own)
	}
	for node, reporter := range c.children {
		if c.now().Sub(reporter.lastReport) >= reportExpiry {
			continue
		}
		if node != except {
			addRates(sum, reporter.ownerDemand)
			continue
		}
		// The receiver learns also that no other gateway has demand for one of its owners.
		for upstream := range reporter.ownerDemand {
			sum[upstream] += 0
		}
	}
	if !c.leading {
		addRates(sum, c.parentOwnerDemand)
	}
	return sum
}

// ownerDemandElsewhere returns ownerDemandExcept for this gateway.
func (c *cluster) ownerDemandElsewhere() map[string]float64 {
	return c.ownerDemandExcept(c.self.Node, nil)
}

// subtreeOwnerDemand returns how many requests a second this gateway and those that report to it
// receive for each contended owner.
func (c *cluster) subtreeOwnerDemand(own map[string]float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := make(map[string]float64)
	addRates(sum, own)
	for _, reporter := range c.children {
		if c.now().Sub(reporter.lastReport) < reportExpiry {
			addRates(sum, reporter.ownerDemand)
		}
	}
	return sum
}

// setParentOwnerDemand stores the demand at the other gateways as received from the parent.
func (c *cluster) setParentOwnerDemand(list []*syncpb.OwnerDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parentOwnerDemand = decodeOwnerDemands(list)
}

func addRates(sum, rates map[string]float64) {
	for id, rate := range rates {
		sum[id] += rate
	}
}

// encodeOwnerDemands returns the demands as messages, at most maxOwnerDemands.
func encodeOwnerDemands(demand map[string]float64) []*syncpb.OwnerDemand {
	out := make([]*syncpb.OwnerDemand, 0, len(demand))
	for id, rate := range demand {
		out = append(out, &syncpb.OwnerDemand{Upstream: id, Requests: float32(rate)})
	}
	slices.SortFunc(out, func(a, b *syncpb.OwnerDemand) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), maxOwnerDemands)]
}

func decodeOwnerDemands(list []*syncpb.OwnerDemand) map[string]float64 {
	if len(list) == 0 {
		return nil
	}
	out := make(map[string]float64, len(list))
	for _, m := range list {
		out[m.Upstream] = float64(m.Requests)
	}
	return out
}

// validOwnerDemands returns the demands of another gateway's message without the invalid ones, which
// it counts and logs.
func (v *peerValidator) validOwnerDemands(source string, list []*syncpb.OwnerDemand) []*syncpb.OwnerDemand {
	out := make([]*syncpb.OwnerDemand, 0, min(len(list), maxOwnerDemands))
	for _, m := range list[:min(len(list), maxOwnerDemands)] {
		if m.Upstream == "" || !validRate(m.Requests) {
			v.recordInvalid(source, m.Upstream, errInvalidNumber)
			continue
		}
		out = append(out, m)
	}
	return out
}
