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

// led returns the book of a leader that has led for a while.
func led() *Assignments { return NewAssignments(at(-RightDuration)) }

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

// TestRightsAreSpread: each upstream gets one gateway of its failure domain, and no gateway
// has two of a service while another has none.
func TestRightsAreSpread(t *testing.T) {
	rights := led().Assign(start, upstreams("a1", "a2", "a3", "b1"), gateways("ag1", "ag2", "ag3", "bg1"))
	held := make(map[string]int)
	for _, r := range rights {
		if r.Upstream[:1] != r.Gateway[:1] {
			t.Errorf("%s is given to %s", r.Upstream, r.Gateway)
		}
		held[r.Gateway]++
	}
	if d := cmp.Diff(map[string]int{"ag1": 1, "ag2": 1, "ag3": 1, "bg1": 1}, held); d != "" {
		t.Error(d)
	}
	if far := led().Assign(start, upstreams("c1"), gateways("ag1")); len(far) != 1 || far[0].Gateway != "ag1" {
		t.Errorf("with no gateway in the domain: %v", far)
	}
}

// TestLostHolder: its right is another's only when it has ended.
func TestLostHolder(t *testing.T) {
	b := led()
	if r := b.Assign(start, upstreams("a1"), gateways("ag1")); len(r) != 1 {
		t.Fatal(r)
	}
	if r := b.Assign(at(RightDuration-1), upstreams("a1"), gateways("ag2")); len(r) != 0 {
		t.Errorf("two gateways have a right: %v", r)
	}
	if r := b.Assign(at(RightDuration), upstreams("a1"), gateways("ag2")); len(r) != 1 || r[0].Gateway != "ag2" {
		t.Errorf("rights %v", r)
	}
}

// TestNextLeaderWaits until the rights that the former one named have ended.
func TestNextLeaderWaits(t *testing.T) {
	b := NewAssignments(start)
	if r := b.Assign(at(RightDuration-1), upstreams("a1"), gateways("ag1")); r != nil {
		t.Errorf("rights %v", r)
	}
	if r := b.Assign(at(RightDuration), upstreams("a1"), gateways("ag1")); len(r) != 1 {
		t.Errorf("rights %v", r)
	}
}

// TestOneHolderAtATime: whatever gateways come and go and upstreams warm up again, of one
// upstream no two gateways have rights that overlap.
func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := led()
		until, who := make(map[string]time.Time), make(map[string]string)
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
			for _, r := range b.Assign(now, upstreams(warming...), gateways(members...)) {
				if r.Gateway != who[r.Upstream] && now.Before(until[r.Upstream]) {
					t.Fatalf("seed %d, step %d: %s has %s, and %s still has it", seed, step, r.Gateway, r.Upstream, who[r.Upstream])
				}
				who[r.Upstream], until[r.Upstream] = r.Gateway, now.Add(RightDuration)
			}
		}
	}
}
