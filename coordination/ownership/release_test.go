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
		{"long before the end", 4 * time.Second, false, maxTimeout},
		{"up to the end", 700 * time.Millisecond, false, 700 * time.Millisecond},
		{"up to the end, silent", 700 * time.Millisecond, true, 700 * time.Millisecond},
		{"after the end, silent", 0, true, 0},
		{"after the end, reached", -time.Second, false, maxTimeout},
	} {
		if got := ReleaseTimeout(maxTimeout, c.left, c.failing); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
}
