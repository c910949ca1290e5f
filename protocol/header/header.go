// Package header names the HTTP headers of requests and answers.
package header

// Headers that callers send.
const (
	// Key is the key that decides the owner. Required.
	Key = "Rockcroft-Key"
	// RequestID identifies a request over all its repeats.
	RequestID = "Rockcroft-Request-Id"
	// Timeout is the remaining time as a Go duration, such as "800ms".
	Timeout = "Rockcroft-Timeout"
	// Idempotent is "true" or "false" and overrides the default of the method.
	Idempotent = "Rockcroft-Idempotent"
	// Importance is "high", "normal" or "low".
	Importance = "Rockcroft-Importance"
	// Repeat carries the Epoch header of an answer of unknown outcome when
	// the caller asks again with the same request id.
	Repeat = "Rockcroft-Repeat"
	// Caller names the caller for fair limits.
	Caller = "Rockcroft-Caller"
)

// Headers of answers.
const (
	// Kind is the error kind; absent on an upstream's own answer.
	Kind = "Rockcroft-Kind"
	// Ran is "not-run", "ran" or "unknown".
	Ran = "Rockcroft-Ran"
	// Owner is the upstream that answered.
	Owner = "Rockcroft-Owner"
	// Refused is set by an upstream that refused a request before any work.
	Refused = "Rockcroft-Refused"
)

// Headers used towards upstreams and between entries.
const (
	// Epoch is the fencing token of the range.
	Epoch = "Rockcroft-Epoch"
	// Hops counts the entries passed so far.
	Hops = "Rockcroft-Hops"
)

// Reasons of the Refused header.
const (
	RefusedNotOwner   = "not_owner"
	RefusedOverloaded = "overloaded"
	RefusedDeadline   = "deadline"
	RefusedStopping   = "stopping"
)
