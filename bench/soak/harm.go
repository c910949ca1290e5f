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
	// harmLeast is how long such a request is asked for at least, harmPause the time between.
	harmLeast = 8 * time.Second
	harmPause = 150 * time.Millisecond
	// harmBack is how long an upstream is away that such a request has ended.
	harmBack = 1500 * time.Millisecond
	// harmKnown is how many ends it takes until a request is known for what it is, harmSettles the
	// time within which all gateways then refuse it, and harmMore how often it may reach one later.
	harmKnown   = 3
	harmSettles = 3 * time.Second
	harmMore    = 3
)

// harms notes when requests ended upstreams, by path.
type harms struct {
	mu    sync.Mutex
	count int
	ends  map[string][]time.Time
}

// name returns a path that no such request had before.
func (h *harms) name() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	return fmt.Sprintf("/pay/harm-%d", h.count)
}

func (h *harms) note(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ends == nil {
		h.ends = make(map[string][]time.Time)
	}
	h.ends[path] = append(h.ends[path], time.Now())
}

// tooMany returns requests that went on to end upstreams when they should have been known.
func (h *harms) tooMany() (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for path, ends := range h.ends {
		later := 0
		for i, at := range ends {
			if i >= harmKnown && at.Sub(ends[harmKnown-1]) > harmSettles {
				later++
			}
		}
		if later > harmMore {
			out = append(out, fmt.Sprintf("%s ended %d upstreams, %d of them more than %s after the third", path, len(ends), later, harmSettles))
		}
	}
	return out
}

// arm lets the upstream end by a harmful request, and start again. One that is being replaced or
// started again breaks the connection and does not end: that is no harm that anybody could know by.
func (s *site) arm(u *upstream) {
	u.OnCrash(func(path string) {
		if !u.changing.CompareAndSwap(false, true) {
			return
		}
		s.harms.note(path)
		go func() {
			if err := s.startAgain(u, harmBack); err != nil {
				s.failedRestart(err)
			}
		}()
	})
}

// harm asks for one harmful request again and again, at all gateways in turn.
func (s *site) harm(length time.Duration) {
	path := s.harms.name()
	for end, i := time.Now().Add(harmLeast+length), 0; time.Now().Before(end); i++ {
		s.askHarmful(pick(s.gateways, i), path, i)
		time.Sleep(harmPause)
	}
}

func (s *site) askHarmful(g *gateway, path string, i int) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers+path, strings.NewReader("the same body"))
	if err != nil {
		return
	}
	r.Host = host
	r.Header.Set(platform.RequestID, fmt.Sprintf("h%s-%d", strings.TrimPrefix(path, "/pay/harm-"), i))
	r.Header.Set(platform.Deadline, wantedTime)
	r.Header.Set(instance.HarmHeader, "1")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		// The gateway may be down.
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
