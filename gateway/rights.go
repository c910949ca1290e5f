package gateway

import (
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/warmup"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file brings the rights to send to upstreams that warm up from the leader, which names
// them, to the gateways.

const (
	// nameInterval is the least time between two times that the leader names the rights
	// anew where no upstream has changed: some reports ask for them at the same moment.
	nameInterval = 50 * time.Millisecond
	// mostRights bounds the rights that are taken over from one answer: a gateway and those
	// that report through it, with the upstreams of a failure domain that returns.
	mostRights = 4096
)

// rights names, in the leader, the gateways that may send to upstreams that warm up. It is
// safe for concurrent use.
type rights struct {
	view    *view
	cluster *cluster
	traffic *traffic
	now     func() time.Time

	mu   sync.Mutex
	book *warmup.Assignments
	// named are the rights as of at, for the version of the view of upstreams.
	named   []warmup.Right
	at      time.Time
	version uint64
}

// begin forgets all: this gateway leads from now on.
func (r *rights) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book, r.named, r.at = warmup.NewAssignments(r.now()), nil, time.Time{}
}

// all returns the rights that hold now, and when they were named.
func (r *rights) all() ([]warmup.Right, time.Time) {
	_, version := r.view.upstreamsVersion()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.book == nil {
		return nil, r.now()
	}
	if r.version != version || r.now().Sub(r.at) >= nameInterval {
		r.at, r.version = r.now(), version
		r.named = r.book.Assign(r.at, r.traffic.needRights(), r.gateways())
	}
	return r.named, r.at
}

func (r *rights) gateways() []warmup.Gateway {
	members, _ := r.cluster.allMembers()
	out := make([]warmup.Gateway, 0, len(members))
	for _, m := range members {
		out = append(out, warmup.Gateway{Node: m.Node, Domain: m.Domain})
	}
	return out
}

// rightMessages tells the rights of the gateways of the names.
func rightMessages(list []warmup.Right, nodes map[string]bool) []*syncpb.Right {
	var out []*syncpb.Right
	for _, one := range list {
		if nodes[one.Gateway] {
			out = append(out, &syncpb.Right{Upstream: one.Upstream, Incarnation: uint32(one.Incarnation), Node: one.Gateway})
		}
	}
	return out
}

// toldRights returns what messages tell. What cannot be is left out.
func toldRights(list []*syncpb.Right) []warmup.Right {
	out := make([]warmup.Right, 0, min(len(list), mostRights))
	for _, m := range list[:min(len(list), mostRights)] {
		if m.Upstream != "" && m.Node != "" {
			out = append(out, warmup.Right{Upstream: m.Upstream, Incarnation: instances.Incarnation(m.Incarnation), Gateway: m.Node})
		}
	}
	return out
}

// held returns until when the gateway of the name may send to upstreams, by their present
// starts.
func held(v *instances.View, list []warmup.Right, named time.Time, node string) map[string]time.Time {
	if v == nil {
		return nil
	}
	out := make(map[string]time.Time)
	for _, one := range list {
		u := v.Get(one.Upstream)
		if one.Gateway == node && u != nil && !u.Incarnation().Other(one.Incarnation) {
			out[one.Upstream] = named.Add(warmup.RightDuration)
		}
	}
	return out
}

// setRights takes over what the parent told of rights that were named at a time.
func (c *cluster) setRights(list []warmup.Right, named time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rights, c.rightsIssued = list, named
}

// rightsAbove returns what the parent told of rights, and when they were named.
func (c *cluster) rightsAbove() ([]warmup.Right, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rights, c.rightsIssued
}
