// Package leadership decides which gateway may act as the leader, which assigns keys to upstreams,
// and for how long.
//
// Leadership is a lease in the platform's store, replaced by conditional update. The holder acts
// only while its last successful renewal, counted from when it was sent, is younger than
// LeaseDuration. Another gateway takes the lease over if it was released, or if that gateway has
// itself seen the lease unchanged: for longer than LeaseDuration, or for one missed renewal if the
// holder refuses connections. In the latter case the former holder may still act for a short time,
// and the successor takes that into account.
//
// While the store is unavailable, no gateway can renew the lease. The holder then continues with
// promises from a majority of the voters named in the lease, and after MajorityPeriod from all of them.
// A successor that has written the lease queries a majority of the same voters before it assumes that
// the former holder has stopped: at least one of them knows the last promise. If only fewer answer, it
// waits for MajorityPeriod, after which the answer of a single voter is sufficient.
package leadership

import "time"

const (
	// LeaseDuration is how long a renewal gives the right to act.
	LeaseDuration = 1800 * time.Millisecond
	// RenewInterval is the time between renewals. Two renewals may fail within one LeaseDuration.
	RenewInterval = 600 * time.Millisecond
	// clockDriftPercent is added to the time waited for the lease of another gateway to expire,
	// because clocks run at different rates. takeoverMargin is added for messages in transit.
	clockDriftPercent = 2
	takeoverMargin    = 150 * time.Millisecond
	// missedRenewalMargin is how late a renewal may be before it counts as missed.
	missedRenewalMargin = 350 * time.Millisecond
)

// StoreKind and StoreName are the kind and the name of the lease in the store.
const (
	StoreKind = "rockcroft-leases"
	StoreName = "leader"
)

// Lease is the lease document in the store.
type Lease struct {
	Node        string `json:"node"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation string `json:"incarnation"`
	// Term increases with each new holder.
	Term uint64 `json:"term"`
	// Renewals is the number of the attempt by which the holder's process wrote the lease.
	Renewals uint64 `json:"renewals"`
	// Voters holds the peer addresses of the gateways whose promises let the holder continue while
	// the store is unavailable.
	Voters []string `json:"voters"`
	// Gateways is the number of gateways known to the holder, including itself. After a restart of
	// all gateways, a new holder assumes this number until they report.
	Gateways int `json:"gateways,omitempty"`
	// Released reports whether the holder has given up the lease.
	Released bool `json:"released,omitempty"`
	// FormerHoldsMs is for how many milliseconds after this write upstreams may hold keys by grants
	// that the end of the holder's own right does not bound; zero if there are none.
	FormerHoldsMs int64 `json:"former_holds_ms,omitempty"`
	// MajorityPeriodMs is the longest MajorityPeriod, in milliseconds, of the holder and of the former ones that
	// may still act; zero if one of them may act by the promises of a majority without a limit.
	MajorityPeriodMs int64 `json:"majority_period_ms,omitempty"`
}

// Same reports whether two leases come from the same write.
func (l Lease) Same(other Lease) bool {
	return l.Incarnation == other.Incarnation && l.Term == other.Term && l.Renewals == other.Renewals && l.Released == other.Released
}

// Right is the holder's right to act.
type Right struct{ until time.Time }

// Extend records a successful renewal that was sent at the given time.
func (r *Right) Extend(sent time.Time) {
	if until := sent.Add(LeaseDuration); until.After(r.until) {
		r.until = until
	}
}

// Revoke ends the right immediately.
func (r *Right) Revoke() { r.until = time.Time{} }

// Valid reports whether the holder may act.
func (r *Right) Valid(now time.Time) bool { return now.Before(r.until) }

// Remaining returns how long the right remains valid.
func (r *Right) Remaining(now time.Time) time.Duration { return max(r.until.Sub(now), 0) }

// Lapsed returns how long ago the right ended; zero or less while it is valid.
func (r *Right) Lapsed(now time.Time) time.Duration { return now.Sub(r.until) }

// LeaseObservation is what a gateway has seen of the lease of another gateway.
type LeaseObservation struct {
	revision uint64
	since    time.Time
	known    bool
}

// Observe records that the lease had the given revision at the given time.
func (o *LeaseObservation) Observe(now time.Time, revision uint64) {
	if o.known && revision == o.revision {
		return
	}
	if o.known && revision < o.revision {
		return
	}
	o.revision, o.since, o.known = revision, now, true
}

// UnchangedFor returns for how long this gateway has seen the lease unchanged.
func (o *LeaseObservation) UnchangedFor(now time.Time) time.Duration { return now.Sub(o.since) }

// HolderExpiry returns the time by which the right of the holder has certainly expired, unless the
// lease is renewed again.
func (o *LeaseObservation) HolderExpiry() time.Time { return o.since.Add(takeoverDelay) }

// HolderEnd returns the time by which the right of the holder has certainly ended, for a process that
// serves the address self and acquires the lease now.
func (o *LeaseObservation) HolderEnd(now time.Time, l Lease, self string) time.Time {
	if l.Released || l.Address == self {
		return now
	}
	return o.HolderExpiry()
}

// HoldsEnd returns the time by which upstreams have ceased to hold keys by grants that were made before
// the lease is acquired now by the process that serves the address self, unless a holder acted by
// promises. hold is how long an upstream may hold keys after a grant.
func (o *LeaseObservation) HoldsEnd(now time.Time, l Lease, self string, hold time.Duration) time.Time {
	end := o.HolderEnd(now, l, self).Add(hold)
	if l.FormerHoldsMs <= 0 || !o.known {
		return end
	}
	former := time.Duration(l.FormerHoldsMs) * time.Millisecond
	if at := o.since.Add(former + former*clockDriftPercent/100); at.After(end) {
		return at
	}
	return end
}

// takeoverDelay is how long a lease must be unchanged before another gateway may take it over.
const takeoverDelay = LeaseDuration + LeaseDuration*clockDriftPercent/100 + takeoverMargin

// EarliestTakeOver returns when the lease may be taken over from a holder that is silent, or whose address
// refuses connections, unless it is renewed. ok is false before the lease was observed.
func (o *LeaseObservation) EarliestTakeOver(refused bool) (at time.Time, ok bool) {
	if refused {
		return o.since.Add(RenewInterval + missedRenewalMargin), o.known
	}
	return o.HolderExpiry(), o.known
}

// CanTakeOver reports whether the process that serves the address self may take over the lease. A
// lease with that address belongs to an earlier process at the same address, which has ended.
// refused reports whether the address of the holder refuses connections: the holder has probably
// ended, but a network partition can look the same, so one missed renewal is required as well.
func (o *LeaseObservation) CanTakeOver(now time.Time, l Lease, self string, refused bool) bool {
	if l.Released || l.Address == self {
		return true
	}
	at, ok := o.EarliestTakeOver(refused)
	return ok && !now.Before(at)
}
