package gateway

import (
	"context"
	"slices"
	"strings"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/state/evacuation"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file tells operators how far evacuations are.

// Evacuations implements placementpb.Placement.
func (p *placements) Evacuations(ctx context.Context, r *placementpb.EvacuationsRequest) (*placementpb.EvacuationsState, error) {
	if other, err := p.lead(); err != nil || other != nil {
		return passOn(ctx, err, r, other, placementpb.Placement.Evacuations)
	}
	set := p.steward.view.evac.Load()
	state := &placementpb.EvacuationsState{Revision: set.Revision()}
	for _, m := range set.Records() {
		if !m.Ended {
			state.Domains = append(state.Domains, p.evacuated(m))
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

// evacuated tells how far the evacuation of one failure domain is.
func (p *placements) evacuated(m evacuation.Record) *placementpb.EvacuatedDomain {
	out := &placementpb.EvacuatedDomain{
		Domain: m.Domain, Revision: m.Revision, KnownMs: uint64(p.evac.knownFor(m.Domain).Milliseconds()),
	}
	upstreams := p.steward.view.inst.Load()
	if upstreams == nil {
		return out
	}
	for _, one := range upstreams.All() {
		if one.Domain == m.Domain {
			out.Upstreams++
		}
	}
	for _, table := range *p.steward.view.owners.Load() {
		out.Keys += uint32(keysOf(table, func(owner string) bool {
			one := upstreams.Get(owner)
			return one != nil && one.Domain == m.Domain
		}))
	}
	return out
}

// keysOf returns how many keys have an owner of the kind.
func keysOf(t *spans.Table, is func(owner string) bool) int {
	keys := 0
	for _, s := range t.Spans {
		if is(s.Owner) {
			keys += s.Count()
		}
	}
	return keys
}
