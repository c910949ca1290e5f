package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/platform"
)

// TestSilentWatchIsLogged guards against a watch that receives nothing without being detected,
// because other calls to the store are answered. One line is logged when the silence exceeds the
// threshold and one when the watch resumes, only for watched kinds, and the silence counts from
// when they are watched.
func TestSilentWatchIsLogged(t *testing.T) {
	now := time.Unix(1000, 0)
	lines := &logCounter{lines: make(map[string]int)}
	a := newWatchAges(func() time.Time { return now }, slog.New(lines))
	elapse := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(settleInterval) {
			a.check()
		}
	}
	expectLogged := func(what string, silent, resumed int) {
		t.Helper()
		got := []int{lines.count("watch silent"), lines.count("watch resumed")}
		if d := cmp.Diff([]int{silent, resumed}, got); d != "" {
			t.Errorf("%s: %s", what, d)
		}
	}
	a.recordAnswer("config")
	elapse(time.Minute)
	expectLogged("not watched", 0, 0)
	a.begin("config")
	a.begin("servers")
	for range 10 {
		elapse(watchWait)
		a.recordAnswer("config")
		a.recordAnswer("servers")
	}
	expectLogged("watches that end without changes", 0, 0)
	for range 4 {
		elapse(time.Second)
		a.recordAnswer("config")
	}
	expectLogged("one kind is silent", 1, 0)
	if s := a.state(); s[0].Silent || !s[1].Silent || !s[1].Watched {
		t.Errorf("state: %v", s)
	}
	a.recordAnswer("servers")
	expectLogged("watch resumed", 1, 1)
	a.end("servers")
	a.end("config")
	elapse(time.Minute)
	expectLogged("no longer watched", 1, 1)
}

// TestChangeOfSilentWatchCountsFromItsBegin guards against counting the drain time of an upstream from when
// a watch on a silent path was answered at last.
func TestChangeOfSilentWatchCountsFromItsBegin(t *testing.T) {
	began := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		took       time.Duration
		continuous bool
		earliest   time.Duration
	}{
		"in time":              {watchWait, true, watchWait},
		"after a silence":      {watchWait + watchSilenceLimit + 1, true, 0},
		"after a failed watch": {watchWait, false, 0},
	} {
		now := began
		w := newWatcher(nil, newView(), nil, func() time.Time { return now }, slog.New(slog.DiscardHandler), newMeters())
		w.recordApplied(platform.InstancesKind, began)
		now = began.Add(c.took)
		w.recordWatched(platform.InstancesKind, began, c.continuous)
		if got := w.currency.EarliestChange(now).Sub(began); got != c.earliest {
			t.Errorf("%s: a change may have been made %s after the begin, want %s", name, got, c.earliest)
		}
	}
}
