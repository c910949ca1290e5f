package ownership

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// Keys that callers ask for most are granted first, but no span may be put back for longer than the slack:
// under a steady load the others would never be granted.
func TestGrantsAreDueInOrderOfDemand(t *testing.T) {
	now := time.Unix(1, 0)
	table := &spans.Table{Spans: []spans.Span{
		{KeyRange: spans.KeyRange{First: 0, Last: 9}}, {KeyRange: spans.KeyRange{First: 10, Last: 19}},
		{KeyRange: spans.KeyRange{First: 20, Last: spans.MaxKey}},
	}}
	d := NewSpanDemand(table, map[uint16]float64{12: 30, 15: 10, 21: 20})
	for first, want := range map[uint16]time.Duration{10: 0, 20: grantSlack / 2, 0: grantSlack} {
		if got := d.GrantDue(now, first).Sub(now); got != want {
			t.Errorf("span %d is due after %v, want %v", first, got, want)
		}
	}
	list := []spans.Span{table.Spans[0], table.Spans[1], table.Spans[2]}
	d.Sort(list)
	if list[0].First != 10 || list[1].First != 20 || list[2].First != 0 {
		t.Errorf("order %v", list)
	}
	if due := NewSpanDemand(table, nil).GrantDue(now, 10); !due.Equal(RenewalDue(now)) {
		t.Errorf("without demand due after %v", due.Sub(now))
	}
}

// The keys of a lost domain run several times as long at their next owners. An upstream that was idle must
// not get most of them, or requests for them would all be late there.
func TestColdKeysAreSpread(t *testing.T) {
	const lost, owners = 40, 5
	table := &spans.Table{Service: "s"}
	load := make(map[uint16]float64)
	width := (spans.MaxKey + 1) / (lost + owners)
	for i := range lost + owners {
		s := spans.Span{KeyRange: spans.KeyRange{First: uint16(i * width), Last: uint16((i+1)*width - 1)}, Owner: "gone", Fence: 1}
		load[s.First] = 0.5
		if i < owners {
			s.Owner = string(rune('a' + i))
			// All but the last own keys with a load of 0.4 of their capacity.
			load[s.First] = 20
			if i == owners-1 {
				load[s.First] = 0.1
			}
		}
		if i == lost+owners-1 {
			s.Last = spans.MaxKey
		}
		table.Spans = append(table.Spans, s)
	}
	var list []Owner
	for i := range owners {
		list = append(list, Owner{ID: string(rune('a' + i)), Usable: true, MayKeep: true, Capacity: 50})
	}
	next := MakePlan(PlanInput{Table: table, Owners: list, Load: load, ControlUnreliable: true})
	got := make(map[string]int)
	for _, s := range next.Spans {
		if s.Moving() {
			got[s.Next]++
		}
	}
	if idle := got["e"]; idle > lost/2 {
		t.Errorf("the idle upstream gets %d of %d lost spans: %v", idle, lost, got)
	}
}
