package gateway

import (
	"context"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// This file lets operators list requests that crash upstreams, and let them through again.

// Suspects implements placementpb.Placement.
func (p *placements) Suspects(ctx context.Context, r *placementpb.SuspectsRequest) (*placementpb.SuspectsState, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.Suspects)
	}
	out := &placementpb.SuspectsState{}
	for _, s := range p.suspects.list() {
		out.List = append(out.List, &placementpb.Suspect{
			Digest: digestText(s.Digest), Crashes: uint32(s.Crashes), Refused: s.Refused, LastMs: uint64(p.now().Sub(s.Last).Milliseconds()),
		})
	}
	return out, nil
}

// LiftSuspect implements placementpb.Placement.
func (p *placements) LiftSuspect(ctx context.Context, r *placementpb.Lift) (*placementpb.SuspectsState, error) {
	d, err := parseDigest(r.Digest)
	if err != nil {
		return nil, rpcError(answer.BadRequest, err.Error())
	}
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.LiftSuspect)
	}
	p.suspects.clear(d, r.By)
	return p.Suspects(ctx, &placementpb.SuspectsRequest{})
}
