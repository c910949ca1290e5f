package ownership

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// A leader must not publish owners that may hold nothing, nor wait for owners that do not answer, for keys
// without an owner or for long.
func TestPublicationWaitsForFirstGrants(t *testing.T) {
	start := time.Unix(1, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	g := NewFirstGrants(start, &spans.Table{Spans: []spans.Span{
		{KeyRange: spans.KeyRange{First: 0, Last: 9}, Owner: "a"},
		{KeyRange: spans.KeyRange{First: 10, Last: 19}, Owner: "silent"},
		{KeyRange: spans.KeyRange{First: 20, Last: 29}, Owner: "a", Next: "b", NextFence: 4},
		{KeyRange: spans.KeyRange{First: 30, Last: spans.MaxKey}},
	}})
	if g.MayPublish(at(time.Millisecond)) {
		t.Error("published before any grant")
	}
	if !g.MayPublish(at(firstPublicationLimit)) {
		t.Error("not published after the limit")
	}
	g.Granted(at(20*time.Millisecond), 0)
	if g.MayPublish(at(30 * time.Millisecond)) {
		t.Error("published before the second owner answered or failed")
	}
	g.Failed("silent")
	if !g.MayPublish(at(40 * time.Millisecond)) {
		t.Error("the publication waits for a silent owner or for moves")
	}
	if g.First() != 20*time.Millisecond || g.All() != 0 || g.Total() != 4 {
		t.Errorf("first after %v, all after %v of %d", g.First(), g.All(), g.Total())
	}
	for i, first := range []uint16{10, 20, 0, 30} {
		if completed := g.Granted(at(time.Second+time.Duration(i)), first); completed != (first == 30) {
			t.Errorf("after key %d: completed %v", first, completed)
		}
	}
	if g.First() != 20*time.Millisecond || g.All() != time.Second+3 {
		t.Errorf("first after %v, all after %v", g.First(), g.All())
	}
}
