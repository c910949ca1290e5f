package gateway

import (
	"context"
	"net/http"
	"testing"
)

// TestNoticesAreLoggedAndCounted checks that log lines and metrics of a gateway show which
// upstreams are leaving or have asked for a rest, and what is sent to them nevertheless.
func TestNoticesAreLoggedAndCounted(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.upstream("i-s0", "status")
	leaving, resting := b.upstream("i-p0", "pay"), b.upstream("i-p1", "pay")
	g := b.gateway("g0")
	b.ready()
	var out lockedBuffer
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.eventLog.Run(ctx, &out)
	leaving.AnnounceLeaving()
	resting.Overload("30")
	b.eventually("both notices are counted", func() bool {
		b.request(g, http.MethodPost, "/pay/x", -1)
		m := metricsOf(g)
		return m["notices.pay.leaving"] == "1" && m["notices.pay.resting"] == "1"
	})
	b.eventually("both notices are logged", func() bool {
		rests := out.findByUpstream("upstream asked for a rest", "i-p1")
		return out.findByUpstream("upstream announced that it is leaving", "i-p0") != nil && rests != nil && rests["rest_ms"] == 30000.0
	})
	if m := metricsOf(g); m["notices.status.leaving"] != "0" || m["notices.status.resting"] != "0" {
		t.Errorf("status: leaving %s, resting %s", m["notices.status.leaving"], m["notices.status.resting"])
	}
}
