package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/limits"
)

// This file tells other gateways of the limits that upstreams name, and adds up what all are
// asked for that these upstreams would get. A gateway of hundreds may see an answer of an upstream
// every few seconds only.

// mostLimits bounds the limits that are taken over from one message.
const mostLimits = 4096

// messages tells the limits that are known, and with each how many requests a second are wanted.
func (n *namedLimits) messages(wanted func(upstream string) float64) []*syncpb.NamedLimit {
	list := n.list()
	out := make([]*syncpb.NamedLimit, 0, len(list))
	for _, l := range list {
		out = append(out, &syncpb.NamedLimit{
			Upstream: l.Upstream, Incarnation: uint32(l.Incarnation), PerSecond: float32(l.PerSecond), Ended: l.Ended,
			AgeMs: milliseconds(n.now().Sub(l.At)), Wanted: float32(wanted(l.Upstream)),
		})
	}
	return out
}

// told takes over what another gateway tells.
func (n *namedLimits) told(list []*syncpb.NamedLimit) {
	if len(list) > 0 {
		n.note(limitFromGateway, n.fromMessages(list)...)
	}
}

func (n *namedLimits) fromMessages(list []*syncpb.NamedLimit) []limits.Limit {
	now := n.now()
	out := make([]limits.Limit, 0, len(list))
	for _, m := range list {
		out = append(out, limits.Limit{
			Upstream: m.Upstream, Incarnation: instances.Incarnation(m.Incarnation), PerSecond: float64(m.PerSecond), Ended: m.Ended,
			At: now.Add(-time.Duration(m.AgeMs) * time.Millisecond),
		})
	}
	return out
}

// lackedBy reports whether the limits that are known differ from those that another gateway
// knows.
func (n *namedLimits) lackedBy(list []*syncpb.NamedLimit) bool {
	known := n.list()
	if len(known) == 0 {
		return false
	}
	theirs := limits.NewBook()
	for _, l := range n.fromMessages(list) {
		theirs.Note(l)
	}
	for _, l := range known {
		if theirs.Note(l) {
			return true
		}
	}
	return false
}

// news returns the limits in force, with what the other gateways are asked for as it is told.
func (n *namedLimits) news(elsewhere func(upstream string) (wanted float64, known bool)) map[string]dispatch.Limit {
	v := n.view.inst.Load()
	if v == nil {
		return nil
	}
	out := make(map[string]dispatch.Limit)
	for _, l := range n.list() {
		one := v.Get(l.Upstream)
		if one == nil || l.Ended || l.Incarnation.Other(one.Incarnation()) {
			continue
		}
		wanted, known := elsewhere(l.Upstream)
		if !known {
			wanted = -1
		}
		out[l.Upstream] = dispatch.Limit{PerSecond: l.PerSecond, Wanted: wanted}
	}
	return out
}

// soundLimits drops what cannot be from what another gateway tells of limits.
func (s *peerValidator) soundLimits(source string, list []*syncpb.NamedLimit) []*syncpb.NamedLimit {
	out := make([]*syncpb.NamedLimit, 0, min(len(list), mostLimits))
	for _, m := range list[:min(len(list), mostLimits)] {
		if m.Upstream == "" || !isRate(m.PerSecond) || !isRate(m.Wanted) {
			s.recordInvalid(source, m.Upstream, errInvalidNumber)
			continue
		}
		out = append(out, m)
	}
	return out
}

// mostRate bounds the rates that are believed, in requests a second.
const mostRate = 1 << 20

func isRate(n float32) bool { return n >= 0 && n <= mostRate }

// wantedElsewhere returns how many requests a second all gateways but the given one and those
// behind it are asked for that the upstream would get; known is false when the parent has not told
// yet. own is what this process is asked for.
func (c *cluster) wantedElsewhere(except string, own map[string]float64, upstream string) (wanted float64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if except != c.self.Node {
		wanted += own[upstream]
	}
	for node, one := range c.children {
		if node != except && c.now().Sub(one.lastReport) < reportExpiry {
			wanted += one.wanted[upstream]
		}
	}
	if c.leading {
		return wanted, true
	}
	above, known := c.parentWanted[upstream]
	return wanted + above, known
}

// wantedByOthers is wantedElsewhere for this gateway.
func (c *cluster) wantedByOthers(upstream string) (wanted float64, known bool) {
	return c.wantedElsewhere(c.self.Node, nil, upstream)
}

// wantedBelow returns how many requests a second this gateway and those that report to it are
// asked for that the upstream would get.
func (c *cluster) wantedBelow(own map[string]float64, upstream string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := own[upstream]
	for _, one := range c.children {
		if c.now().Sub(one.lastReport) < reportExpiry {
			wanted += one.wanted[upstream]
		}
	}
	return wanted
}

// setWantedAbove takes over what the parent told that the others are asked for. What it told
// last stands while none does: a gateway that is cut off goes on with its former part.
func (c *cluster) setWantedAbove(list []*syncpb.NamedLimit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parentWanted = wantedOf(list)
}

func wantedOf(list []*syncpb.NamedLimit) map[string]float64 {
	if len(list) == 0 {
		return nil
	}
	out := make(map[string]float64, len(list))
	for _, m := range list {
		out[m.Upstream] = float64(m.Wanted)
	}
	return out
}
