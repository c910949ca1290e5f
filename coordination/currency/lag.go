package currency

import (
	"sync"
	"time"
)

// lagNotice is how long a view lacks what a source has until that is reported. Two reports and the fetch of
// a list take less.
const lagNotice = 500 * time.Millisecond

// Lag tracks since when a view has lacked what its source has. The zero value is that of a view which lacks
// nothing. It is safe for concurrent use.
type Lag struct {
	mu    sync.Mutex
	since time.Time
	// noticed is set once the present lag has been reported.
	noticed bool
}

// Observe records whether the view lacks anything after a response of the source was applied. It reports
// whether the view has now lacked something for longer than expected, once for each lag.
func (l *Lag) Observe(now time.Time, lacks bool) (notice bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !lacks:
		l.since, l.noticed = time.Time{}, false
		return false
	case l.since.IsZero():
		l.since = now
	}
	if l.noticed || now.Sub(l.since) < lagNotice {
		return false
	}
	l.noticed = true
	return true
}

// Age returns how long the view has been known to lack what a source has; zero if it lacks nothing.
func (l *Lag) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since.IsZero() {
		return 0
	}
	return now.Sub(l.since)
}
