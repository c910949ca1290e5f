// Package warmup decides which gateway may send requests to an upstream that is warming up. An
// upstream that has just started, or has become cold again, fails under more than a few requests
// per second, summed over all gateways.
//
// The leader assigns one gateway to each such upstream and informs all gateways. The right expires
// by itself, and the leader assigns another gateway only after the previous right has expired. So
// at most one gateway has the right at any time, even when one leader succeeds another, and a
// gateway that receives no reports sends nothing.
package warmup

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/state/instances"
)

// RightDuration is how long a right is valid after the leader has assigned it. It covers several
// reports, sent at most 250 ms apart: one may be lost, and two are needed when reports are relayed
// by the head of a failure domain.
const RightDuration = time.Second

// Upstream is an upstream that is warming up.
type Upstream struct {
	ID          string
	Incarnation instances.Incarnation
	Service     string
	// Domain is the failure domain.
	Domain string
}

// Gateway is a gateway that can be assigned to upstreams.
type Gateway struct {
	Node   string
	Domain string
}

// Right is the right of one gateway to send requests to an upstream that is warming up.
type Right struct {
	Upstream    string
	Incarnation instances.Incarnation
	// Gateway is the node name of the gateway.
	Gateway string
}

// Assignments holds the rights assigned by the leader. It is not safe for concurrent use.
type Assignments struct {
	// notBefore is when all rights that a previous leader may have assigned have expired.
	notBefore time.Time
	holders   map[string]holder
}

type holder struct {
	Right
	service string
	// assignedAt is when the right was last returned by Assign.
	assignedAt time.Time
}

// NewAssignments returns the assignments of a leader whose leadership starts now.
func NewAssignments(now time.Time) *Assignments {
	return &Assignments{notBefore: now.Add(RightDuration), holders: make(map[string]holder)}
}

// Assign returns the rights that are valid from now on for RightDuration, sorted by upstream ID. A
// gateway keeps its right as long as it is a member.
func (a *Assignments) Assign(now time.Time, warming []Upstream, gateways []Gateway) []Right {
	if now.Before(a.notBefore) {
		return nil
	}
	a.prune(now, warming)
	load := a.countRights()
	list := slices.Clone(warming)
	slices.SortFunc(list, func(x, y Upstream) int { return cmp.Compare(x.ID, y.ID) })
	var out []Right
	for _, u := range list {
		h, ok := a.holders[u.ID]
		if !ok || !isMember(gateways, h.Gateway) {
			if ok && now.Before(h.assignedAt.Add(RightDuration)) {
				continue
			}
			node := chooseGateway(u, gateways, load)
			if node == "" {
				continue
			}
			h = holder{Right: Right{Upstream: u.ID, Incarnation: u.Incarnation, Gateway: node}, service: u.Service}
			load.add(h)
		}
		h.assignedAt = now
		a.holders[u.ID] = h
		out = append(out, h.Right)
	}
	return out
}

// prune discards expired rights for upstreams that are no longer warming up or that have a new
// incarnation. Until then the right for the old incarnation stays in force, because both may be the
// same process.
func (a *Assignments) prune(now time.Time, warming []Upstream) {
	incarnations := make(map[string]instances.Incarnation, len(warming))
	for _, u := range warming {
		incarnations[u.ID] = u.Incarnation
	}
	for id, h := range a.holders {
		incarnation, found := incarnations[id]
		if (!found || incarnation.DiffersFrom(h.Incarnation)) && !now.Before(h.assignedAt.Add(RightDuration)) {
			delete(a.holders, id)
		}
	}
}

// rightCounts holds how many rights each gateway has, per service and in total.
type rightCounts struct {
	byService map[[2]string]int
	all       map[string]int
}

func (a *Assignments) countRights() rightCounts {
	c := rightCounts{byService: make(map[[2]string]int), all: make(map[string]int)}
	for _, h := range a.holders {
		c.add(h)
	}
	return c
}

func (c rightCounts) add(h holder) {
	c.byService[[2]string{h.Gateway, h.service}]++
	c.all[h.Gateway]++
}

// chooseGateway returns the gateway with the fewest rights for the service, then with the fewest
// rights in total, because a gateway has only its own part of the requests to send. It prefers
// gateways in the failure domain of the upstream and uses others only if there are none.
func chooseGateway(u Upstream, gateways []Gateway, load rightCounts) string {
	sameDomain := slices.ContainsFunc(gateways, func(g Gateway) bool { return g.Domain == u.Domain })
	best, first := "", true
	var lowest [3]uint64
	for _, g := range gateways {
		if sameDomain && g.Domain != u.Domain {
			continue
		}
		cost := [3]uint64{
			uint64(load.byService[[2]string{g.Node, u.Service}]), uint64(load.all[g.Node]),
			xxhash.Sum64String(g.Node + "/" + u.ID),
		}
		if first || slices.Compare(cost[:], lowest[:]) < 0 {
			best, lowest, first = g.Node, cost, false
		}
	}
	return best
}

func isMember(gateways []Gateway, node string) bool {
	return slices.ContainsFunc(gateways, func(g Gateway) bool { return g.Node == node })
}
