package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file chooses an upstream for requests that any upstream can serve.

const (
	// candidates is how many good upstreams of the own failure domain, and how many of the other
	// domains, are compared for a request. Each gateway compares the same few every time, and
	// different gateways different ones. So an upstream's requests come from few gateways, each
	// of which knows a good part of the upstream's load, and connections are reused. If each
	// gateway compared all upstreams, all of them would send to the same one between two reports.
	candidates = 2
	// wideCandidates is the number for an uneven pool below wideLoad, while the ones found so far are busy
	// or slow. At most one in wideListShare upstreams of a list is compared: gateways that compare most of
	// the upstreams choose the same ones. wideLoad is a fraction of the requests in a full pool.
	wideCandidates = 4
	wideListShare  = 6
	wideLoad       = 0.4
	// slowFactor is how many times as long as usual a run takes at an upstream that counts as slow.
	slowFactor = 1.2
	// maxExamined bounds how many upstreams with room are examined to find good ones.
	maxExamined = 8
	// badFailureRate is the failure rate from which an upstream does not count as good, so that
	// the next one in the order is compared as well.
	badFailureRate = 0.25
)

// ranking orders the upstreams of a service for one gateway.
type ranking struct {
	// salt makes the order differ between gateways.
	salt uint64
	// local are the upstreams of the own failure domain, near those of other domains of the same
	// region, far those of other regions.
	local, near, far []*listing
}

// update adds upstreams and, if any were removed, drops those that are not of the given generation.
// Those that remain keep their relative order (rendezvous hashing).
func (r *ranking) update(added []*listing, removed bool, generation uint64, distanceTo func(domain string) distance) {
	groups := make(map[distance][]*listing)
	for _, l := range added {
		d := distanceTo(l.Domain)
		groups[d] = append(groups[d], l)
	}
	r.local = mergeRanked(r.local, groups[sameDomain], removed, generation)
	r.near = mergeRanked(r.near, groups[sameRegion], removed, generation)
	r.far = mergeRanked(r.far, groups[otherRegion], removed, generation)
}

// mergeRanked returns the ranked list with the added upstreams and, if any were removed, without those
// that are not of the given generation.
func mergeRanked(list, added []*listing, removed bool, generation uint64) []*listing {
	if removed {
		list = slices.DeleteFunc(list, func(l *listing) bool { return l.generation != generation })
	}
	if len(added) == 0 {
		return list
	}
	slices.SortFunc(added, compareRanks)
	out := make([]*listing, 0, len(list)+len(added))
	for len(list) > 0 && len(added) > 0 {
		if compareRanks(list[0], added[0]) <= 0 {
			out, list = append(out, list[0]), list[1:]
		} else {
			out, added = append(out, added[0]), added[1:]
		}
	}
	return append(append(out, list...), added...)
}

func compareRanks(a, b *listing) int { return cmp.Compare(a.rank, b.rank) }

// rank returns the sort key of an upstream.
func (r *ranking) rank(id string) uint64 {
	return rand.NewPCG(xxhash.Sum64String(id), r.salt).Uint64()
}

// choice is the best upstream found so far.
type choice struct {
	best  *Upstream
	score float64
}

// consider makes the upstream the best one if its score is lower.
func (c *choice) consider(u *Upstream, score float64) {
	if c.best == nil || score < c.score {
		c.best, c.score = u, score
	}
}

// chooseUpstream returns the best of a few upstreams with room, if this gateway's share of the pool's
// room allows a request. If the limit of that upstream rejects the request, it returns the best one
// without a limit. It returns nil if there is none.
func (s *Service) chooseUpstream(now time.Time, req *Request) *Upstream {
	if !s.Disabled.NoShares && !s.pool.allows(now) {
		return nil
	}
	best := s.selectUpstream(now, req)
	if best == nil {
		return nil
	}
	best.demandMeter.Add()
	if s.withinLimit(now, req, best) {
		return best
	}
	if best = s.selectUpstream(now, req); best != nil {
		best.demandMeter.Add()
	}
	return best
}

// selectUpstream returns the upstream with the lowest score, or one drawn by its room in an uneven pool
// under high load.
func (s *Service) selectUpstream(now time.Time, req *Request) *Upstream {
	if s.pool.applies(now) && s.pool.load() >= drawLoad {
		return s.drawUpstream(now, req)
	}
	return s.lowestScore(now, req)
}

// distance tells how far an upstream is from this gateway.
type distance int

const (
	sameDomain distance = iota
	sameRegion
	otherRegion
)

// SetRegions sets the region of each failure domain. Domains that are not listed count as in the same
// region. It must be called before SetUpstreams.
func (s *Service) SetRegions(regions map[string]string) { s.regions = regions }

// distanceTo returns how far a failure domain is.
func (s *Service) distanceTo(domain string) distance {
	own, other := s.regions[s.domain], s.regions[domain]
	switch {
	case domain == s.domain:
		return sameDomain
	case own != "" && other != "" && own != other:
		return otherRegion
	}
	return sameRegion
}

// lowestScore returns the upstream with the lowest score among a few with room, or nil. For a
// request that a limit has rejected, it considers only upstreams without a limit. Other regions are
// considered only if no upstream of the own one has a free slot: their requests take longer and share
// the links between regions.
func (s *Service) lowestScore(now time.Time, req *Request) *Upstream {
	var c choice
	s.considerList(now, req, s.ranked.local, &c)
	s.considerList(now, req, s.ranked.near, &c)
	if c.best == nil || c.best.totalInFlight(now)+1 > float64(c.best.Slots) {
		s.considerList(now, req, s.ranked.far, &c)
	}
	s.considerRightHolders(now, req, &c)
	return c.best
}

// considerList considers the upstreams of a list that have room, in order, until it has found enough
// good ones.
func (s *Service) considerList(now time.Time, req *Request, list []*listing, c *choice) {
	good, examined, wanted := 0, 0, s.candidatesOf(now, list)
	for _, l := range list {
		u := s.stateOf(now, l)
		u.usedAt = now
		if !s.eligible(now, u, req) || !u.hasCapacity(now, s.typicalWorkTime, req, false) {
			continue
		}
		c.consider(u, u.score(now, s.typicalWorkTime, req, s.domain, s.rng))
		if u.failureRate < badFailureRate {
			good++
		}
		if examined++; good >= wanted || good >= candidates && s.isGoodChoice(now, c.best) || examined == maxExamined {
			return
		}
	}
}

// candidatesOf returns how many good upstreams of a list are compared. More than usual help in an uneven
// pool if this gateway receives so many requests that each of them reports its load again before the last
// report has lost its worth. With fewer requests a wider choice goes by outdated loads.
func (s *Service) candidatesOf(now time.Time, list []*listing) int {
	if !s.pool.applies(now) || s.pool.load() >= wideLoad || s.demand.Requests*slownessHalfLife.Seconds() < wideCandidates {
		return candidates
	}
	return max(candidates, min(wideCandidates, len(list)/wideListShare))
}

// isGoodChoice reports whether the upstream seems to have a free slot and is not slow.
func (s *Service) isGoodChoice(now time.Time, u *Upstream) bool {
	return u.totalInFlight(now)+1 <= float64(u.Slots) && float64(u.currentWorkTime(now, s.typicalWorkTime)) <= slowFactor*float64(s.typicalWorkTime)
}
