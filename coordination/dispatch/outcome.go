package dispatch

// Outcome is how a try at an upstream ended.
type Outcome int

// The outcomes of a try.
const (
	// Answered means that the upstream answered with anything but a failure.
	Answered Outcome = iota
	// Failed means that the upstream answered with a failure or an invalid response.
	Failed
	// ConnectionBroken means that the upstream closed the connection before a complete response, as
	// some upstreams do when they are full.
	ConnectionBroken
	// Overloaded means that the upstream refused the request for lack of capacity.
	Overloaded
	// NotOwner means that the upstream does not own the key, or is a different one than expected.
	NotOwner
	// Unreachable means that no connection was established; nothing was sent.
	Unreachable
	// ConnectionRefused means that the address refused the connection; nothing was sent.
	ConnectionRefused
	// TimedOut means that the time ran out without a response.
	TimedOut
	// Canceled means that the client left before the response, or that a grant was given back
	// unused.
	Canceled
)

// outcomeNames are the names of the outcomes in metrics and logs.
var outcomeNames = map[Outcome]string{
	Answered: "answered", Failed: "failed", ConnectionBroken: "broken", Overloaded: "full", NotOwner: "not_owner",
	Unreachable: "unreachable", ConnectionRefused: "refused", TimedOut: "silent", Canceled: "left",
}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }
