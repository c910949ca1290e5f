package gateway

import (
	"context"
	"net/http"
	"testing"
)

// TestAnnouncedLimitIsLoggedAndCounted checks that log lines and metrics of a gateway show which
// upstream announces a limit, how high it is, what is sent to it meanwhile, and when the limit
// ends.
func TestAnnouncedLimitIsLoggedAndCounted(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	b.upstream("i-s0", "status")
	only := b.upstream("i-p0", "pay")
	g := b.gateway("g0")
	b.ready()
	var out lockedBuffer
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go g.eventLog.Run(ctx, &out)
	only.AdvertiseLimit(1000)
	for range 3 {
		b.mustRequest(g, http.MethodPost, "/pay/x", -1)
	}
	b.eventually("the limit is logged", func() bool {
		line := out.findByUpstream("upstream announced a limit", "i-p0")
		return line != nil && line["per_second"] == 1000.0 && line["service"] == "pay"
	})
	if served := metricsOf(g); served["limits.pay.named"] != "1" || served["limits.pay.sent"] != "2" || served["limits.status.named"] != "0" {
		t.Errorf("named %s, sent %s", served["limits.pay.named"], served["limits.pay.sent"])
	}
	only.ClearLimit()
	b.mustRequest(g, http.MethodPost, "/pay/x", -1)
	b.eventually("the end of the limit is logged", func() bool { return out.findByUpstream("upstream limit ended", "i-p0") != nil })
	if served := metricsOf(g); served["limits.pay.named"] != "0" {
		t.Errorf("named %s after the end", served["limits.pay.named"])
	}
}
