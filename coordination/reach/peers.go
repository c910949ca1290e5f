package reach

import (
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
	// avoidUntil holds the gateways that could not take a request, by address.
	avoidUntil map[string]time.Time
}

// NewPeers returns a chooser for a gateway in the given failure domain. regions are the regions of the
// failure domains.
func NewPeers(domain string, regions map[string]string, rng *rand.Rand) *Peers {
	return &Peers{domain: domain, regions: regions, rng: rng, avoidUntil: make(map[string]time.Time)}
}

// Avoid records that a gateway could not take a request.
func (p *Peers) Avoid(now time.Time, address string) { p.avoidUntil[address] = now.Add(avoidPeriod) }

// Choose returns one of the gateways at random, except those in tried and those to avoid. Gateways of
// other regions are chosen only if there is none in this one.
func (p *Peers) Choose(now time.Time, all []Peer, tried []string) (Peer, bool) {
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
	for address, until := range p.avoidUntil {
		if !now.Before(until) {
			delete(p.avoidUntil, address)
		}
	}
}
