package warmup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

// establishedLeader returns the assignments of a leader that has led for at least RightDuration.
func establishedLeader() *Assignments { return NewAssignments(at(-RightDuration)) }

func gateways(names ...string) []Gateway {
	var out []Gateway
	for _, name := range names {
		out = append(out, Gateway{Node: name, Domain: name[:1]})
	}
	return out
}

func upstreams(ids ...string) []Upstream {
	var out []Upstream
	for _, id := range ids {
		out = append(out, Upstream{ID: id, Domain: id[:1], Service: "s"})
	}
	return out
}

// Each upstream is assigned to one gateway of its failure domain, and no gateway has two rights for
// a service while another has none.
func TestRightsAreBalanced(t *testing.T) {
	rights := establishedLeader().Assign(start, upstreams("a1", "a2", "a3", "b1"), gateways("ag1", "ag2", "ag3", "bg1"))
	held := make(map[string]int)
	for _, r := range rights {
		if r.Upstream[:1] != r.Gateway[:1] {
			t.Errorf("%s is assigned to %s", r.Upstream, r.Gateway)
		}
		held[r.Gateway]++
	}
	if d := cmp.Diff(map[string]int{"ag1": 1, "ag2": 1, "ag3": 1, "bg1": 1}, held); d != "" {
		t.Error(d)
	}
	if remote := establishedLeader().Assign(start, upstreams("c1"), gateways("ag1")); len(remote) != 1 || remote[0].Gateway != "ag1" {
		t.Errorf("with no gateway in the domain: %v", remote)
	}
}

// The right of a gateway that is gone may be assigned to another one only after it has expired.
func TestRightOfLostGatewayExpires(t *testing.T) {
	a := establishedLeader()
	if r := a.Assign(start, upstreams("a1"), gateways("ag1")); len(r) != 1 {
		t.Fatal(r)
	}
	if r := a.Assign(at(RightDuration-1), upstreams("a1"), gateways("ag2")); len(r) != 0 {
		t.Errorf("two gateways have a right: %v", r)
	}
	if r := a.Assign(at(RightDuration), upstreams("a1"), gateways("ag2")); len(r) != 1 || r[0].Gateway != "ag2" {
		t.Errorf("rights %v", r)
	}
}

// A new leader must wait until the rights assigned by its predecessor have expired.
func TestNewLeaderWaits(t *testing.T) {
	a := NewAssignments(start)
	if r := a.Assign(at(RightDuration-1), upstreams("a1"), gateways("ag1")); r != nil {
		t.Errorf("rights %v", r)
	}
	if r := a.Assign(at(RightDuration), upstreams("a1"), gateways("ag1")); len(r) != 1 {
		t.Errorf("rights %v", r)
	}
}

// Gateways join and leave, and upstreams warm up repeatedly. Two gateways must never have
// overlapping rights for one upstream.
func TestRightsNeverOverlap(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		a := establishedLeader()
		until, holder := make(map[string]time.Time), make(map[string]string)
		for step := range 400 {
			now := at(time.Duration(step) * 60 * time.Millisecond)
			var members, warming []string
			for i := range 6 {
				if rng.Float64() < 0.8 {
					members = append(members, fmt.Sprint("ag", i))
				}
				if rng.Float64() < 0.6 {
					warming = append(warming, fmt.Sprint("a", i))
				}
			}
			for _, r := range a.Assign(now, upstreams(warming...), gateways(members...)) {
				if r.Gateway != holder[r.Upstream] && now.Before(until[r.Upstream]) {
					t.Fatalf("seed %d, step %d: %s has the right for %s, and %s still has it", seed, step, r.Gateway, r.Upstream, holder[r.Upstream])
				}
				holder[r.Upstream], until[r.Upstream] = r.Gateway, now.Add(RightDuration)
			}
		}
	}
}
