package gateway

import (
	"net/http"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/platform"
)

// This file reads notices: upstreams announce in their responses to this gateway that they are
// leaving or need a rest.

// decodeNotice returns the notice in an upstream's response. An invalid rest is counted and
// dropped.
func (f *proxy) decodeNotice(status int, h http.Header) notice.Notice {
	rest, err := platform.DecodeRetryAfter(status, h)
	if err != nil {
		f.meters.inc(restsInvalid)
	}
	return notice.Notice{Leaving: platform.IsLeaving(h), Rest: rest}
}

// logNotice logs what a notice has changed.
func (f *proxy) logNotice(g dispatch.Grant, n notice.Notice, c notice.Change) {
	log := f.log.With("upstream", g.Instance.ID, "service", g.Instance.Service)
	if c.StartedLeaving {
		log.Info("upstream announced that it is leaving")
	}
	if c.StartedResting {
		log.Info("upstream asked for a rest", "rest_ms", n.Rest.Milliseconds())
	}
}

// countSentDespiteNotice counts a request that is sent to an upstream which is leaving or
// resting.
func (f *proxy) countSentDespiteNotice(g dispatch.Grant, standing notice.State) {
	if standing.Leaving() {
		f.meters.inc(f.meters.service(noticesSentLeaving, g.Instance.Service))
	}
	if standing.Resting(f.now()) {
		f.meters.inc(f.meters.service(noticesSentResting, g.Instance.Service))
	}
}

// maySend reports whether a granted request may be sent to its upstream now, and the upstream's
// notices so far.
func (t *traffic) maySend(s *serviceTraffic, g dispatch.Grant) (bool, notice.State) {
	now := t.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.MaySend(now, g), s.dispatch.NoticeState(now, g)
}

// updateNoticeGauges sets the gauges of how many upstreams of each service are leaving and resting
// according to their responses to this gateway.
func (t *traffic) updateNoticeGauges(m *meters) {
	now := t.now()
	for name, s := range t.all() {
		s.mu.Lock()
		leaving, resting := s.dispatch.CountNotices(now)
		s.mu.Unlock()
		m.gauge(m.service(noticesLeaving, name), int64(leaving))
		m.gauge(m.service(noticesResting, name), int64(resting))
	}
}
