package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/settings"
	"github.com/rockcroft/rockcroft/state/spans"
)

// TestRequestsForLostKeysAreRefusedAtOnce checks that requests wait for a key that moves, but not
// for one that has been without an owner for longer than the route's objective: that key belonged
// to a lost upstream.
func TestRequestsForLostKeysAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	now := time.Now()
	clock := func() time.Time { return now }
	gaps := newOwnerGaps(clock, newMeters())
	table := &spans.Table{Service: "status", Spans: []spans.Span{{KeyRange: spans.KeyRange{Last: spans.MaxKey}, Owner: "i", Next: "k"}}}
	gaps.setTable(table)
	v := newView()
	v.setSpans(table)
	traffic := newTraffic(settings.DefaultGateway(), clock, rand.New(rand.NewPCG(1, 2)))
	f := &proxy{view: v, now: clock, traffic: traffic, ownerGaps: gaps, startup: &startup{view: v, now: clock}}
	ask := func() error {
		q := &request{
			route: &routing.Route{Objective: 200 * time.Millisecond}, service: &routing.Service{Name: "status", Keyed: true},
			receivedAt: now, deadline: now.Add(time.Hour), traffic: traffic.get("status"),
		}
		ctx, leave := context.WithCancel(context.Background())
		leave()
		_, err := f.awaitOwner(ctx, q)
		return err
	}
	now = now.Add(100 * time.Millisecond)
	if err := ask(); !errors.Is(err, context.Canceled) {
		t.Errorf("the request does not wait for a moving key: %v", err)
	}
	now = now.Add(101 * time.Millisecond)
	if err := ask(); answer.KindOf(err) != answer.NoOwner {
		t.Errorf("the request waits for a lost key: %v", err)
	}
}
