package gateway

import (
	"net/http"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/platform"
)

// This file takes over what upstreams say of themselves with their answers to this gateway.

// notice returns what an upstream's answer says of it. What cannot be is counted and dropped.
func (f *proxy) notice(status int, h http.Header) notice.Notice {
	rest, err := platform.DecodeRest(status, h)
	if err != nil {
		f.meters.inc(restsUnsound)
	}
	return notice.Notice{Leaving: platform.Leaving(h), Rest: rest}
}

// noticed logs what a notice has changed.
func (f *proxy) noticed(g dispatch.Grant, n notice.Notice, c notice.Change) {
	log := f.log.With("upstream", g.Instance.ID, "service", g.Instance.Service)
	if c.StartedLeaving {
		log.Info("upstream says that it leaves")
	}
	if c.StartedResting {
		log.Info("upstream asks for rest", "rest_ms", n.Rest.Milliseconds())
	}
}

// countNoticed counts a request that is sent to an upstream which leaves or rests.
func (f *proxy) countNoticed(g dispatch.Grant, said notice.State) {
	if said.Leaving() {
		f.meters.inc(f.meters.service(noticesSentLeaving, g.Instance.Service))
	}
	if said.Resting(f.now()) {
		f.meters.inc(f.meters.service(noticesSentResting, g.Instance.Service))
	}
}

// maySend reports whether a request that was granted may go to its upstream now, and what that has
// said of itself.
func (t *traffic) maySend(s *serviceTraffic, g dispatch.Grant) (bool, notice.State) {
	now := t.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.MaySend(now, g), s.dispatch.NoticeState(g)
}

// noticeGauges tells how many upstreams of each service leave and rest, by what they have said here.
func (t *traffic) noticeGauges(m *meters) {
	now := t.now()
	for name, s := range t.all() {
		s.mu.Lock()
		leaving, resting := s.dispatch.CountNotices(now)
		s.mu.Unlock()
		m.gauge(m.service(noticesLeaving, name), int64(leaving))
		m.gauge(m.service(noticesResting, name), int64(resting))
	}
}
