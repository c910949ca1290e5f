package dispatch

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// This file keeps what a gateway knows of each upstream of a service: little of all that are listed,
// and a state of those that it deals with. One of a thousand gateways deals with a few dozen of ten
// thousand upstreams, and its work must not grow with the others.

// stateRetention is how long the state of an upstream is kept after its last use. Work times come back
// with the reports of the other gateways.
const stateRetention = 30 * time.Second

// listing is an upstream as it is listed.
type listing struct {
	*instances.Instance
	// rank is the position in this gateway's order of preference.
	rank uint64
	// changedAt is when the present entry was first listed.
	changedAt time.Time
	// state is nil while this gateway does not deal with the upstream.
	state *Upstream
	// generation is that of the last list with the upstream.
	generation uint64
}

// SetUpstreams replaces the list of upstreams with one whose changes have just been made.
func (s *Service) SetUpstreams(now time.Time, list []*instances.Instance) {
	s.SetUpstreamsChangedSince(now, now, list)
}

// SetUpstreamsChangedSince replaces the list of upstreams with one whose changes may have been made at any
// time since the given one. The state of upstreams that stay is kept, and requests that wait for a removed
// one are refused. Lists that share the pointers to unchanged instances are cheap to compare.
func (s *Service) SetUpstreamsChangedSince(now, since time.Time, list []*instances.Instance) {
	s.changedSince = since
	s.generation++
	former := s.ordered
	s.ordered = make([]*listing, 0, len(list))
	var added []*listing
	regrouped := false
	for i, instance := range list {
		l := s.listingOf(former, i, instance)
		if l == nil {
			l = &listing{Instance: instance, rank: s.ranked.rank(instance.ID), changedAt: now}
			s.listed[instance.ID] = l
			added = append(added, l)
			s.updateListing(now, l, instance, true)
		} else if l.Instance != instance {
			regrouped = regrouped || l.Domain != instance.Domain
			s.updateListing(now, l, instance, false)
		}
		l.generation = s.generation
		s.ordered = append(s.ordered, l)
	}
	removed := s.removeUnlisted(now, former)
	if regrouped {
		s.ranked.local, s.ranked.near, s.ranked.far = nil, nil, nil
		added = slices.Clone(s.ordered)
	}
	s.ranked.update(added, removed, s.generation, s.distanceTo)
	s.rateAt = time.Time{}
	s.grantWaiting(now)
}

// listingOf returns the listing of the instance with the given index in a new list, or nil if it was
// not listed. Most instances have the same index in the former list.
func (s *Service) listingOf(former []*listing, i int, instance *instances.Instance) *listing {
	if i < len(former) && former[i].Instance == instance {
		return former[i]
	}
	return s.listed[instance.ID]
}

// updateListing applies a new or changed entry of an upstream.
func (s *Service) updateListing(now time.Time, l *listing, next *instances.Instance, isNew bool) {
	former := *l.Instance
	l.Instance = next
	if former.Revision != next.Revision {
		l.changedAt = now
	}
	switch {
	case l.state != nil && l.state.Incarnation().DiffersFrom(next.Incarnation()):
		l.state = s.replaceState(now, l)
	case l.state != nil:
		s.updateEntry(now, l.state, *next)
	case next.Leaving || isNew && (s.isEvacuated(next.Domain) || s.unlisted.Has(next.ID, next.Incarnation())):
		l.state = s.newState(now, l)
	}
	if l.state != nil {
		s.updateLeaving(l.state)
		s.updateEvacuated(now, l.state)
	}
}

// removeUnlisted forgets the upstreams that are not in the new list, and reports whether there are
// any.
func (s *Service) removeUnlisted(now time.Time, former []*listing) bool {
	any := false
	for _, l := range former {
		if l.generation == s.generation {
			continue
		}
		any = true
		delete(s.listed, l.ID)
		if u := l.state; u != nil {
			s.refuseAll(now, u, NoUpstream)
			s.unlisted.Save(now, u.ID, u.Incarnation(), u.notices)
			s.dropState(u)
		}
	}
	return any
}

