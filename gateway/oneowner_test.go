package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/spans"
)

// controlCall returns the body of a grant or release call. ok is false for other requests. The body of r
// can be read again.
func controlCall(r *http.Request) (c platform.GrantRequest, ok bool) {
	if !strings.HasPrefix(r.URL.Path, platform.GrantPath) && !strings.HasPrefix(r.URL.Path, platform.ReleasePath) {
		return c, false
	}
	data, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(data))
	return c, err == nil && json.Unmarshal(data, &c) == nil
}

// loseResponse lets the upstream carry out a call whose response is lost.
func loseResponse(u *upstream, r *http.Request) {
	u.ServeHTTP(httptest.NewRecorder(), r)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// TestSplitDuringRenewalLeavesOneOwner guards against two owners of a part that moves while a renewal of
// the whole span is in flight.
func TestSplitDuringRenewalLeavesOneOwner(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	const silent = "i-s0"
	var watched atomic.Pointer[spans.KeyRange]
	renewed := make(chan struct{})
	var isRenewed, isCut atomic.Bool
	b.onUpstreamRequest = func(r *http.Request) {
		call, ok := controlCall(r)
		keys := watched.Load()
		if !ok || keys == nil || r.Header.Get(platform.TargetInstance) != silent {
			return
		}
		if r.URL.Path == platform.GrantPath && call.From == keys.First && call.Target == keys.Last && isRenewed.CompareAndSwap(false, true) {
			isCut.Store(true)
			close(renewed)
			loseResponse(b.upstreams[silent], r)
		}
		if isCut.Load() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	b.startStandard()
	l := b.leader()
	k := l.assignments.assigner("status")
	k.mu.Lock()
	whole := k.table.Spans[0]
	for _, s := range k.table.Spans {
		if s.Owner == silent {
			whole = s
		}
	}
	k.mu.Unlock()
	watched.Store(&whole.KeyRange)
	<-renewed
	part := whole.First + uint16(whole.Count()/2)
	b.eventually("the span is split and its second part moves", func() bool {
		k.mu.Lock()
		next := k.table.Clone()
		i := next.Index(whole.First)
		if next.Spans[i] != whole {
			k.mu.Unlock()
			t.Fatalf("the span has changed: %+v", next.Spans[i])
		}
		next.Split(i, part)
		next.LastFence++
		next.Spans[i+1].Next, next.Spans[i+1].NextFence = "i-s1", next.LastFence
		k.mu.Unlock()
		k.commit(context.Background(), next)
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.table.Find(part).First == part
	})
	b.eventually("the part has another owner", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		s := k.table.Find(part)
		return s.Owner != silent && !s.Moving()
	})
}
