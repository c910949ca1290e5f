package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file tests what the leader concludes from the responses to control calls.

// allKeys are all keys of a service.
var allKeys = spans.KeyRange{First: 0, Last: spans.MaxKey}

// listedUpstreams starts keyed upstreams and returns them as a list of upstreams has them.
func (b *testCluster) listedUpstreams(ids ...string) []instances.Instance {
	b.t.Helper()
	var list []instances.Instance
	for _, id := range ids {
		u := b.upstream(id, "status")
		list = append(list, instances.Instance{ID: id, Service: "status", Address: u.address})
	}
	return list
}

// oneSpanTable returns the table of a service with one span that moves.
func oneSpanTable(owner string, fence uint64, next string, nextFence uint64) *spans.Table {
	return &spans.Table{Service: "status", LastFence: nextFence, Spans: []spans.Span{
		{KeyRange: allKeys, Owner: owner, Fence: fence, Next: next, NextFence: nextFence},
	}}
}

// startRequest starts a request for key 0 at an upstream that holds it, and returns once it runs. The
// channel is closed when it has ended.
func (b *testCluster) startRequest(u *upstream, id string) (ended chan struct{}) {
	b.t.Helper()
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		r, err := http.NewRequest(http.MethodGet, "http://"+u.address+"/status/x", nil)
		if err != nil {
			b.t.Error(err)
			return
		}
		r.Header.Set(platform.RequestID, id)
		r.Header.Set(platform.ShardKey, "0")
		resp, err := b.client.Do(r)
		if err != nil {
			b.t.Error(err)
			return
		}
		_ = resp.Body.Close()
	}()
	b.eventually("the request runs", func() bool { return b.oracle.Runs(id) == 1 })
	return ended
}

// TestExtraResponseIsNoRelease guards against granting keys on which their owner still works because an
// extra response to an earlier control call was taken for the response to the release.
func TestExtraResponseIsNoRelease(t *testing.T) {
	t.Parallel()
	for name, omitsIDs := range map[string]bool{"with IDs": false, "without IDs": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestCluster(t)
			list := b.listedUpstreams("i-s0", "i-s1")
			owner := b.upstreams["i-s0"]
			owner.ServiceTime, owner.OmitsControlIDs = 500*time.Millisecond, omitsIDs
			owner.SetMode(instance.ExtraResponses)
			k := newLoneAssigner(t, b, time.Now, list...)
			k.table = oneSpanTable("", 0, "i-s0", 1)
			k.move(t.Context(), k.table.Spans[0])
			ended := b.startRequest(owner, "r")
			k.table = oneSpanTable("i-s0", 1, "i-s1", 2)
			k.move(t.Context(), k.table.Spans[0])
			if s := k.table.Spans[0]; s.Owner != "i-s1" || s.Cold {
				t.Errorf("the keys did not move with their handover: %+v", s)
			}
			<-ended
		})
	}
}
