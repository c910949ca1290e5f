package routing

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// newTestTable returns a table with one route per prefix for the host h.example.
func newTestTable(prefixes ...string) *Table {
	c := &Configuration{Routes: make(map[string]*Route)}
	for _, p := range prefixes {
		c.Routes[p] = &Route{Name: p, Host: "h.example", Prefix: p}
	}
	return NewTable(c)
}

func TestMatchPrefersTheLongestPrefix(t *testing.T) {
	tab := newTestTable("/", "/a/", "/a/b/")
	for path, want := range map[string]string{
		"/": "/", "/x": "/", "/a": "/", "/a/": "/a/", "/a/x/y": "/a/", "/a/b/": "/a/b/", "/a/bc": "/a/", "/a/b/c": "/a/b/",
	} {
		r := tab.Match("H.Example:80", path)
		if r == nil || r.Prefix != want {
			t.Errorf("path %s: matched the wrong route %v", path, r)
		}
	}
	for _, c := range [][2]string{{"other.example", "/a/"}, {"", "/"}, {"h.example", ""}, {"h.example", "a/"}} {
		if r := tab.Match(c[0], c[1]); r != nil {
			t.Errorf("host and path %v match route %s, want none", c, r.Prefix)
		}
	}
	if r := newTestTable("/a/").Match("h.example", "/b/"); r != nil {
		t.Error("a path without a route matched one")
	}
}

// TestSplitterFollowsWeights checks that the requests of each target stay close to its
// share: the difference is at most one request per target of the route.
func TestSplitterFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &Route{Name: "r"}
		total := 0.0
		for i, n := 0, rapid.IntRange(1, 4).Draw(t, "targets"); i < n; i++ {
			w := float64(rapid.IntRange(1, 100).Draw(t, "weight"))
			r.Targets = append(r.Targets, Target{Service: string(rune('a' + i)), Weight: w})
			total += w
		}
		s := NewSplitter()
		counts := make(map[string]int)
		requests := rapid.IntRange(1, 500).Draw(t, "requests")
		for range requests {
			counts[s.Pick(r)]++
		}
		for _, target := range r.Targets {
			want := target.Weight / total * float64(requests)
			if math.Abs(float64(counts[target.Service])-want) > float64(len(r.Targets)) {
				t.Fatalf("target %s got %d of %d requests, want about %.1f", target.Service, counts[target.Service], requests, want)
			}
		}
	})
}

func TestSplitterFollowsChangedTargets(t *testing.T) {
	s := NewSplitter()
	old := &Route{Name: "r", Targets: []Target{{"a", 1}, {"b", 1}}}
	for range 10 {
		s.Pick(old)
	}
	next := &Route{Name: "r", Targets: []Target{{"a", 1}, {"c", 0}}}
	for range 10 {
		if got := s.Pick(next); got != "a" {
			t.Fatalf("picked target %s, want a", got)
		}
	}
}
