package dispatch

import "time"

// This file learns from rejections how many requests an upstream of a full pool may have. Upstreams differ
// in the length of their queues, and gateways estimate the requests at an upstream from reports that are
// some hundred milliseconds old. The bound lowers the upstream's part of the pool's room (poolroom.go). It
// does not exclude the upstream: then fewer upstreams would show room, and more requests would come to each
// of those.

const (
	// rejectionInterval is the time in which rejections count as one: about the time until all gateways
	// have learned of the first one and the requests on their way have arrived.
	rejectionInterval = 300 * time.Millisecond
	// rejectionFactor is by how much a rejection lowers the bound on the requests at an upstream.
	rejectionFactor = 0.8
	// boundRecovery is by how many requests per slot and second the bound rises again.
	boundRecovery = 0.1
	// MaxRejectionAge is the age up to which a rejection is reported: a few reports, of which some may be
	// lost.
	MaxRejectionAge = time.Second
)

// rejections is what a gateway knows of the requests that an upstream had no room for.
type rejections struct {
	// loweredAt is when the bound was last lowered, to lowered requests per slot; zero means never.
	loweredAt time.Time
	lowered   float64
	// ownAt is when the last request of this gateway was rejected.
	ownAt time.Time
}

// boundPerSlot returns how many requests per slot the upstream may have at a time.
func (r *rejections) boundPerSlot(now time.Time) float64 {
	if r.loweredAt.IsZero() {
		return maxInFlightPerSlot
	}
	return min(r.lowered+boundRecovery*now.Sub(r.loweredAt).Seconds(), maxInFlightPerSlot)
}

// record records a rejection that happened at the given time.
func (r *rejections) record(now, at time.Time) {
	if !r.loweredAt.IsZero() && at.Sub(r.loweredAt) < rejectionInterval {
		return
	}
	r.lowered, r.loweredAt = max(rejectionFactor*r.boundPerSlot(now), 1), now
}

// recent reports whether the upstream is known to have rejected a request lately.
func (r *rejections) recent(now time.Time) bool {
	return !r.loweredAt.IsZero() && now.Sub(r.loweredAt) < MaxRejectionAge
}

// recordOwn records that this gateway's request was rejected.
func (r *rejections) recordOwn(now time.Time) {
	r.ownAt = now
	r.record(now, now)
}

// ownAge returns the time since this gateway's last rejected request for a report, or zero if there was
// none lately.
func (r *rejections) ownAge(now time.Time) time.Duration {
	if age := now.Sub(r.ownAt); !r.ownAt.IsZero() && age < MaxRejectionAge {
		return max(age, time.Millisecond)
	}
	return 0
}
