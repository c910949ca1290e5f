package poison

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// This file holds the ends that may have happened. An aborted run whose upstream refuses connections shows an
// end, or that the links of this gateway are cut. Until that is known a request is neither sent nor refused
// if it would be refused with these ends, so that it ends no further upstream meanwhile.

const (
	// settleTime is how long after a run was aborted it is decided whether the request is refused: a report
	// of the end reaches all gateways in that time, and an answer that contradicts it comes back.
	settleTime = 400 * time.Millisecond
	// cutTime is the time within which runs aborted at cutUpstreams other upstreams are more likely due to the
	// links of this gateway than to ends. A request that is retried at once may end two.
	cutTime      = 100 * time.Millisecond
	cutUpstreams = 2
	// maxPossible bounds the possible ends that are remembered.
	maxPossible = 256
)

// PossibleEnd is a run that may have ended its upstream.
type PossibleEnd struct {
	Digest      Digest
	Run         Run
	Upstream    string
	Incarnation instances.Incarnation
	// Connected is when the connection of the run was opened, At when the run was aborted.
	Connected, At time.Time
}

// crash returns the crash if the upstream has ended.
func (p *PossibleEnd) crash() Crash {
	return Crash{Digest: p.Digest, Event: eventOf(p.Upstream, p.Incarnation), Run: p.Run, At: p.At, Connected: p.Connected, Upstream: p.Upstream}
}

// settled reports whether the end no longer counts as possible.
func (p *PossibleEnd) settled(now time.Time) bool { return now.Sub(p.At) >= settleTime }

// same reports whether two gateways have reported the same run, or may have.
func (p *PossibleEnd) same(other PossibleEnd) bool {
	if p.Run != 0 && p.Run == other.Run {
		return p.Digest == other.Digest
	}
	return p.Digest == other.Digest && p.Upstream == other.Upstream && p.At.Sub(other.At).Abs() < reportError
}

// EndPossible records that an upstream refused a connection of this gateway after runs were aborted there, and
// reports whether that makes more ends possible.
func (t *Tracker) EndPossible(now time.Time, upstream string, incarnation instances.Incarnation) bool {
	p := process{upstream, incarnation}
	added := false
	for _, run := range t.aborted[p] {
		if !t.abortedElsewhere(p, run.at) {
			possible := PossibleEnd{Digest: run.digest, Run: runOf(eventOf(upstream, incarnation), run), Upstream: upstream, Incarnation: incarnation, Connected: run.connected, At: run.at}
			added = t.AddPossible(now, possible) || added
		}
	}
	return added
}

// abortedElsewhere reports whether runs were aborted at several other upstreams at about the same time.
func (t *Tracker) abortedElsewhere(p process, at time.Time) bool {
	n := 0
	for other, list := range t.aborted {
		if other.upstream != p.upstream && slices.ContainsFunc(list, func(run abortedRun) bool { return run.at.Sub(at).Abs() < cutTime }) {
			n++
		}
		if n >= cutUpstreams {
			return true
		}
	}
	return false
}

// AddPossible records an end that may have happened, as seen by this gateway or another one. It reports
// whether it is new.
func (t *Tracker) AddPossible(now time.Time, p PossibleEnd) bool {
	if p.settled(now) || t.isDecided(p) || len(t.possible) >= maxPossible || slices.ContainsFunc(t.possible, p.same) {
		return false
	}
	t.possible = append(t.possible, p)
	return true
}

// isDecided reports whether the end is known to have happened, or not to have happened, or the request to be
// harmless.
func (t *Tracker) isDecided(p PossibleEnd) bool {
	if t.answeredAfter(p.Digest, p.At) {
		return true
	}
	c := p.crash()
	h, s := t.histories[c.Event], t.suspects[c.Digest]
	if s != nil && c.Run != 0 && slices.Contains(s.runs, c.Run) {
		return true
	}
	if h == nil {
		return false
	}
	if h.ranAfter(c.At) {
		return true
	}
	e := h.endOf(c)
	if s == nil || e == nil {
		return false
	}
	_, counted := s.crashes[e]
	return counted
}

// Possible returns the ends to report to other gateways that may have happened.
func (t *Tracker) Possible(now time.Time) []PossibleEnd {
	t.prunePossible(now)
	return slices.Clone(t.possible)
}

// prunePossible discards possible ends that are decided or settled.
func (t *Tracker) prunePossible(now time.Time) {
	t.possible = slices.DeleteFunc(t.possible, func(p PossibleEnd) bool { return p.settled(now) || t.isDecided(p) })
}

// Undecided reports whether it is still open if the request is refused.
func (t *Tracker) Undecided(now time.Time, d Digest) bool {
	if s := t.suspects[d]; s != nil && s.refused {
		return now.Sub(s.lastCrash) < settleTime
	}
	t.prunePossible(now)
	possible := 0
	for _, p := range t.possible {
		if p.Digest == d {
			possible++
		}
	}
	return possible > 0 && t.CrashCount(d)+possible >= refusalThreshold
}
