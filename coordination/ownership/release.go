package ownership

import "time"

// ReleaseTimeout returns the timeout of one release call to an owner, at most maxTimeout; zero
// means that no call is made. holdLeft is the remaining time for which the owner's grant is valid.
//
// A call that lasts beyond the end of the hold gains nothing: after it the owner holds the keys no
// more. With a fixed timeout of 2.5 s, the keys of owners that fail without warning become free 0.7
// to 2.6 s after the end of the hold: a move starts 2.2 to 2.5 s after the last renewal, which is
// valid for 4.3 s. These times are from the log of a lost owner with three gateways.
//
// If calls to the owner fail, no call is made after the end of its hold. If they succeed, the owner
// is still called: it may have been granted the keys for longer than this leader knows, and it has
// the handover state.
func ReleaseTimeout(maxTimeout, holdLeft time.Duration, callsFailing bool) time.Duration {
	if holdLeft > 0 {
		return min(maxTimeout, holdLeft)
	}
	if callsFailing {
		return 0
	}
	return maxTimeout
}
