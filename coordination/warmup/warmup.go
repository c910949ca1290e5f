// Package warmup decides which gateway may send requests to an upstream that warms up: one
// that has just started, or is cold again, breaks under more than a few requests a second,
// summed over all gateways.
//
// The leader names one gateway for each such upstream and tells all. The right ends by
// itself, and the leader names another gateway only when the former's right has ended; so
// two gateways have one at a time at most when two leaders follow each other, and a gateway
// that hears nothing sends nothing.
package warmup

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/state/instances"
)

// RightDuration is how long a right lasts after the leader has named it: some reports of 250 ms at most,
// as one may be lost, and by way of the head of a failure domain two are needed.
const RightDuration = time.Second

// Upstream is one that warms up.
type Upstream struct {
	ID          string
	Incarnation instances.Incarnation
	Service     string
	// Domain is the failure domain.
	Domain string
}

// Gateway is one that may be named.
type Gateway struct {
	Node   string
	Domain string
}

// Right is the right of one gateway to send requests to an upstream that warms up.
type Right struct {
	Upstream    string
	Incarnation instances.Incarnation
	// Gateway is the node's name.
	Gateway string
}

// Assignments remembers who was named, in the leader. It is not safe for concurrent use.
type Assignments struct {
	// from is when rights that a former leader may have named have ended.
	from    time.Time
	holders map[string]holder
}

type holder struct {
	Right
	service string
	// named is when the right was last told.
	named time.Time
}

// NewAssignments returns the book of a leader whose lead begins.
func NewAssignments(now time.Time) *Assignments {
	return &Assignments{from: now.Add(RightDuration), holders: make(map[string]holder)}
}

// Assign returns the rights that hold from now on for RightTime, in the order of the
// upstreams' IDs. A gateway keeps its right while it is a member.
func (b *Assignments) Assign(now time.Time, warming []Upstream, gateways []Gateway) []Right {
	if now.Before(b.from) {
		return nil
	}
	b.forget(now, warming)
	load := b.load()
	list := slices.Clone(warming)
	slices.SortFunc(list, func(x, y Upstream) int { return cmp.Compare(x.ID, y.ID) })
	var out []Right
	for _, u := range list {
		h, ok := b.holders[u.ID]
		if !ok || !isMember(gateways, h.Gateway) {
			if ok && now.Before(h.named.Add(RightDuration)) {
				continue
			}
			node := choose(u, gateways, load)
			if node == "" {
				continue
			}
			h = holder{Right: Right{Upstream: u.ID, Incarnation: u.Incarnation, Gateway: node}, service: u.Service}
			load.add(h)
		}
		h.named = now
		b.holders[u.ID] = h
		out = append(out, h.Right)
	}
	return out
}

// forget drops the rights for upstreams that do not warm up any more. Those for another
// start of the same upstream stay until they have ended: it may be one process still.
func (b *Assignments) forget(now time.Time, warming []Upstream) {
	incarnations := make(map[string]instances.Incarnation, len(warming))
	for _, u := range warming {
		incarnations[u.ID] = u.Incarnation
	}
	for id, h := range b.holders {
		incarnation, warms := incarnations[id]
		if (!warms || incarnation.Other(h.Incarnation)) && !now.Before(h.named.Add(RightDuration)) {
			delete(b.holders, id)
		}
	}
}

// counts is how many rights gateways have, for one service and for all.
type counts struct {
	byService map[[2]string]int
	all       map[string]int
}

func (b *Assignments) load() counts {
	c := counts{byService: make(map[[2]string]int), all: make(map[string]int)}
	for _, h := range b.holders {
		c.add(h)
	}
	return c
}

func (c counts) add(h holder) {
	c.byService[[2]string{h.Gateway, h.service}]++
	c.all[h.Gateway]++
}

// choose returns the gateway of the upstream's failure domain, or of any when there is none,
// that has the fewest rights for the service, then the fewest at all: each has only its own
// part of the requests to send.
func choose(u Upstream, gateways []Gateway, load counts) string {
	near := slices.ContainsFunc(gateways, func(g Gateway) bool { return g.Domain == u.Domain })
	best, first := "", true
	var least [3]uint64
	for _, g := range gateways {
		if near && g.Domain != u.Domain {
			continue
		}
		now := [3]uint64{
			uint64(load.byService[[2]string{g.Node, u.Service}]), uint64(load.all[g.Node]),
			xxhash.Sum64String(g.Node + "/" + u.ID),
		}
		if first || slices.Compare(now[:], least[:]) < 0 {
			best, least, first = g.Node, now, false
		}
	}
	return best
}

func isMember(gateways []Gateway, node string) bool {
	return slices.ContainsFunc(gateways, func(g Gateway) bool { return g.Node == node })
}
