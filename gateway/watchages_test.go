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
		got := []int{lines.count("watch hears nothing"), lines.count("watch hears again")}
		if d := cmp.Diff([]int{silent, resumed}, got); d != "" {
			t.Errorf("%s: %s", what, d)
		}
	}
	a.noteAnswer("config")
	elapse(time.Minute)
	expectLogged("not watched", 0, 0)
	a.begin("config")
	a.begin("servers")
	for range 10 {
		elapse(watchWait)
		a.noteAnswer("config")
		a.noteAnswer("servers")
	}
	expectLogged("watches that end without changes", 0, 0)
	for range 4 {
		elapse(time.Second)
		a.noteAnswer("config")
	}
	expectLogged("one kind is silent", 1, 0)
	if s := a.state(); s[0].Silent || !s[1].Silent || !s[1].Watched {
		t.Errorf("state: %v", s)
	}
	a.noteAnswer("servers")
	expectLogged("it hears again", 1, 1)
	a.end("servers")
	a.end("config")
	elapse(time.Minute)
	expectLogged("not watched any more", 1, 1)
}
