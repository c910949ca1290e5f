package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// This file reports to operators how much of a service each upstream owns, and why keys stay
// where they are.

const (
	// stuckLogInterval is the minimum time between two log lines about keys that stay on a busy
	// owner.
	stuckLogInterval = 5 * time.Second
	// percent converts a utilization to the unit of log lines, gauges and answers to operators.
	percent = 100
)

// logStuck logs that one owner has far more than its share of the load, at most once per
// stuckLogInterval.
func (k *keyAssigner) logStuck(owners []ownership.Owner, load map[uint16]float64) {
	k.mu.Lock()
	u, imbalanced := ownership.Busiest(k.table, owners, load)
	moving, failing := len(k.activeMoves), len(k.failing)
	due := imbalanced && k.now().Sub(k.stuckLoggedAt) >= stuckLogInterval
	if due {
		k.stuckLoggedAt = k.now()
	}
	k.mu.Unlock()
	if !due {
		return
	}
	usable := 0
	for _, o := range owners {
		if o.Usable {
			usable++
		}
	}
	k.log.Warn("keys stay on a busy owner", "upstream", u.Owner, "utilization_percent", int(percent*u.Utilization),
		"mean_percent", int(percent*u.Mean), "moving", moving, "upstreams", len(owners), "usable", usable, "failing", failing)
}

// updateGauges sets, in the leader, the gauges of how evenly owners are loaded and of pending
// moves and failing upstreams.
func (k *keyAssigner) updateGauges() {
	owners, load := k.candidates(), k.rates()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil {
		return
	}
	u, _ := ownership.Busiest(k.table, owners, load)
	k.meters.gauge(k.meters.service(ownersBusiest, k.service), int64(percent*u.Utilization))
	k.meters.gauge(k.meters.service(ownersMean, k.service), int64(percent*u.Mean))
	k.meters.gauge(k.meters.service(ownersMoving, k.service), int64(len(k.activeMoves)))
	k.meters.gauge(k.meters.service(ownersFailing, k.service), int64(len(k.failing)))
	k.meters.gauge(k.meters.service(ownersFirstGrant, k.service), k.firstGrants.First().Milliseconds())
	k.meters.gauge(k.meters.service(ownersAllGranted, k.service), k.firstGrants.All().Milliseconds())
}

// allAssigners returns the key assigners of all services that this process manages, sorted by service
// name.
func (s *assignmentSupervisor) allAssigners() []*keyAssigner {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Collect(maps.Values(s.assigners))
	slices.SortFunc(out, func(a, b *keyAssigner) int { return strings.Compare(a.service, b.service) })
	return out
}

// updateOwnerGauges sets the owner gauges of all services that this process manages.
func (s *assignmentSupervisor) updateOwnerGauges() {
	for _, k := range s.allAssigners() {
		k.updateGauges()
	}
}

// Owners implements placementpb.Placement.
func (p *placements) Owners(ctx context.Context, r *placementpb.OwnersRequest) (*placementpb.OwnersState, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.Owners)
	}
	out := &placementpb.OwnersState{}
	for _, k := range p.assignments.allAssigners() {
		out.Services = append(out.Services, k.state())
	}
	return out, nil
}

// state returns the owners of the service with their load, keys and spans.
func (k *keyAssigner) state() *placementpb.ServiceOwners {
	owners, load := k.candidates(), k.rates()
	k.mu.Lock()
	defer k.mu.Unlock()
	out := &placementpb.ServiceOwners{Service: k.service, Moving: uint32(len(k.activeMoves))}
	if k.table == nil {
		return out
	}
	byID := make(map[string]*placementpb.OwnerState, len(owners))
	for _, o := range owners {
		owner := &placementpb.OwnerState{Upstream: o.ID, Capacity: float32(o.Capacity), Usable: o.Usable, Keeps: o.MayKeep, Warming: o.Warming}
		if f, ok := k.failing[o.ID]; ok {
			owner.FailingMs, owner.Reached = uint64(k.now().Sub(f.since).Milliseconds()), f.probeAnswered
		}
		byID[o.ID] = owner
		out.Owners = append(out.Owners, owner)
	}
	for _, s := range k.table.Spans {
		if owner := byID[s.Owner]; owner != nil {
			owner.Keys += uint32(s.Count())
			owner.Spans++
		}
	}
	for key, rate := range load {
		if owner := byID[k.table.Find(key).Owner]; owner != nil {
			owner.Load += float32(rate)
		}
	}
	return out
}
