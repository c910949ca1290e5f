package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestSilentWatchIsSaid guards against a watch that hears nothing unseen while other calls to the
// store are answered: one line when its silence passes the bound and one when it hears again, for
// kinds that are watched, counted from when they are.
func TestSilentWatchIsSaid(t *testing.T) {
	now := time.Unix(1000, 0)
	lines := &lineRecord{lines: make(map[string]int)}
	a := newWatchAges(func() time.Time { return now }, slog.New(lines))
	pass := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(settleInterval) {
			a.check()
		}
	}
	said := func(what string, nothing, again int) {
		t.Helper()
		got := []int{lines.of("watch hears nothing"), lines.of("watch hears again")}
		if d := cmp.Diff([]int{nothing, again}, got); d != "" {
			t.Errorf("%s: %s", what, d)
		}
	}
	a.noteAnswer("config")
	pass(time.Minute)
	said("not watched", 0, 0)
	a.begin("config")
	a.begin("servers")
	for range 10 {
		pass(watchWait)
		a.noteAnswer("config")
		a.noteAnswer("servers")
	}
	said("watches that end without changes", 0, 0)
	for range 4 {
		pass(time.Second)
		a.noteAnswer("config")
	}
	said("one kind is silent", 1, 0)
	if s := a.state(); s[0].Silent || !s[1].Silent || !s[1].Watched {
		t.Errorf("state: %v", s)
	}
	a.noteAnswer("servers")
	said("it hears again", 1, 1)
	a.end("servers")
	a.end("config")
	pass(time.Minute)
	said("not watched any more", 1, 1)
}
