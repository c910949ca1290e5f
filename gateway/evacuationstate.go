package gateway

import (
	"context"
	"slices"
	"strings"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/state/evacuation"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file reports the progress of evacuations to operators.

// Evacuations implements placementpb.Placement.
func (p *placements) Evacuations(ctx context.Context, r *placementpb.EvacuationsRequest) (*placementpb.EvacuationsState, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.Evacuations)
	}
	set := p.assignments.view.evac.Load()
	state := &placementpb.EvacuationsState{Revision: set.Revision()}
	for _, m := range set.Records() {
		if !m.Ended {
			state.Domains = append(state.Domains, p.domainState(m))
		}
	}
	members, _ := p.cluster.allMembers()
	for _, m := range members {
		known := m.EvacuationsRevision
		if m.Node == p.cluster.self.Node {
			known = set.Revision()
		}
		state.Gateways = append(state.Gateways, &placementpb.GatewayRevision{Node: m.Node, Domain: m.Domain, Revision: known})
	}
	slices.SortFunc(state.Gateways, func(a, b *placementpb.GatewayRevision) int { return strings.Compare(a.Node, b.Node) })
	return state, nil
}

// domainState returns the progress of the evacuation of one failure domain.
func (p *placements) domainState(m evacuation.Record) *placementpb.EvacuatedDomain {
	out := &placementpb.EvacuatedDomain{
		Domain: m.Domain, Revision: m.Revision, KnownMs: uint64(p.evac.knownFor(m.Domain).Milliseconds()),
	}
	upstreams := p.assignments.view.inst.Load()
	if upstreams == nil {
		return out
	}
	for inst := range upstreams.All() {
		if inst.Domain == m.Domain {
			out.Upstreams++
		}
	}
	for _, table := range *p.assignments.view.owners.Load() {
		out.Keys += uint32(countKeys(table, func(owner string) bool {
			inst := upstreams.Get(owner)
			return inst != nil && inst.Domain == m.Domain
		}))
	}
	return out
}

// countKeys returns how many keys have an owner that satisfies ownedBy.
func countKeys(t *spans.Table, ownedBy func(owner string) bool) int {
	keys := 0
	for _, s := range t.Spans {
		if ownedBy(s.Owner) {
			keys += s.Count()
		}
	}
	return keys
}
