package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"

	"github.com/rockcroft/rockcroft/standin/instance"
)

// lockedBuffer is a log output that is safe for concurrent reads and writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// find returns the first line with the message and the request, or nil.
func (b *lockedBuffer) find(message, request string) map[string]any {
	return b.findByField(message, "request", request)
}

// findByUpstream returns the first line with the message and the upstream, or nil.
func (b *lockedBuffer) findByUpstream(message, upstream string) map[string]any {
	return b.findByField(message, "upstream", upstream)
}

// findByField returns the first line with the message and the field value, or nil.
func (b *lockedBuffer) findByField(message, field, value string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range bytes.Split(b.buf.Bytes(), []byte("\n")) {
		var fields map[string]any
		if json.Unmarshal(line, &fields) == nil && fields["msg"] == message && fields[field] == value {
			return fields
		}
	}
	return nil
}

// TestRefusalLogLineHasDecisionInputs: the log line of a refused request must be enough to see
// which limit refused it and from which inputs.
func TestRefusalLogLineHasDecisionInputs(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	g := b.gateways[0]
	var out lockedBuffer
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.eventLog.Run(ctx, &out)
	b.upstreams["i-p0"].SetMode(instance.Overloaded)
	b.upstreams["i-p1"].SetMode(instance.Overloaded)
	refused := b.request(g, http.MethodPost, "/pay/x", -1)
	if refused.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", refused.status)
	}
	b.eventually("the refusal is logged", func() bool { return out.find("request not answered", refused.id) != nil })
	line := out.find("request not answered", refused.id)
	for _, field := range []string{
		"kind", "cause", "configuration", "route", "service", "arrivals", "unsent", "tried", "after_ms", "allowed_ms",
		"upstreams", "usable", "waiting", "mine", "others", "others_age_ms", "slots", "work_ms",
	} {
		if _, ok := line[field]; !ok {
			t.Errorf("the line has no %s: %v", field, line)
		}
	}
}
