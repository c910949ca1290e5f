package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/standin/instance"
)

// TestUnreadHeadersAreSeen: a header of answers that no code knows is handed on to the caller, and
// an operator sees by a line, a metric and a call which service sends it.
func TestUnreadHeadersAreSeen(t *testing.T) {
	t.Parallel()
	b := newBed(t)
	b.upstream("i-s0", "status")
	b.upstream("i-p0", "pay")
	g := b.gateway("g0")
	b.ready()
	var out lockedBuffer
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.lines.Run(ctx, &out)
	for range 2 {
		if a := b.mustAsk(g, http.MethodPost, "/pay/x", -1); a.header.Get(instance.IncarnationHeader) == "" {
			t.Error("not handed on")
		}
	}
	b.eventually("a line tells of it", func() bool {
		line := out.lineOf("answers bear a header that is not read", "i-p0")
		return line != nil && line["header"] == instance.IncarnationHeader && line["service"] == "pay"
	})
	if n := metricsOf(g)["answers.pay.unread_headers"]; n != "2" {
		t.Errorf("%s counted", n)
	}
	state, err := g.steward.placements.Unread(context.Background(), &placementpb.UnreadRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if len(state.Headers) != 1 || state.Headers[0].Name != instance.IncarnationHeader || state.Headers[0].Answers != 2 || !state.Headers[0].Sent {
		t.Errorf("%v", state.Headers)
	}
}
