// Package leadership decides who may take the role of the leader, the one
// gateway that gives keys to upstreams, and how long it may act.
//
// While the store is away the lease cannot be renewed by anyone. The holder then
// goes on with the promises of a majority of the voters that the lease names. A
// successor, which has written the lease, asks a majority of the same voters
// before it counts on the former holder's end: one of them at least knows of the
// last promise.
//
// The role is a lease in the platform's store, replaced by conditional update.
// The holder acts only while its last successful renewal, counted from when it
// was sent, is younger than Term. Another takes the role when the lease was
// given up, or when it has itself seen the lease unchanged: for longer than Term,
// or for a missed renewal when the holder refuses connections. In the latter case
// the former holder may still act for a moment; the successor counts with that.
package leadership

import "time"

const (
	// LeaseDuration is how long a renewal gives the right to act.
	LeaseDuration = 1800 * time.Millisecond
	// RenewInterval is the time between renewals: two may be lost within a term.
	RenewInterval = 600 * time.Millisecond
	// clockPercent is added to the wait for another's term to end, for clocks
	// that run at different speeds; takeMargin for what is on its way.
	clockPercent = 2
	takeMargin   = 150 * time.Millisecond
	// missMargin is how late a renewal may be before it counts as missed.
	missMargin = 350 * time.Millisecond
)

// Lease is the lease as it lies in the store.
type Lease struct {
	Node        string `json:"node"`
	Address     string `json:"address"`
	Domain      string `json:"domain"`
	Incarnation string `json:"incarnation"`
	// Term rises with each new holder.
	Term uint64 `json:"term"`
	// Renewals makes each write differ from the one before.
	Renewals uint64 `json:"renewals"`
	// Voters are the peer addresses of the gateways whose promises let the
	// holder go on while the store is away.
	Voters []string `json:"voters"`
	// Gateways is the number of gateways that the holder knows, itself among them. After
	// all have started again a new holder counts with as many until they report.
	Gateways int `json:"gateways,omitempty"`
	// Released says that the holder gave it up.
	Released bool `json:"released,omitempty"`
}

// Same reports whether two leases are the same write.
func (l Lease) Same(other Lease) bool {
	return l.Incarnation == other.Incarnation && l.Term == other.Term && l.Renewals == other.Renewals && l.Released == other.Released
}

// Right is the holder's right to act.
type Right struct{ until time.Time }

// Extend notes a renewal that succeeded and was sent at the given time.
func (r *Right) Extend(sent time.Time) {
	if until := sent.Add(LeaseDuration); until.After(r.until) {
		r.until = until
	}
}

// Revoke ends the right at once.
func (r *Right) Revoke() { r.until = time.Time{} }

// Valid reports whether the holder may act.
func (r *Right) Valid(now time.Time) bool { return now.Before(r.until) }

// Remaining returns how long the right still lasts.
func (r *Right) Remaining(now time.Time) time.Duration { return max(r.until.Sub(now), 0) }

// LeaseObservation is what a gateway knows of another's lease.
type LeaseObservation struct {
	revision uint64
	since    time.Time
	known    bool
}

// Observe notes that the lease had the revision at a time.
func (c *LeaseObservation) Observe(now time.Time, revision uint64) {
	if c.known && revision == c.revision {
		return
	}
	if c.known && revision < c.revision {
		return
	}
	c.revision, c.since, c.known = revision, now, true
}

// HolderExpiry returns when the right of the lease's holder has surely ended, if it is
// not renewed once more.
func (c *LeaseObservation) HolderExpiry() time.Time { return c.since.Add(wait) }

// wait is how long an unchanged lease is left to its holder.
const wait = LeaseDuration + LeaseDuration*clockPercent/100 + takeMargin

// CanTakeOver reports whether the lease may be taken over by the process that
// serves the address self: a former process at that address has ended. refused
// says that the holder's address refuses connections: it has probably ended,
// but a cut can look the same, so a missed renewal is waited for.
func (c *LeaseObservation) CanTakeOver(now time.Time, l Lease, self string, refused bool) bool {
	if l.Released || l.Address == self {
		return true
	}
	if refused {
		return c.known && now.Sub(c.since) >= RenewInterval+missMargin
	}
	return c.known && now.Sub(c.since) >= wait
}
