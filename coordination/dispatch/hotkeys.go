package dispatch

import "time"

// This file limits the requests for keys that get more of them than their owners can run.

const (
	// hotKeyLimitMinGateways is the number of gateways from which hot key limits apply. A dozen
	// gateways each see enough requests for a hot key to share its owner's capacity exactly, and a
	// limit based on estimates would refuse requests that could be run. Each of hundreds sees only
	// a fraction of a request between two reports.
	hotKeyLimitMinGateways = 24
	// hotKeyLimitTTL is how long a hot key limit stays in force without a new report: without a
	// leader nothing lifts the limit when the key is no longer hot.
	hotKeyLimitTTL = 2 * time.Second
)

// rejectsHotKey decides at random whether to refuse a request for a hot key. Each of 300 gateways
// sees two or three of its requests per second, and together they admit about what its owner can
// run. Without this limit, all gateways would fill the owner whenever a report shows free
// capacity, and it would break the connections of requests that it cannot queue.
func (s *Service) rejectsHotKey(now time.Time, req *Request) bool {
	admission, hot := s.hotKeyLimit(now, req)
	if !hot || s.rng.Float64() < admission*s.callerOdds(now, req) {
		return false
	}
	u := s.upstream(now, req.Owner)
	switch {
	case u == nil:
		return true
	case u.sharedByOdds(now):
		return false
	}
	// The odds would else be those of the requests that this limit lets through.
	u.arrivals++
	return true
}

// hotKeyLimit returns the fraction of the requests for a hot key that can be run, and whether the
// request's key is one.
func (s *Service) hotKeyLimit(now time.Time, req *Request) (admission float64, hot bool) {
	if req.Owner == "" || req.Retry || s.Disabled.NoLimits || s.gateways < hotKeyLimitMinGateways || now.Sub(s.hotKeyAdmissionAt) > hotKeyLimitTTL {
		return 0, false
	}
	admission, hot = s.hotKeyAdmission[req.Key]
	return admission, hot
}
