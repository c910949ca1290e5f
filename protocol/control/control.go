// Package control holds the messages by which entries order upstreams: grants,
// revocations and lease renewals, sent as JSON over HTTP.
package control

import "github.com/rockcroft/rockcroft/state/keyspace"

// Paths of the control interface of an upstream; all take POST.
const (
	PathGrant  = "/control/grant"
	PathRevoke = "/control/revoke"
	PathRenew  = "/control/renew"
	PathReset  = "/control/reset"
)

// Grant gives a span to the upstream at an epoch.
type Grant struct {
	keyspace.Span
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
	// Prepare asks only for warm-up; ownership follows with a second grant.
	Prepare bool `json:"prepare,omitempty"`
}

// Grants is the body of PathGrant.
type Grants struct {
	Boot   string  `json:"boot"`
	Grants []Grant `json:"grants"`
}

// Revocation takes a span back. The upstream refuses grants of the span at
// Epoch or below from then on, and answers once requests in flight have ended.
type Revocation struct {
	keyspace.Span
	Service string `json:"service"`
	Epoch   uint64 `json:"epoch"`
}

// Revocations is the body of PathRevoke.
type Revocations struct {
	Revocations []Revocation `json:"revocations"`
}

// Renewal extends the lease of all grants of an upstream. The end is a reading
// of the upstream's own monotonic clock, taken from an earlier Status, so that
// a renewal delivered late extends nothing.
type Renewal struct {
	// Boot is the process the renewal is meant for; empty asks for a Status.
	Boot string `json:"boot,omitempty"`
	// UntilNanos is a reading of the upstream's clock in nanoseconds.
	UntilNanos int64 `json:"until_ns,omitempty"`
}

// Status is the upstream's answer to control requests.
type Status struct {
	Boot string `json:"boot"`
	// ClockNanos is the upstream's monotonic clock in nanoseconds.
	ClockNanos int64 `json:"clock_ns"`
	// Leaving announces a planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// Running and Waiting count requests at this moment.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}
