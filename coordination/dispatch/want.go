package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// Refusal says why a request was not let through.
type Refusal int

// The reasons.
const (
	// NoRoom: all that could run it are full.
	NoCapacity Refusal = iota + 1
	// NoUpstream: none that could run it is known or reachable.
	NoUpstream
	// TooLate: it cannot be answered within its deadline any more.
	TooLate
	// OwnerSilent: the owner of a cold key does not answer.
	OwnerUnresponsive
	// ColdKey: its owner runs it several times as long, and is too busy for that.
	ColdKey
	// HotKey: its key is asked for more often than its owner can run.
	HotKey
	// Evacuated: its owner is in a failure domain that is evacuated, and has it still.
	Evacuated
	// WarmingUp: its owner warms up, and bears no more for the moment.
	WarmingUp
	// Leaving: its owner is about to end, and has it still.
	Leaving
	// Resting: all that could run it want nothing more for a while.
	Resting
	// Limited: all that could run it name a limit, and more is asked for.
	Limited
)

// String returns the reason in words.
func (r Refusal) String() string {
	switch r {
	case NoCapacity:
		return "no room"
	case NoUpstream:
		return "no upstream"
	case TooLate:
		return "too late"
	case OwnerUnresponsive:
		return "owner silent"
	case ColdKey:
		return "cold key"
	case HotKey:
		return "hot key"
	case Evacuated:
		return "evacuated"
	case WarmingUp:
		return "warming up"
	case Leaving:
		return "leaving"
	case Resting:
		return "resting"
	case Limited:
		return "limited"
	}
	return "none"
}

// Want is a request that wants an upstream.
type Request struct {
	// Owner is the only upstream that may run it; empty for any.
	Owner string
	// Key is the key that it is for, if Owner is named.
	Key uint16
	// Again says that it was let through before, and is not a second try beside another.
	Retry bool
	// Cold says that its key came to the owner without a handover: it runs several
	// times as long there.
	Cold bool
	// Exclude are upstreams it was sent to already.
	Exclude []string
	// Priority ranks requests; zero is the most important.
	Priority int
	// Objective is the latency within which the answer is on time.
	Objective time.Duration
	// Deadline is when the answer must be there, Until the last moment at
	// which it may be let through. Goal is when the answer is late: a request does not
	// wait if it then could not be answered before. Zero means that it is late anyway.
	Deadline   time.Time
	QueueUntil time.Time
	LateAt     time.Time
	// Verdict is called once for a request that had to wait.
	OnDecision func(Grant, Refusal)

	dequeued bool
	// admitted is the upstream within whose limit it goes, heldBack says that a limit has held
	// it back.
	admittedTo  *Upstream
	heldByLimit bool
}

// Grant is the right to send one request to an upstream.
type Grant struct {
	Instance instances.Instance
	// Began is when it was given, Ahead how many requests were estimated to
	// be in flight then.
	GrantedAt time.Time
	InFlight  float64
	// Expected is the estimated time until the answer.
	ExpectedLatency time.Duration
	// Cold is that of the request.
	Cold bool
	// Warming says that the upstream warmed up, and its requests were bounded.
	Warming bool
}

// News is what the other gateways reported.
type ClusterReport struct {
	// InFlight is how many requests they have at each upstream; those that are not
	// listed have none.
	InFlight map[string]float64
	// Work is what all gateways have seen of runs at each upstream. Of those that are not
	// listed nothing new is known.
	WorkTimes map[string]worktime.Estimate
	// Demand is how many requests a second they are asked for.
	Demand float64
	// Gateways is the number of all gateways, this one among them.
	Gateways int
	// Admit is the part of the requests that can be run, by key; all of keys that are not
	// listed.
	HotKeyAdmission map[uint16]float64
	// Rights are until when this gateway may send requests to upstreams that warm up, by
	// upstream.
	Rights map[string]time.Time
	// Limits are those that upstreams name, by upstream.
	Limits map[string]Limit
}
