package reporttree

import (
	"fmt"
	"testing"
)

// fleet returns the names of the gateways of each domain, the strongest first.
func fleet(domains, each int) [][]string {
	out := make([][]string, domains)
	for d := range out {
		for i := range each {
			out[d] = append(out[d], fmt.Sprintf("%c%d", 'a'+d, i))
		}
	}
	return out
}

// children returns the number of children of each gateway, and the parents, when the leader is a gateway
// of the first domain.
func children(domains [][]string, leader string, listed int) (count map[string]int, parents map[string]string) {
	count, parents = make(map[string]int), make(map[string]string)
	for d, nodes := range domains {
		var candidates []string
		for _, n := range nodes[:min(listed, len(nodes))] {
			if n != leader {
				candidates = append(candidates, n)
			}
		}
		for _, n := range nodes {
			if n == leader {
				continue
			}
			p := Position{Node: n, Leader: leader, Gateways: len(domains) * len(nodes), DomainGateways: len(nodes), LeaderInDomain: d == 0, Candidates: candidates}
			parents[n] = p.Parent()
			count[parents[n]]++
		}
	}
	return count, parents
}

// TestFanOutIsBounded checks, from a dozen gateways to the size to design for, that no gateway answers
// more than MaxChildren (and as many more as chance gives to one of several heads), that every gateway reaches the leader in a few steps, and that only one
// gateway of each other domain reports to it across domains.
func TestFanOutIsBounded(t *testing.T) {
	for _, c := range []struct{ domains, each, depth int }{{3, 4, 1}, {5, 18, 2}, {5, 60, 2}, {5, 197, 3}, {5, 400, 3}, {6, 884, 3}} {
		domains := fleet(c.domains, c.each)
		for _, leader := range []string{"a0", "a3"} {
			count, parents := children(domains, leader, 24)
			for node, n := range count {
				if bound := MaxChildren + MaxChildren/2; n > bound {
					t.Errorf("%d gateways in %d domains: %s answers %d, at most %d are allowed", c.domains*c.each, c.domains, node, n, bound)
				}
			}
			across := make(map[byte]int)
			for node, parent := range parents {
				depth := 1
				for p := parent; p != leader; p = parents[p] {
					if depth++; depth > 5 {
						t.Fatalf("%s does not reach the leader", node)
					}
				}
				if depth > c.depth {
					t.Errorf("%d gateways: %s is %d steps from the leader, want at most %d", c.domains*c.each, node, depth, c.depth)
				}
				if node[0] != parent[0] {
					across[node[0]]++
				}
			}
			for domain, n := range across {
				if c.domains*c.each >= MinGateways && n != 1 {
					t.Errorf("%d gateways: %d of domain %c report across domains", c.domains*c.each, n, domain)
				}
			}
		}
	}
}

// TestParentWithoutCandidates checks that a gateway that knows no gateway of its domain reports to the
// leader.
func TestParentWithoutCandidates(t *testing.T) {
	p := Position{Node: "a7", Leader: "b0", Gateways: 985, DomainGateways: 200}
	if got := p.Parent(); got != "b0" {
		t.Errorf("reports to %s, want the leader", got)
	}
}

// TestRegionReportsOnce checks that of three failure domains in another region than the leader's only one
// gateway reports to the leader, and that all others reach it.
func TestRegionReportsOnce(t *testing.T) {
	domains := fleet(6, 30)
	regionHead := domains[3][0]
	across := 0
	for d, nodes := range domains {
		for _, n := range nodes {
			p := Position{Node: n, Leader: "a0", Gateways: 180, DomainGateways: 30, LeaderInDomain: d == 0, Candidates: nodes}
			if d == 0 {
				p.Candidates = nodes[1:]
			}
			if d >= 3 {
				p.RegionHead = regionHead
			}
			parent := p.Parent()
			if d >= 3 && parent == "a0" {
				across++
			}
			if n != nodes[0] && d > 0 && parent != nodes[0] {
				t.Errorf("%s reports to %s, want the first head of its domain", n, parent)
			}
			if n == domains[4][0] && parent != regionHead {
				t.Errorf("the first head %s reports to %s, want the region's head %s", n, parent, regionHead)
			}
		}
	}
	if across != 1 {
		t.Errorf("%d gateways of the other region report to the leader, want 1", across)
	}
}
