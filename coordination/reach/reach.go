// Package reach decides from the outcomes of a gateway's own connections whether the gateway is cut
// off from all upstreams. Upstreams that are down look the same from one gateway, so the result says
// only what this gateway cannot do, and nothing of the upstreams.
package reach

import "time"

const (
	// MinFailing is the number of different upstreams that must fail, unless there are fewer: one or
	// two may be down.
	MinFailing = 3
	// minSilence is how long no upstream may have answered. It is longer than the time between two
	// answers at a gateway with little traffic, and far shorter than a grant of keys.
	minSilence = 300 * time.Millisecond
	// minWait is how long a connection or a response must have been waited for to count as missing.
	minWait = 200 * time.Millisecond
)

// Outcome is the outcome of an attempt to connect to an upstream or to get a response from it.
type Outcome int

// The outcomes.
const (
	// Connected: the upstream accepted a connection.
	Connected Outcome = iota
	// Refused: the address refused a connection.
	Refused
	// NotConnected: no connection was opened in the time that was waited.
	NotConnected
	// Answered: the upstream sent a response.
	Answered
	// NotAnswered: it sent none in the time that was waited.
	NotAnswered
	// Broken: the connection ended before any part of a response.
	Broken
)

// State is what a gateway can do at present.
type State struct {
	// Doubtful is set if no upstream has answered or accepted a connection of late. They may be
	// overloaded, or the requests sent may end every upstream that runs them: only connections to other
	// upstreams show whether this gateway is cut off.
	Doubtful bool
	// CutOff is set if no upstream can be reached: none answers, and connections are refused, broken
	// or not opened, also those to upstreams at random.
	CutOff bool
	// NoNewConnections is set if no upstream accepts connections; open ones may still work.
	NoNewConnections bool
}

// Tracker holds the outcomes since the last success. It is not safe for concurrent use.
type Tracker struct {
	// answers, links and connections are the failures to get answers, those that show a lost link, and
	// those to open a connection.
	answers, links, connections run
	// probesFailedAt is when the last connections to upstreams at random were begun, if all failed.
	probesFailedAt time.Time
}

// run is a run of failures.
type run struct {
	// since is the time of the last success, or of the first failure before any.
	since time.Time
	// failing holds the addresses that have failed since.
	failing map[string]bool
}

// NewTracker returns a tracker without outcomes.
func NewTracker() *Tracker {
	return &Tracker{answers: newRun(), links: newRun(), connections: newRun()}
}

func newRun() run { return run{failing: make(map[string]bool)} }

// Record records an outcome at the given address. waited is how long it took.
func (t *Tracker) Record(now time.Time, addr string, o Outcome, waited time.Duration) {
	if (o == NotConnected || o == NotAnswered) && waited < minWait {
		return
	}
	switch o {
	case Connected:
		t.connections.succeed(now)
	case Answered:
		t.answers.succeed(now)
		t.links.succeed(now)
	case Refused, NotConnected:
		t.connections.fail(now, addr)
		t.links.fail(now, addr)
		t.answers.fail(now, addr)
	case Broken:
		t.links.fail(now, addr)
		t.answers.fail(now, addr)
	case NotAnswered:
		t.answers.fail(now, addr)
	}
}

// Restored records that a connection to an upstream was opened and has lasted. While a gateway is cut
// off it sends nothing that could be answered.
func (t *Tracker) Restored(now time.Time) {
	t.connections.succeed(now)
	t.links.succeed(now)
	t.answers.succeed(now)
}

// ProbesFailed records that connections to several upstreams at random, begun at the given time, have
// all failed.
func (t *Tracker) ProbesFailed(began time.Time) { t.probesFailedAt = began }

// LastAnswer returns when an upstream last answered, or when the first attempt failed if none ever has.
func (t *Tracker) LastAnswer() time.Time { return t.links.since }

// State returns the state of a gateway that knows the given number of upstreams.
func (t *Tracker) State(now time.Time, upstreams int) State {
	need := min(MinFailing, upstreams)
	if need == 0 {
		return State{}
	}
	return State{
		Doubtful:         t.answers.lost(now, need) || t.connections.lost(now, need),
		CutOff:           t.links.lost(now, need) && t.probesFailedAt.After(t.links.since),
		NoNewConnections: t.connections.lost(now, need) && t.probesFailedAt.After(t.connections.since),
	}
}

func (r *run) succeed(now time.Time) {
	r.since = now
	if len(r.failing) > 0 {
		clear(r.failing)
	}
}

func (r *run) fail(now time.Time, addr string) {
	if r.since.IsZero() {
		r.since = now
	}
	r.failing[addr] = true
}

func (r *run) lost(now time.Time, need int) bool {
	return len(r.failing) >= need && now.Sub(r.since) >= minSilence
}
