package dispatch

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/callers"
	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/state/instances"
)

// Refusal is the reason why a request was not admitted.
type Refusal int

// The reasons for a refusal.
const (
	// NoCapacity means that all upstreams that could run the request are full.
	NoCapacity Refusal = iota + 1
	// NoUpstream means that no upstream that could run the request is known or reachable.
	NoUpstream
	// TooLate means that the request can no longer be answered within its deadline.
	TooLate
	// OwnerUnresponsive means that the owner of the key does not answer and probably will not in time.
	OwnerUnresponsive
	// ColdKey means that the key is cold, so that the request would run several times as long, and
	// its owner is too busy for that.
	ColdKey
	// HotKey means that the key gets more requests than its owner can run.
	HotKey
	// Evacuated means that the owner still has the key but is in a failure domain that is being
	// evacuated.
	Evacuated
	// WarmingUp means that the owner is warming up and takes no more requests at the moment.
	WarmingUp
	// Leaving means that the owner still has the key but is about to stop.
	Leaving
	// Resting means that all upstreams that could run the request have asked to get none for a
	// while.
	Resting
	// Limited means that all upstreams that could run the request have announced a rate limit, and
	// demand exceeds it.
	Limited
	// CallerShare means that requests are refused for lack of room and that the caller has more than
	// its share of it.
	CallerShare
)

// String returns a description of the reason.
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
	case CallerShare:
		return "caller share"
	}
	return "none"
}

// Request describes a request that needs an upstream.
type Request struct {
	// Owner is the only upstream that may run the request; empty if any may.
	Owner string
	// Key is the request's key if Owner is set.
	Key uint16
	// Route is the name of the request's route.
	Route string
	// Caller identifies who sent the request: its team, or else its address. Zero means unknown.
	Caller uint64
	// ReceivedAt is when the gateway received the request.
	ReceivedAt time.Time
	// Retry is set when the request was granted before and this is not a hedge, a second try in
	// parallel with the first.
	Retry bool
	// Cold is set when the owner got the key without a handover, so that the request runs several
	// times as long. Fence identifies the owner's grant; zero means unknown.
	Cold  bool
	Fence uint64
	// Exclude lists upstreams that the request must not go to, such as those that already got it.
	Exclude []string
	// Priority ranks requests; zero is the most important.
	Priority int
	// Objective is the latency within which a response is on time.
	Objective time.Duration
	// Deadline is when the response must arrive, and QueueUntil the last moment at which the
	// request may be granted. A response after LateAt is late: a request that would not be answered
	// by then does not wait. A zero LateAt turns this check off, for a request that is late in any
	// case.
	Deadline   time.Time
	QueueUntil time.Time
	LateAt     time.Time
	// OnDecision is called once for a request that had to wait, unless it is withdrawn.
	OnDecision func(Decision)

	// route is what is known about the runs of the request's route.
	route *worktime.Route
	// startBy is the latest time at which the request can be sent and is likely to be answered in time.
	startBy time.Time
	// maxDelay is the expected delay up to which an upstream without a free slot may get the request.
	maxDelay time.Duration
	// dequeued is set when the request no longer waits.
	dequeued bool
	// room is divided among callers; nil if it is not or if the caller is not known.
	room *callers.Room
	// admittedTo is the upstream whose rate limit admitted the request. heldByLimit is set when a
	// rate limit has rejected it.
	admittedTo  *Upstream
	heldByLimit bool
}

// isLate reports whether the request would probably be late if it were sent at the given time. One that
// may be late is not.
func (r *Request) isLate(sent time.Time) bool { return !r.LateAt.IsZero() && sent.After(r.startBy) }

// Decision is the answer to a request for an upstream.
type Decision struct {
	// Grant is valid if Refusal is zero.
	Grant   Grant
	Refusal Refusal
	// RetryAfter is the time after which a refused caller is likely to find capacity. Zero means that
	// it depends on the refusal alone.
	RetryAfter time.Duration
}

// Granted reports whether the request may be sent.
func (d Decision) Granted() bool { return d.Refusal == 0 }

// refused returns the decision to refuse a request.
func refused(r Refusal) Decision { return Decision{Refusal: r} }

// Grant is the permission to send one request to an upstream.
type Grant struct {
	Instance instances.Instance
	// GrantedAt is when the grant was issued. InFlight is the estimated number of requests at the
	// upstream at that time.
	GrantedAt time.Time
	InFlight  float64
	// ExpectedLatency is the estimated time until the response.
	ExpectedLatency time.Duration
	// Cold is set if the request is expected to run several times as long as usual, because its key
	// is cold. Fence identifies the owner's grant if the key is marked cold.
	Cold  bool
	Fence uint64
	// Warming is set if the upstream was warming up and its requests were rate-limited.
	Warming bool
	// route is that of the request.
	route *worktime.Route
}

// ClusterReport holds what the other gateways reported.
type ClusterReport struct {
	// InFlight is how many requests they have at each upstream. Upstreams that are not listed have
	// none.
	InFlight map[string]float64
	// WorkTimes are estimates from the runs that all gateways have measured, by upstream. For
	// upstreams that are not listed, the previous estimate stays.
	WorkTimes map[string]worktime.Estimate
	// Rejected is the time since upstreams last had no room for another gateway's request, by upstream.
	// Upstreams that are not listed have rejected none lately.
	Rejected map[string]time.Duration
	// Demand is what the other gateways are asked for.
	Demand Demand
	// OwnerDemands are the rates of requests that the other gateways receive for contended owners,
	// per second, by upstream. For owners that are not listed they are unknown.
	OwnerDemands map[string]float64
	// Gateways is the number of all gateways, including this one.
	Gateways int
	// HotKeyAdmission is the fraction of requests that can be run, by key. For keys that are not
	// listed it is all of them.
	HotKeyAdmission map[uint16]float64
	// Rights are the times until which this gateway may send to upstreams that are warming up, by
	// upstream.
	Rights map[string]time.Time
	// Limits are the rate limits that upstreams have announced, by upstream.
	Limits map[string]Limit
}
