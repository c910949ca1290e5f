package gateway

import (
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file distributes the rights to send to upstreams that are warming up. The leader assigns
// them to gateways.

const (
	// assignInterval is the minimum time between two assignments while the set of upstreams is
	// unchanged: several reports may ask for the rights at the same moment.
	assignInterval = 50 * time.Millisecond
	// maxRights bounds the rights accepted from one response: those of a gateway and of the
	// gateways that report through it, with the upstreams of a returning failure domain.
	maxRights = 4096
)

// warmUpRights assigns, in the leader, the gateways that may send to upstreams that are warming
// up. It is safe for concurrent use.
type warmUpRights struct {
	view    *view
	cluster *cluster
	traffic *traffic
	now     func() time.Time

	mu          sync.Mutex
	assignments *warmup.Assignments
	// assigned are the rights as of assignedAt, for this version of the view of upstreams.
	assigned   []warmup.Right
	assignedAt time.Time
	version    uint64
}

// reset forgets all assignments, because this gateway has become the leader.
func (r *warmUpRights) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.assignments, r.assigned, r.assignedAt = warmup.NewAssignments(r.now()), nil, time.Time{}
}

// current returns the rights in force and when they were assigned.
func (r *warmUpRights) current() ([]warmup.Right, time.Time) {
	_, version := r.view.upstreamsVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assignments == nil {
		return nil, r.now()
	}
	if r.version != version || r.now().Sub(r.assignedAt) >= assignInterval {
		r.assignedAt, r.version = r.now(), version
		r.assigned = r.assignments.Assign(r.assignedAt, r.traffic.needRights(), r.gateways())
	}
	return r.assigned, r.assignedAt
}

func (r *warmUpRights) gateways() []warmup.Gateway {
	members, _ := r.cluster.allMembers()
	out := make([]warmup.Gateway, 0, len(members))
	for _, m := range members {
		out = append(out, warmup.Gateway{Node: m.Node, Domain: m.Domain})
	}
	return out
}

// encodeRights returns the messages for those rights that belong to the given gateways.
func encodeRights(list []warmup.Right, nodes map[string]bool) []*syncpb.Right {
	var out []*syncpb.Right
	for _, right := range list {
		if nodes[right.Gateway] {
			out = append(out, &syncpb.Right{Upstream: right.Upstream, Incarnation: uint32(right.Incarnation), Node: right.Gateway})
		}
	}
	return out
}

// decodeRights returns the rights in messages. Invalid ones are left out.
func decodeRights(list []*syncpb.Right) []warmup.Right {
	out := make([]warmup.Right, 0, min(len(list), maxRights))
	for _, m := range list[:min(len(list), maxRights)] {
		if m.Upstream != "" && m.Node != "" {
			out = append(out, warmup.Right{Upstream: m.Upstream, Incarnation: instances.Incarnation(m.Incarnation), Gateway: m.Node})
		}
	}
	return out
}

// heldRights returns until when the given gateway may send to each upstream. Rights for another
// incarnation of an upstream do not count.
func heldRights(v *instances.View, list []warmup.Right, assigned time.Time, node string) map[string]time.Time {
	if v == nil {
		return nil
	}
	out := make(map[string]time.Time)
	for _, right := range list {
		u := v.Get(right.Upstream)
		if right.Gateway == node && u != nil && !u.Incarnation().DiffersFrom(right.Incarnation) {
			out[right.Upstream] = assigned.Add(warmup.RightDuration)
		}
	}
	return out
}

// setParentRights stores the rights received from the parent and when they were assigned.
func (c *cluster) setParentRights(list []warmup.Right, assigned time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rights, c.rightsIssued = list, assigned
}

// parentRights returns the rights received from the parent and when they were assigned.
func (c *cluster) parentRights() ([]warmup.Right, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rights, c.rightsIssued
}
