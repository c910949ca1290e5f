package ownership

import "time"

// ReleaseTimeout returns how long one call to an owner for a release may take, at most the
// given time; zero for no call. left is the time until the owner's hold ends.
//
// A call that waits beyond the end of the hold gains nothing: nobody holds the keys any
// more. Waits of 2.5 s whatever the hold left the keys of owners that were lost without
// a word free 0.7 to 2.6 s after it (a move begins 2.2 to 2.5 s after the last renewal, which
// holds for 4.3 s; log of a lost owner in a deployment of three gateways). An owner whose
// calls fail is not asked any more once its hold has ended. One whose calls succeed is: it
// may have been granted the keys for longer than this leader knows, and has the handover.
func ReleaseTimeout(maxTimeout, holdLeft time.Duration, callsFailing bool) time.Duration {
	if holdLeft > 0 {
		return min(maxTimeout, holdLeft)
	}
	if callsFailing {
		return 0
	}
	return maxTimeout
}
