package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/standin/instance"
)

// TestUnreadHeadersAreReported: a response header that no code interprets is forwarded to the
// caller, and a log line, a metric and a call show an operator which service sends it.
func TestUnreadHeadersAreReported(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.upstream("i-s0", "status")
	b.upstream("i-p0", "pay")
	g := b.gateway("g0")
	b.ready()
	var out lockedBuffer
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.eventLog.Run(ctx, &out)
	for range 2 {
		if a := b.mustRequest(g, http.MethodPost, "/pay/x", -1); a.header.Get(instance.IncarnationHeader) == "" {
			t.Error("the header was not forwarded")
		}
	}
	b.eventually("the header is logged", func() bool {
		line := out.findByUpstream("responses have a header that no code reads", "i-p0")
		return line != nil && line["header"] == instance.IncarnationHeader && line["service"] == "pay"
	})
	if n := metricsOf(g)["answers.pay.unread_headers"]; n != "2" {
		t.Errorf("%s headers counted, want 2", n)
	}
	state, err := g.assignments.placements.Unread(context.Background(), &placementpb.UnreadRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if len(state.Headers) != 1 || state.Headers[0].Name != instance.IncarnationHeader || state.Headers[0].Answers != 2 || !state.Headers[0].Sent {
		t.Errorf("unexpected headers: %v", state.Headers)
	}
}
