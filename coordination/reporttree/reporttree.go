// Package reporttree decides which gateway each gateway reports to. The leader answers some dozens of
// gateways, whatever the number of all: small deployments report to it directly; in larger ones the
// strongest gateway of each failure domain, its first head, reports for the others, and in a large
// domain further heads stand between it and them. Traffic between failure domains is paid once for each
// domain, and traffic between regions once for each region: the first head of one of its domains reports
// for the other domains.
package reporttree

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MinGateways is the number of gateways from which on there are heads. With fewer, the leader can
	// answer all gateways itself, and changes reach every gateway one hop sooner.
	MinGateways = 24
	// MaxChildren is the number of gateways of one failure domain that one gateway answers. It bounds
	// the reports and the bytes of the busiest gateway.
	MaxChildren = 64
)

// Position is where a gateway stands among the others.
type Position struct {
	// Node is the gateway, Leader the one that leads, both by name.
	Node, Leader string
	// Gateways is the number of all gateways, DomainGateways that of the gateways of the own failure
	// domain.
	Gateways, DomainGateways int
	// LeaderInDomain is set if the leader is in the own failure domain.
	LeaderInDomain bool
	// RegionHead is the gateway that reports for the own region if the leader is in another one;
	// empty if it is in the same.
	RegionHead string
	// Candidates are the gateways of the own failure domain that may be heads, the strongest first,
	// without the leader. It contains the own gateway if that may be one.
	Candidates []string
}

// Heads returns the number of heads of the failure domain.
func (p Position) Heads() int {
	switch {
	case p.Gateways < MinGateways:
		return 0
	case p.LeaderInDomain && p.DomainGateways <= MaxChildren:
		return 0
	}
	if p.DomainGateways <= MaxChildren {
		return min(1, len(p.Candidates))
	}
	return min(1+(p.DomainGateways+MaxChildren-1)/MaxChildren, len(p.Candidates))
}

// Parent returns the gateway to report to.
func (p Position) Parent() string {
	heads := p.Candidates[:p.Heads()]
	switch own := slices.Index(heads, p.Node); {
	case len(heads) == 0:
		return p.Leader
	case own == 0 && p.RegionHead != "" && p.RegionHead != p.Node:
		return p.RegionHead
	case own == 0:
		return p.Leader
	case own > 0:
		return heads[0]
	}
	if len(heads) == 1 {
		return heads[0]
	}
	// The first head answers the other heads, so that the rest is divided among those.
	others := heads[1:]
	return others[xxhash.Sum64String(p.Node)%uint64(len(others))]
}
