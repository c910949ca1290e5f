package dispatch

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// This file chooses an upstream for requests that any may run.

const (
	// compared is how many good upstreams of the own failure domain, and how many of the
	// others, are compared for a request. They are the same few for one gateway and others
	// for each: so an upstream is filled by few gateways, each of which knows a good part of
	// what it has, and connections are used again. The best of many is what all gateways
	// send to between two reports.
	compared = 2
	// mostSeen bounds the upstreams with room that are looked at for good ones.
	mostSeen = 8
	// badFailures is the share of failures from which an upstream is not good: the next in
	// the order is compared as well.
	badFailures = 0.25
)

// ranking orders the upstreams of a service for one gateway.
type ranking struct {
	// salt makes the order another one at each gateway.
	salt uint64
	// own are those of the own failure domain.
	own, others []*Upstream
}

// set takes over which upstreams there are. Those that stay keep their order among each
// other (rendezvous hashing).
func (r *ranking) set(list []*Upstream, domain string) {
	r.own, r.others = r.own[:0], r.others[:0]
	for _, u := range list {
		u.rank = r.rank(u.ID)
		if u.Domain == domain {
			r.own = append(r.own, u)
		} else {
			r.others = append(r.others, u)
		}
	}
	for _, part := range [][]*Upstream{r.own, r.others} {
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

// offer takes the upstream if its score is lower.
func (c *choice) offer(u *Upstream, score float64) {
	if c.best == nil || score < c.score {
		c.best, c.score = u, score
	}
}

// best returns the upstream with the lowest score among a few with room, within the limit that
// it may name.
func (s *Service) best(now time.Time, w *Request) *Upstream {
	best := s.lowest(now, w)
	if best == nil {
		return nil
	}
	best.wanted.Add()
	if s.admits(now, w, best) {
		return best
	}
	if best = s.lowest(now, w); best != nil {
		best.wanted.Add()
	}
	return best
}

// lowest returns the upstream with the lowest score among a few with room. For a request that
// a limit has held back it is one that names none.
func (s *Service) lowest(now time.Time, w *Request) *Upstream {
	var c choice
	s.compare(now, w, s.ranked.own, &c)
	s.compare(now, w, s.ranked.others, &c)
	s.compareWarming(now, w, &c)
	return c.best
}

// compare looks at the first upstreams of a list that have room, until enough are good.
func (s *Service) compare(now time.Time, w *Request, list []*Upstream, c *choice) {
	good, seen := 0, 0
	for _, u := range list {
		if u.limit != nil && w.heldByLimit || isExcluded(w, u.ID) || !s.usable(now, u) || !u.hasCapacity(now, s.typicalWorkTime, w.Objective, false) {
			continue
		}
		c.offer(u, u.score(now, s.typicalWorkTime, w.Objective, s.domain, s.rng))
		if u.failureRate < badFailures {
			good++
		}
		if seen++; good == compared || seen == mostSeen {
			return
		}
	}
}
