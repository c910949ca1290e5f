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

// This file plays requests that end the upstreams which run them, asked again at all gateways.

const (
	// minHarmDuration is how long such a request is asked for at least, harmInterval the time between.
	minHarmDuration = 8 * time.Second
	harmInterval    = 150 * time.Millisecond
	// harmRestartDelay is how long an upstream is away that such a request has ended.
	harmRestartDelay = 1500 * time.Millisecond
	// harmDetectionCrashes is how many ends it takes until a request is known for what it is, harmDetectionTime the
	// time within which all gateways then refuse it, and maxLaterCrashes how often it may reach one later.
	harmDetectionCrashes = 3
	harmDetectionTime    = 3 * time.Second
	maxLaterCrashes      = 3
)

// harmfulRequests notes when requests ended upstreams, by path.
type harmfulRequests struct {
	mu    sync.Mutex
	count int
	ends  map[string][]time.Time
}

// newPath returns a path that no such request had before.
func (h *harmfulRequests) newPath() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	return fmt.Sprintf("/pay/harm-%d", h.count)
}

func (h *harmfulRequests) recordCrash(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ends == nil {
		h.ends = make(map[string][]time.Time)
	}
	h.ends[path] = append(h.ends[path], time.Now())
}

// undetected returns requests that went on to end upstreams when they should have been known.
func (h *harmfulRequests) undetected() (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for path, ends := range h.ends {
		later := 0
		for i, at := range ends {
			if i >= harmDetectionCrashes && at.Sub(ends[harmDetectionCrashes-1]) > harmDetectionTime {
				later++
			}
		}
		if later > maxLaterCrashes {
			out = append(out, fmt.Sprintf("%s ended %d upstreams, %d of them more than %s after the third", path, len(ends), later, harmDetectionTime))
		}
	}
	return out
}

// setCrashHandler lets the upstream end by a harmful request, and start again. One that is being replaced or
// started again breaks the connection and does not end: that is no harm that anybody could know by.
func (d *deployment) setCrashHandler(u *upstream) {
	u.OnHarm(func(path string) {
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

// sendHarmfulRequests asks for one harmful request again and again, at all gateways in turn.
func (d *deployment) sendHarmfulRequests(length time.Duration) {
	path := d.harmfulRequests.newPath()
	for end, i := time.Now().Add(minHarmDuration+length), 0; time.Now().Before(end); i++ {
		d.sendHarmfulRequest(pick(d.gateways, i), path, i)
		time.Sleep(harmInterval)
	}
}

func (d *deployment) sendHarmfulRequest(g *gateway, path string, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
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
		// The gateway may be down.
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
