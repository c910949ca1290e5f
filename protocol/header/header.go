// Package header defines the names of the HTTP headers in requests and responses.
package header

// Request headers set by callers.
const (
	// Key is the key whose owner receives the request. It is required.
	Key = "Rockcroft-Key"
	// RequestID identifies a request and stays the same when it is retried.
	RequestID = "Rockcroft-Request-Id"
	// Timeout is the time left to respond, as a Go duration such as "800ms".
	Timeout = "Rockcroft-Timeout"
	// Idempotent is "true" or "false" and overrides the default for the HTTP method.
	Idempotent = "Rockcroft-Idempotent"
	// Importance is "high", "normal" or "low".
	Importance = "Rockcroft-Importance"
	// Repeat is sent with a retry of a request whose outcome is unknown. It holds the
	// Epoch header of the response to the earlier attempt with the same request ID.
	Repeat = "Rockcroft-Repeat"
	// Caller identifies the caller, so that limits can be shared fairly among callers.
	Caller = "Rockcroft-Caller"
)

// Response headers.
const (
	// Kind is the error kind. Responses produced by an upstream do not have it.
	Kind = "Rockcroft-Kind"
	// Ran tells whether the request was executed: "not-run", "ran" or "unknown".
	Ran = "Rockcroft-Ran"
	// Owner is the upstream that produced the response.
	Owner = "Rockcroft-Owner"
	// Refused is set by an upstream that rejected the request without executing any of it.
	Refused = "Rockcroft-Refused"
)

// Headers of requests to upstreams, between entries and between gateways.
const (
	// Epoch is the fencing token of the range that the key belongs to.
	Epoch = "Rockcroft-Epoch"
	// Hops is the number of entries or gateways that have forwarded the request so far. Responses to
	// forwarded requests between gateways have it as well.
	Hops = "Rockcroft-Hops"
)

// Values of the Refused header.
const (
	RefusedNotOwner   = "not_owner"
	RefusedOverloaded = "overloaded"
	RefusedDeadline   = "deadline"
	RefusedStopping   = "stopping"
	// RefusedUnreachable: the gateway asked reaches no upstream.
	RefusedUnreachable = "unreachable"
)
