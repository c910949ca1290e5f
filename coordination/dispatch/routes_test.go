package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
)

// serviceWithRoutes returns a service with one upstream that has answered requests of a short and a long
// route, which run 50 and 150 ms.
func serviceWithRoutes(t *testing.T) *Service {
	t.Helper()
	s := newService("a1")
	s.ApplyReport(start, ClusterReport{Gateways: 1, WorkTimes: map[string]worktime.Estimate{"a1": {Work: 100 * ms, Slowness: 1}}})
	s.typicalWorkTime = 100 * ms
	now := start
	for now.Before(learnedAt) {
		for _, route := range []string{"short", "long"} {
			req := routeRequest(route)
			g := mustGrant(t, s, now, req)
			now = now.Add(routeWork[route])
			s.Done(now, g, Answered)
		}
	}
	return s
}

// learnedAt is when serviceWithRoutes has learned the routes' work.
var learnedAt = at(time.Minute)

var routeWork = map[string]time.Duration{"short": 50 * ms, "long": 150 * ms}

func routeRequest(route string) *Request {
	return &Request{Route: route, Objective: time.Second, Deadline: at(time.Hour), QueueUntil: at(time.Hour), OnDecision: func(Decision) {}}
}

// TestRoutesHaveTheirOwnWorkTimes guards against estimates from the mean of a service's routes: they
// hedge a long route too early and a short one too late.
func TestRoutesHaveTheirOwnWorkTimes(t *testing.T) {
	for route, want := range routeWork {
		s := serviceWithRoutes(t)
		g := mustGrant(t, s, learnedAt, routeRequest(route))
		if g.ExpectedLatency < want*85/100 || g.ExpectedLatency > want*115/100 {
			t.Errorf("%s: expected after %s, want about %s", route, g.ExpectedLatency, want)
		}
	}
}

// TestWaitDependsOnRoute: behind the same requests, a request of the short route waits although one of
// the long route would be late. With the mean of both, either both wait or both are refused.
func TestWaitDependsOnRoute(t *testing.T) {
	for route, waits := range map[string]bool{"short": true, "long": false} {
		s := serviceWithRoutes(t)
		for s.Waiting() == 0 {
			offer(s, learnedAt, routeRequest("short"))
		}
		req := routeRequest(route)
		req.LateAt = learnedAt.Add(200 * ms)
		if _, r, decided := offer(s, learnedAt, req); decided == waits {
			t.Errorf("%s: decided %v, refusal %v", route, decided, r)
		}
	}
}

// TestReportedRunsAreOfMeanWork guards against work times that depend on the routes that an upstream
// happens to get: one that gets only the long route would look three times as slow as another.
func TestReportedRunsAreOfMeanWork(t *testing.T) {
	for route, work := range routeWork {
		s := serviceWithRoutes(t)
		s.Loads(learnedAt)
		now := learnedAt
		for range 20 {
			g := mustGrant(t, s, now, routeRequest(route))
			now = now.Add(work)
			s.Done(now, g, Answered)
		}
		if mean := s.Loads(now)[0].Runs.Mean(); mean < 85*ms || mean > 115*ms {
			t.Errorf("%s: reported work time %s, want about 100ms", route, mean)
		}
	}
}
