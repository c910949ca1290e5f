package ownership

import (
	"testing"
	"time"
)

func TestReleaseLimit(t *testing.T) {
	const maxTimeout = 2500 * time.Millisecond
	for _, c := range []struct {
		name    string
		left    time.Duration
		failing bool
		want    time.Duration
	}{
		{"hold outlasts the maximum timeout", 4 * time.Second, false, maxTimeout},
		{"until the end of the hold", 700 * time.Millisecond, false, 700 * time.Millisecond},
		{"until the end of the hold, calls fail", 700 * time.Millisecond, true, 700 * time.Millisecond},
		{"after the hold, calls fail", 0, true, 0},
		{"after the hold, calls succeed", -time.Second, false, maxTimeout},
	} {
		if got := ReleaseTimeout(maxTimeout, c.left, c.failing); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