// upstream returns the state of a listed upstream and creates it if it does not exist. It returns nil
// if the upstream is not listed.
func (s *Service) upstream(now time.Time, id string) *Upstream {
	l := s.listed[id]
	if l == nil {
		return nil
	}
	return s.stateOf(now, l)
}

// stateOf returns the state of an upstream and creates it if it does not exist.
func (s *Service) stateOf(now time.Time, l *listing) *Upstream {
	if l.state == nil {
		l.state = s.newState(now, l)
	}
	return l.state
}

// existingState returns the state of an upstream, or nil if there is none.
func (s *Service) existingState(id string) *Upstream {
	if l := s.listed[id]; l != nil {
		return l.state
	}
	return nil
}

// newState returns the state of an upstream with which this gateway has not dealt lately.
func (s *Service) newState(now time.Time, l *listing) *Upstream {
	u := newUpstream(*l.Instance, now)
	u.warmUpUntil = l.changedAt.Add(l.WarmUp)
	u.disabled, u.routes = s.Disabled, s.routes
	if s.gateways > 0 {
		u.gateways = s.gateways
		u.share.fraction = s.demandFraction
	}
	u.notices = s.unlisted.Take(l.ID, l.Incarnation())
	if s.isEvacuated(l.Domain) {
		// It is unknown how long the domain of a newly listed upstream has been evacuated. Assume
		// that the drain is over.
		u.evacuatedSince = now.Add(-2 * evacuationGrace)
	}
	s.assumeWarmUpAfterEvacuation(now, u)
	s.applyLatestReport(u)
	s.updateLeaving(u)
	s.scheduleFirstSend(l.changedAt, u)
	s.inUse = append(s.inUse, u)
	return u
}

// applyLatestReport gives a new state what the other gateways have reported lately.
func (s *Service) applyLatestReport(u *Upstream) {
	if s.reportedAt.IsZero() {
		return
	}
	u.applyReport(s.reportedAt, s.lastReport)
	if _, contended := s.lastReport.OwnerDemands[u.ID]; contended && u.sharedByMany() {
		u.contendedAt = s.reportedAt
		s.applyShare(s.reportedAt, u, s.lastReport)
	}
	u.rightUntil = s.lastReport.Rights[u.ID]
	if !u.rightUntil.IsZero() {
		s.warmingWithRight = append(s.warmingWithRight, u)
	}
	if limit, ok := s.limits[u.ID]; ok {
		u.limit = s.newUpstreamLimit(s.reportedAt, limit)
	}
}

// replaceState returns the state of an upstream that has started again. The measurements and requests
// in flight of the former start do not apply to the new one, but the requests that wait for the
// upstream as an owner keep waiting.
func (s *Service) replaceState(now time.Time, l *listing) *Upstream {
	former := l.state
	s.dropState(former)
	u := s.newState(now, l)
	u.queue = former.queue
	return u
}

// dropState removes a state from those in use.
func (s *Service) dropState(u *Upstream) {
	isDropped := func(other *Upstream) bool { return other == u }
	s.inUse = slices.DeleteFunc(s.inUse, isDropped)
	s.warmingWithRight = slices.DeleteFunc(s.warmingWithRight, isDropped)
}

// dropIdleStates drops the states that have not been used for long and hold nothing that the next use
// needs.
func (s *Service) dropIdleStates(now time.Time) {
	kept := s.inUse[:0]
	for _, u := range s.inUse {
		if u.dispensable(now) {
			s.listed[u.ID].state = nil
			continue
		}
		kept = append(kept, u)
	}
	clear(s.inUse[len(kept):])
	s.inUse = kept
}

// dispensable reports whether a state may be dropped.
func (u *Upstream) dispensable(now time.Time) bool {
	return now.Sub(u.usedAt) > stateRetention && u.ownInFlight == 0 && u.queue.size == 0 && u.backoff == 0 && u.limit == nil &&
		u.unreportedRuns.Runs == 0 && !u.isLeaving() && !u.isEvacuated() && !u.probing && !u.notices.Resting(now) && u.rightUntil.IsZero()
}

// StateCount returns the number of upstreams with which this gateway deals.
func (s *Service) StateCount() int { return len(s.inUse) }
