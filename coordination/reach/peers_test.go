package reach

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPeersAreSpread checks that all gateways of the region share the requests, those of the own
// failure domain with a higher weight, and that those of other regions are the last resort.
func TestPeersAreSpread(t *testing.T) {
	regions := map[string]string{"a": "north", "b": "north", "c": "south"}
	all := []Peer{{"a1", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}}
	p, now := NewPeers("a", regions, rand.New(rand.NewPCG(1, 1))), time.Unix(1000, 0)
	count := make(map[string]int)
	const rounds = 5000
	for range rounds {
		peer, ok := p.Choose(now, all, nil)
		if !ok {
			t.Fatal("no gateway chosen")
		}
		count[peer.Address]++
	}
	if count["c1"] > 0 || count["b1"] < rounds/10 || count["b2"] < rounds/10 || count["a1"] < 2*count["b1"] {
		t.Errorf("chosen %v", count)
	}
	p.Avoid(now, "a1")
	if peer, _ := p.Choose(now, all, []string{"b1"}); peer.Address != "b2" {
		t.Errorf("%s chosen, only b2 is neither avoided nor tried", peer.Address)
	}
	if peer, _ := p.Choose(now, all, []string{"b1", "b2"}); peer.Address != "c1" {
		t.Errorf("%s chosen with none left in the region", peer.Address)
	}
	if peer, ok := p.Choose(now, all, []string{"b1", "b2", "c1"}); ok {
		t.Errorf("%s chosen with none left", peer.Address)
	}
	now = now.Add(avoidPeriod)
	if peer, _ := p.Choose(now, all, []string{"b1", "b2"}); peer.Address != "a1" {
		t.Errorf("%s chosen after a1 is no longer avoided", peer.Address)
	}
	p.Late(now, "a1")
	if peer, _ := p.Choose(now, all, []string{"b1"}); peer.Address != "b2" {
		t.Errorf("%s chosen, only b2 was not late", peer.Address)
	}
	if peer, _ := p.Choose(now, all, []string{"b1", "b2", "c1"}); peer.Address != "a1" {
		t.Errorf("%s chosen, only a1 is left", peer.Address)
	}
	now = now.Add(avoidPeriod)
	if p.Prune(now); len(p.avoidUntil) > 0 || len(p.lateUntil) > 0 {
		t.Error("expired entries are kept")
	}
}
