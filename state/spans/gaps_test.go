package spans

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestUnownedTracker(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	table := &Table{Service: "s", LastFence: 9, Spans: []Span{{KeyRange: KeyRange{0, 99}, Owner: "a", Fence: 1}, {KeyRange: KeyRange{100, MaxKey}, Owner: "b", Fence: 2}}}
	var g UnownedTracker
	if ended := g.Update(at(0), table); ended != nil || g.LongestUnowned(at(5)) != 0 {
		t.Errorf("gaps in a whole table: %v", ended)
	}
	moving := table.Clone()
	moving.Spans[0].Next, moving.Spans[0].NextFence = "b", 3
	g.Update(at(10), moving)
	split := moving.Clone()
	split.Split(0, 50)
	g.Update(at(20), split)
	if got := g.LongestUnowned(at(30)); got != 20*time.Millisecond {
		t.Errorf("longest %s", got)
	}
	half := split.Clone()
	half.Spans[0] = Span{KeyRange: KeyRange{0, 49}, Owner: "b", Fence: 3}
	if diff := cmp.Diff([]time.Duration{30 * time.Millisecond}, g.Update(at(40), half)); diff != "" {
		t.Error(diff)
	}
	if got := g.LongestUnowned(at(60)); got != 50*time.Millisecond {
		t.Errorf("the part that still moves: %s", got)
	}
	whole := half.Clone()
	whole.Spans[1] = Span{KeyRange: KeyRange{50, 99}, Owner: "b", Fence: 3}
	if diff := cmp.Diff([]time.Duration{50 * time.Millisecond}, g.Update(at(60), whole)); diff != "" {
		t.Error(diff)
	}
}
