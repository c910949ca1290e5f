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
	var tracker UnownedTracker
	if ended := tracker.Update(at(0), table); ended != nil || tracker.LongestUnowned(at(5)) != 0 {
		t.Errorf("unowned ranges in a fully owned table: %v", ended)
	}
	moving := table.Clone()
	moving.Spans[0].Next, moving.Spans[0].NextFence = "b", 3
	tracker.Update(at(10), moving)
	split := moving.Clone()
	split.Split(0, 50)
	tracker.Update(at(20), split)
	if got := tracker.LongestUnowned(at(30)); got != 20*time.Millisecond {
		t.Errorf("longest unowned %s", got)
	}
	half := split.Clone()
	half.Spans[0] = Span{KeyRange: KeyRange{0, 49}, Owner: "b", Fence: 3}
	if diff := cmp.Diff([]time.Duration{30 * time.Millisecond}, tracker.Update(at(40), half)); diff != "" {
		t.Error(diff)
	}
	if got := tracker.LongestUnowned(at(60)); got != 50*time.Millisecond {
		t.Errorf("part that is still moving: %s", got)
	}
	whole := half.Clone()
	whole.Spans[1] = Span{KeyRange: KeyRange{50, 99}, Owner: "b", Fence: 3}
	if diff := cmp.Diff([]time.Duration{50 * time.Millisecond}, tracker.Update(at(60), whole)); diff != "" {
		t.Error(diff)
	}
}
