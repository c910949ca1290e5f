package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
)

// This file sends requests that crash each upstream which runs them, and repeats them at
// all gateways.

const (
	// minHarmDuration is the minimum time for which such a request is repeated;
	// harmInterval is the pause between two repetitions.
	minHarmDuration = 8 * time.Second
	harmInterval    = 150 * time.Millisecond
	// harmRestartDelay is how long an upstream that such a request crashed stays down.
	harmRestartDelay = 1500 * time.Millisecond
	// harmDetectionCrashes is the number of crashes after which gateways must recognize a
	// request as harmful. harmDetectionTime is the time within which all gateways must
	// then refuse it, and maxLaterCrashes the number of crashes tolerated after that.
	harmDetectionCrashes = 3
	harmDetectionTime    = 3 * time.Second
	maxLaterCrashes      = 3
)

// harmfulRequests records the times at which harmful requests crashed upstreams, by path.
// It is safe for concurrent use.
type harmfulRequests struct {
	mu      sync.Mutex
	count   int
	crashes map[string][]time.Time
}

// newPath returns a path that no harmful request has used before.
func (h *harmfulRequests) newPath() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	return fmt.Sprintf("/pay/harm-%d", h.count)
}

func (h *harmfulRequests) recordCrash(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.crashes == nil {
		h.crashes = make(map[string][]time.Time)
	}
	h.crashes[path] = append(h.crashes[path], time.Now())
}

// undetected returns a description of each request that continued to crash upstreams
// after gateways should have refused it.
func (h *harmfulRequests) undetected() (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for path, crashes := range h.crashes {
		later := 0
		for i, at := range crashes {
			if i >= harmDetectionCrashes && at.Sub(crashes[harmDetectionCrashes-1]) > harmDetectionTime {
				later++
			}
		}
		if later > maxLaterCrashes {
			out = append(out, fmt.Sprintf("%s ended %d upstreams, %d of them more than %s after the third", path, len(crashes), later, harmDetectionTime))
		}
	}
	return out
}

// setCrashHandler makes harmful requests crash and restart the upstream. An upstream that
// is being replaced or restarted only breaks the connection. That is not counted as a crash,
// because gateways cannot recognize it as one.
func (d *deployment) setCrashHandler(u *upstream) {
	u.OnCrash(func(path string) {
		if !u.changing.CompareAndSwap(false, true) {
			return
		}
		d.harmfulRequests.recordCrash(path)
		go func() {
			if err := d.restartClaimed(u, harmRestartDelay); err != nil {
				d.recordRestartError(err)
			}
		}()
	})
}

// sendHarmfulRequests repeats one harmful request at all gateways in turn, for length plus
// minHarmDuration.
func (d *deployment) sendHarmfulRequests(length time.Duration) {
	path := d.harmfulRequests.newPath()
	for end, i := time.Now().Add(minHarmDuration+length), 0; time.Now().Before(end); i++ {
		d.sendHarmfulRequest(pick(d.gateways, i), path, i)
		time.Sleep(harmInterval)
	}
}

func (d *deployment) sendHarmfulRequest(g *gateway, path string, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+path, strings.NewReader("the same body"))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set(platform.RequestID, fmt.Sprintf("h%s-%d", strings.TrimPrefix(path, "/pay/harm-"), i))
	r.Header.Set(platform.Deadline, deadlineMs)
	r.Header.Set(instance.HarmHeader, "1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		// The gateway may be down because of another fault.
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
