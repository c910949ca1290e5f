package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Interval and timeout of the readiness checks.
const (
	readyInterval = 250 * time.Millisecond
	readyTimeout  = 500 * time.Millisecond
)

// balancer selects entries round-robin and skips those that are not ready, as
// the platform's load balancer does. It notices a change only with the next
// readiness check.
type balancer struct {
	entries  []jsonc.Addr
	admin    []jsonc.Addr
	notReady []atomic.Bool
	next     atomic.Uint64
	client   *http.Client
}

func newBalancer(entries, admin []jsonc.Addr) *balancer {
	return &balancer{
		entries:  entries,
		admin:    admin,
		notReady: make([]atomic.Bool, len(entries)),
		client:   &http.Client{Timeout: readyTimeout},
	}
}

// run starts readiness checks of all entries, which go on until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for i := range b.admin {
		go func() {
			for ctx.Err() == nil {
				b.notReady[i].Store(!b.isReady(b.admin[i].String()))
				sleepUntil(ctx, time.Now().Add(readyInterval))
			}
		}()
	}
}

func (b *balancer) isReady(addr string) bool {
	resp, err := b.client.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// pick returns the next ready entry, or the next entry if none is ready.
func (b *balancer) pick() jsonc.Addr {
	start := int(b.next.Add(1))
	for i := range b.entries {
		if n := (start + i) % len(b.entries); !b.notReady[n].Load() {
			return b.entries[n]
		}
	}
	return b.entries[start%len(b.entries)]
}
