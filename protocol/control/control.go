// Package control defines the messages with which entries control the ownership of
// ranges by upstreams: grants, revocations and lease renewals, sent as JSON over HTTP.
package control

import "github.com/rockcroft/rockcroft/state/keyspace"

// Paths of the control interface of an upstream. All of them accept POST only.
const (
	PathGrant  = "/control/grant"
	PathRevoke = "/control/revoke"
	PathRenew  = "/control/renew"
	PathReset  = "/control/reset"
)

// Grant assigns a span of the hash space to the upstream under an epoch.
type Grant struct {
	keyspace.Span
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
	// Prepare only asks the upstream to warm up. A second grant transfers ownership.
	Prepare bool `json:"prepare,omitempty"`
}

// Grants is the request body of PathGrant.
type Grants struct {
	Boot   string  `json:"boot"`
	Grants []Grant `json:"grants"`
}

// Revocation withdraws a span. From then on the upstream rejects grants of the span
// with Epoch or a lower epoch. It responds when the requests in flight have ended.
type Revocation struct {
	keyspace.Span
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
}

// Revocations is the request body of PathRevoke.
type Revocations struct {
	Revocations []Revocation `json:"revocations"`
}

// Renewal extends the lease that covers all grants of an upstream. The new end is in
// terms of the upstream's own monotonic clock, computed from the clock reading in an
// earlier Status. A renewal that is delivered late therefore does not extend the lease
// beyond the intended time.
type Renewal struct {
	// Boot is the boot ID of the process that the renewal is for. If it is empty, the
	// renewal only requests a Status.
	Boot string `json:"boot,omitempty"`
	// UntilNanos is the end of the lease by the upstream's clock, in nanoseconds.
	UntilNanos int64 `json:"until_ns,omitempty"`
}

// Status is the response of an upstream to control requests.
type Status struct {
	Boot string `json:"boot"`
	// ClockNanos is the current reading of the upstream's monotonic clock, in nanoseconds.
	ClockNanos int64 `json:"clock_ns"`
	// Leaving is set if the upstream is going to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Running and Waiting are the current numbers of executing and queued requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}
