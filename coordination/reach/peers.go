package reach

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// avoidPeriod is for how long a gateway that could not take a request is not asked again.
	avoidPeriod = time.Second
	// ownDomainWeight is how much likelier a gateway of the own failure domain is chosen than another
	// one of the region: bytes that cross domains have a price, but if most of a domain is cut off
	// from upstreams, its other gateways cannot do the work of all.
	ownDomainWeight = 3
)

// Peer is another gateway.
type Peer struct{ Address, Domain string }

// Peers chooses the gateways that send requests in place of one that is cut off from upstreams. It is
// not safe for concurrent use.
type Peers struct {
	domain  string
	regions map[string]string
	rng     *rand.Rand
	// avoidUntil holds the gateways that could not take a request, lateUntil those that have not answered one
	// in time, by address.
	avoidUntil, lateUntil map[string]time.Time
}

// NewPeers returns a chooser for a gateway in the given failure domain. regions are the regions of the
// failure domains.
func NewPeers(domain string, regions map[string]string, rng *rand.Rand) *Peers {
	return &Peers{domain: domain, regions: regions, rng: rng, avoidUntil: make(map[string]time.Time), lateUntil: make(map[string]time.Time)}
}

// Avoid records that a gateway could not take a request.
func (p *Peers) Avoid(now time.Time, address string) { p.avoidUntil[address] = now.Add(avoidPeriod) }

// Late records that a gateway has not answered a request in time. The upstream that ran it may be the cause.
func (p *Peers) Late(now time.Time, address string) { p.lateUntil[address] = now.Add(avoidPeriod) }

// Choose returns one of the gateways at random, except those in tried and those to avoid. Gateways of
// other regions are chosen only if there is none in this one, and gateways that were late only if there is no other.
func (p *Peers) Choose(now time.Time, all []Peer, tried []string) (Peer, bool) {
	inTime := slices.DeleteFunc(slices.Clone(all), func(peer Peer) bool { return now.Before(p.lateUntil[peer.Address]) })
	if peer, ok := p.choose(now, inTime, tried); ok {
		return peer, true
	}
	return p.choose(now, all, tried)
}

func (p *Peers) choose(now time.Time, all []Peer, tried []string) (Peer, bool) {
	var near, far []Peer
	for _, peer := range all {
		switch {
		case slices.Contains(tried, peer.Address), now.Before(p.avoidUntil[peer.Address]):
		case p.regions[peer.Domain] == p.regions[p.domain]:
			near = append(near, peer)
		default:
			far = append(far, peer)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return p.pick(near)
}

// pick draws a gateway by weight.
func (p *Peers) pick(list []Peer) (Peer, bool) {
	total := 0
	for _, peer := range list {
		total += p.weight(peer)
	}
	if total == 0 {
		return Peer{}, false
	}
	at := p.rng.IntN(total)
	for _, peer := range list {
		if at -= p.weight(peer); at < 0 {
			return peer, true
		}
	}
	return Peer{}, false
}

func (p *Peers) weight(peer Peer) int {
	if peer.Domain == p.domain {
		return ownDomainWeight
	}
	return 1
}

// Prune discards expired entries.
func (p *Peers) Prune(now time.Time) {
	expired := func(_ string, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(p.avoidUntil, expired)
	maps.DeleteFunc(p.lateUntil, expired)
}
