package instances

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

func one(id string) Instance { return Instance{ID: id, Service: "s", Address: id + ":1"} }

func leaving(t *testing.T, tr *Tracker, id string) bool {
	t.Helper()
	v, _ := tr.View()
	i := v.Get(id)
	if i == nil {
		t.Fatalf("%s is not in the view", id)
	}
	return i.Leaving
}

func TestRemovedEntryIsLeaving(t *testing.T) {
	tr := NewTracker(nil, start, 0)
	tr.List(start, []Instance{one("a"), one("b")})
	tr.Remove(at(time.Second), "a")
	if !tr.Settle(at(time.Second)) || !leaving(t, tr, "a") || leaving(t, tr, "b") {
		t.Error("an upstream whose entry is gone is not leaving")
	}
	tr.Settle(at(time.Second + keepGone + 1))
	if v, _ := tr.View(); v.Get("a") != nil || v.Len() != 1 {
		t.Error("it is kept for ever")
	}
}

// TestLapsedEntriesAreWaitedFor: entries missing right after an outage stay in
// service until the store has been back for lapseGrace.
func TestLapsedEntriesAreWaitedFor(t *testing.T) {
	tr := NewTracker(nil, start, 0)
	tr.List(start, []Instance{one("a"), one("b")})
	tr.Returned(at(10 * time.Second))
	tr.List(at(10*time.Second), nil)
	if tr.Settle(at(10*time.Second+lapseGrace-1)) || leaving(t, tr, "a") {
		t.Error("given up before its time")
	}
	tr.Put(one("a"))
	tr.Settle(at(10*time.Second + lapseGrace))
	if leaving(t, tr, "a") || !leaving(t, tr, "b") {
		t.Error("one that came back leaves, or one that did not stays")
	}
}

// TestViewGoesOn: a tracker that begins with a view made elsewhere goes on from
// it, and its list replaces what has gone since.
func TestViewGoesOn(t *testing.T) {
	gone := one("gone")
	gone.Leaving = true
	tr := NewTracker(NewView(7, []Instance{one("a"), one("b"), gone}), start, 0)
	if v, _ := tr.View(); v.Revision != 7 {
		t.Errorf("revision %d", v.Revision)
	}
	tr.List(start, []Instance{one("b"), one("c")})
	tr.Settle(start)
	if !leaving(t, tr, "a") || leaving(t, tr, "b") || leaving(t, tr, "c") || !leaving(t, tr, "gone") {
		t.Error("the list is not what counts")
	}
}

// TestListIsAsNewAsItsEntries: a list gives the view the revision of its newest entry,
// as watching the same entries does, and never one below that it had.
func TestListIsAsNewAsItsEntries(t *testing.T) {
	newest := one("b")
	newest.Revision = 4
	listed := NewTracker(nil, start, 0)
	listed.List(start, []Instance{one("a"), newest})
	watched := NewTracker(nil, start, 1)
	watched.Put(one("a"))
	watched.Put(newest)
	watched.Advance(newest.Revision)
	byList, _ := listed.View()
	byWatch, _ := watched.View()
	if byList.Revision != newest.Revision || byWatch.Revision != byList.Revision {
		t.Errorf("revision %d by a list, %d by a watch of the same entries", byList.Revision, byWatch.Revision)
	}
	later := NewTracker(NewView(7, nil), start, 0)
	later.List(start, []Instance{newest})
	if v, _ := later.View(); v.Revision != 7 {
		t.Errorf("back to revision %d", v.Revision)
	}
}

// TestEarlierStartIsNotTaken: an entry that was written by an earlier start of the upstream
// and comes late changes nothing; one that counts anew under the same start does not look
// like another.
func TestEarlierStartIsNotTaken(t *testing.T) {
	tr := NewTracker(nil, start, 0)
	first, second := one("a"), one("a")
	first.BornMs, second.BornMs = 1000, 2000
	first.Leaving = true
	tr.Put(second)
	tr.Put(first)
	tr.List(start, []Instance{first})
	if leaving(t, tr, "a") {
		t.Error("the earlier start counts")
	}
	if first.Incarnation() == second.Incarnation() || first.Incarnation() == 0 || !first.Incarnation().Other(second.Incarnation()) {
		t.Errorf("starts look alike: %d, %d", first.Incarnation(), second.Incarnation())
	}
	unknown := one("a")
	if unknown.Incarnation().Other(second.Incarnation()) {
		t.Error("one that does not say looks like another")
	}
}

func TestBelievable(t *testing.T) {
	now := uint64(start.UnixMilli())
	day := uint64(clockTolerance.Milliseconds())
	if !Believable(0, start) || !Believable(now, start) || !Believable(now+day-1, start) || Believable(now+day+1, start) {
		t.Error("what can be is not told from what cannot")
	}
}

// TestVersionsShareWhatStays: a version costs what has changed, not all upstreams.
func TestVersionsShareWhatStays(t *testing.T) {
	old := NewView(1, []Instance{one("a"), one("b")})
	changed := one("b")
	changed.Leaving = true
	next := old.Apply(2, []Instance{changed}, nil)
	if next.Get("a") != old.Get("a") || next.Get("b") == old.Get("b") || old.Get("b").Leaving {
		t.Error("what stays is copied, or what has changed is shared")
	}
	tr := NewTracker(old, start, 0)
	first, _ := tr.View()
	tr.Put(changed)
	if second, _ := tr.View(); second.Get("a") != first.Get("a") {
		t.Error("the tracker copies what stays")
	}
}

// BenchmarkVersions is one upstream of 1,200 that changes: what a version costs. When each
// version was a copy: 533 KB and 670 us; shared: 85 KB and 291 us.
func BenchmarkVersions(b *testing.B) {
	var list []Instance
	for i := range 1200 {
		list = append(list, one(fmt.Sprintf("i-%08x", i)))
	}
	v := NewView(1, list)
	b.ReportAllocs()
	for b.Loop() {
		v = v.Apply(v.Revision+1, []Instance{one("i-00000007")}, nil)
	}
}

func TestVersionsDiffer(t *testing.T) {
	tr := NewTracker(nil, start, 0)
	tr.List(start, []Instance{one("a")})
	_, first := tr.View()
	_, second := tr.View()
	tr.Advance(6)
	_, third := tr.View()
	if first == second || third <= second {
		t.Errorf("versions %d, %d, %d", first, second, third)
	}
}

func TestViewByService(t *testing.T) {
	other := one("x")
	other.Service = "t"
	v := NewView(1, []Instance{one("b"), one("a"), other})
	if got := v.Service("s"); len(got) != 2 || got[0].ID != "a" {
		t.Errorf("service s: %v", got)
	}
	if got := v.Services(); len(got) != 2 || got[0] != "s" || got[1] != "t" {
		t.Errorf("services %v", got)
	}
}

func TestDiffAndApply(t *testing.T) {
	changed := one("b")
	changed.Leaving = true
	old := NewView(1, []Instance{one("a"), one("b"), one("c")})
	next := NewView(2, []Instance{one("a"), changed, one("d")})
	list, removed := Diff(old, next)
	if len(list) != 2 || len(removed) != 1 {
		t.Errorf("changed %v, removed %v", list, removed)
	}
	got := old.Apply(2, list, removed)
	if more, less := Diff(got, next); len(more)+len(less) > 0 || got.Revision != 2 || len(got.Service("s")) != 3 {
		t.Errorf("applied: %v, %v", more, less)
	}
}
