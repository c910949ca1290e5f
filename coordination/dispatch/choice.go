package dispatch

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file chooses an upstream for requests that any may run.

const (
	// candidates is how many good upstreams of the own failure domain, and how many of the
	// others, are candidates for a request. They are the same few for one gateway and others
	// for each: so an upstream is filled by few gateways, each of which knows a good part of
	// what it has, and connections are used again. The best of many is what all gateways
	// send to between two reports.
	candidates = 2
	// maxExamined bounds the upstreams with room that are looked at for good ones.
	maxExamined = 8
	// badFailureRate is the share of failures from which an upstream is not good: the next in
	// the order is compared as well.
	badFailureRate = 0.25
)

// ranking orders the upstreams of a service for one gateway.
type ranking struct {
	// salt makes the order another one at each gateway.
	salt uint64
	// local are those of the local failure domain.
	local, remote []*Upstream
}

// update takes over which upstreams there are. Those that stay keep their order among each
// other (rendezvous hashing).
func (r *ranking) update(list []*Upstream, domain string) {
	r.local, r.remote = r.local[:0], r.remote[:0]
	for _, u := range list {
		u.rank = r.rank(u.ID)
		if u.Domain == domain {
			r.local = append(r.local, u)
		} else {
			r.remote = append(r.remote, u)
		}
	}
	for _, part := range [][]*Upstream{r.local, r.remote} {
		sort.Slice(part, func(i, j int) bool { return part[i].rank < part[j].rank })
	}
}

// rank is the place of an upstream in the order, as a number.
func (r *ranking) rank(id string) uint64 {
	return rand.NewPCG(xxhash.Sum64String(id), r.salt).Uint64()
}

// choice is the best upstream so far.
type choice struct {
	best  *Upstream
	score float64
}

// consider takes the upstream if its score is lower.
func (c *choice) consider(u *Upstream, score float64) {
	if c.best == nil || score < c.score {
		c.best, c.score = u, score
	}
}

// chooseUpstream returns the upstream with the lowest score among a few with room, within the limit that
// it may name.
func (s *Service) chooseUpstream(now time.Time, w *Want) *Upstream {
	best := s.lowestScore(now, w)
	if best == nil {
		return nil
	}
	best.wanted.Add()
	if s.withinLimit(now, w, best) {
		return best
	}
	if best = s.lowestScore(now, w); best != nil {
		best.wanted.Add()
	}
	return best
}

// lowestScore returns the upstream with the lowestScore score among a few with room. For a request that
// a limit has held back it is one that names none.
func (s *Service) lowestScore(now time.Time, w *Want) *Upstream {
	var c choice
	s.considerList(now, w, s.ranked.local, &c)
	s.considerList(now, w, s.ranked.remote, &c)
	s.compareEntrusted(now, w, &c)
	return c.best
}

// considerList looks at the first upstreams of a list that have room, until enough are good.
func (s *Service) considerList(now time.Time, w *Want, list []*Upstream, c *choice) {
	good, seen := 0, 0
	for _, u := range list {
		if u.limit != nil && w.heldBack || excluded(w, u.ID) || !s.usable(now, u) || !u.room(now, s.typical, w.Objective, false) {
			continue
		}
		c.consider(u, u.score(now, s.typical, w.Objective, s.domain, s.rng))
		if u.failures < badFailureRate {
			good++
		}
		if seen++; good == candidates || seen == maxExamined {
			return
		}
	}
}
