package poison

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// This file decides which upstream incarnations have ended.
//
// A refused connection does not show it by itself: the gateway may be cut off from the upstream, or
// from all of them, while others reach it. It counts as an end if this gateway can connect to other
// upstreams, and no longer once the process itself has answered any gateway.

const (
	// endRetention is how long an end is kept after its last suspect is gone.
	endRetention = 30 * time.Second
	// maxConfirming is the number of upstreams that must take a connection to confirm the end of
	// another one.
	maxConfirming = 3
	// maxRefusing is the share of the other upstreams that may refuse connections while an end is confirmed. A
	// harmful request may have ended most upstreams of a small service at the same time.
	maxRefusing = 0.75
	// refusedDialPeriod is for how long an upstream that refused a connection is not asked to confirm
	// the end of another one.
	refusedDialPeriod = time.Second
)

// Source is what showed the end of an upstream incarnation to a gateway.
type Source string

// The sources.
const (
	// RefusedDial: the address refused a connection of this gateway, and other upstreams took one.
	RefusedDial Source = "refused_dial"
	// ChangedEntry: the entry of the upstream is gone or tells a later start.
	ChangedEntry Source = "entry"
	// OtherGateway: another gateway has reported the end.
	OtherGateway Source = "gateway"
)

// process identifies one incarnation of an upstream.
type process struct {
	upstream    string
	incarnation instances.Incarnation
}

// ending is what showed that an incarnation has ended, and when.
type ending struct {
	at     time.Time
	source Source
}

// End is the end of an upstream incarnation. At is zero if the incarnation is not known to have
// ended.
type End struct {
	Upstream    string
	Incarnation instances.Incarnation
	At          time.Time
	Source      Source
}

// Answer is an answer of an upstream to a request that was sent at the time of Sent, on a connection that was
// opened at the time of Connected.
type Answer struct {
	Upstream        string
	Incarnation     instances.Incarnation
	Connected, Sent time.Time
}

// DialRefused records that the address of an upstream refused a connection of this gateway.
func (t *Tracker) DialRefused(now time.Time, upstream string) { t.refusedDials[upstream] = now }

// Confirming returns the upstreams that must all take a connection from this gateway for a refused
// connection to count as the end of an upstream, from the others that should be as reachable, in
// order of preference. Those that have refused connections themselves are left out, as they may have
// ended as well; if they are more than maxRefusing of those that are not known to have ended, this gateway is
// more likely cut off from them.
func (t *Tracker) Confirming(now time.Time, others []End) []string {
	var out []string
	refused := 0
	for _, o := range others {
		at, ok := t.refusedDials[o.Upstream]
		switch {
		case !ok || now.Sub(at) >= refusedDialPeriod:
			out = append(out, o.Upstream)
		case t.ended[process{o.Upstream, o.Incarnation}] == nil:
			refused++
		}
	}
	if float64(refused) > maxRefusing*float64(refused+len(out)) {
		return nil
	}
	return out[:min(len(out), maxConfirming)]
}

// EndKnown reports whether the incarnation is known to have ended, and no run was aborted there since that
// this end does not explain.
func (t *Tracker) EndKnown(upstream string, incarnation instances.Incarnation) bool {
	p := process{upstream, incarnation}
	return t.ended[p] != nil && len(t.aborted[p]) == 0
}

// RequestAnswered records an answer of an upstream to this gateway: runs that were aborted earlier did not end
// the process that gave it, and an end that was concluded while it ran did not happen. It returns that end, if
// there is one.
func (t *Tracker) RequestAnswered(now time.Time, a Answer) (contradicted End, ok bool) {
	p := process{a.Upstream, a.Incarnation}
	if list := t.aborted[p]; len(list) > 0 {
		t.setAborted(p, slices.DeleteFunc(list, func(run abortedRun) bool {
			return run.at.Before(a.Sent) && a.Connected.Before(run.at.Add(minRestart))
		}))
	}
	if known := t.ended[p]; known != nil && (uptime{connected: a.Connected, answered: a.Sent}).includes(known.at) {
		contradicted, ok = End{Upstream: p.upstream, Incarnation: p.incarnation, At: known.at, Source: known.source}, true
	}
	t.Contradict(now, a)
	return contradicted, ok
}

// ConnectionAccepted records that an upstream accepted a connection of this gateway: runs that were aborted
// right before did not end it.
func (t *Tracker) ConnectionAccepted(at time.Time, upstream string, incarnation instances.Incarnation) {
	p := process{upstream, incarnation}
	t.setAborted(p, slices.DeleteFunc(t.aborted[p], func(run abortedRun) bool { return at.Before(run.at.Add(minRestart)) }))
}

// Contradict records an answer of an upstream, to this gateway or another one.
func (t *Tracker) Contradict(now time.Time, a Answer) {
	p := process{a.Upstream, a.Incarnation}
	if known := t.ended[p]; known != nil && a.Sent.After(known.at) {
		delete(t.ended, p)
	}
	if len(t.histories) == 0 {
		return
	}
	h := t.histories[eventOf(p.upstream, p.incarnation)]
	u := uptime{connected: a.Connected, answered: a.Sent, knownAt: now}
	if h == nil || !h.contradictedBy(u) {
		return
	}
	h.process = p
	h.addUptime(u)
	t.reconsider()
}

// reconsider applies a change of what counts as an end to all suspects.
func (t *Tracker) reconsider() {
	for _, s := range t.suspects {
		t.reinstate(s)
	}
	for _, d := range t.selectSuspects(func(s *suspect) bool { return !s.refused && len(s.crashes) >= refusalThreshold }) {
		t.refuseIfDue(t.suspects[d])
	}
}

// UpstreamEnded records that an upstream incarnation has ended, and returns the crashes that follow
// from it.
func (t *Tracker) UpstreamEnded(now time.Time, upstream string, incarnation instances.Incarnation, source Source) []Crash {
	p := process{upstream, incarnation}
	known, last := t.ended[p], t.lastConnected(p, now)
	switch {
	case known == nil, now.Sub(known.at) > endReportPeriod, now.After(known.at) && last.After(known.at.Add(reportError)):
		t.ended[p] = &ending{at: now, source: source}
	case now.Before(known.at):
		known.at = now
	}
	var out []Crash
	var ofNextProcess []abortedRun
	for _, run := range t.aborted[p] {
		switch {
		case run.connected.After(now.Add(reportError)):
			ofNextProcess = append(ofNextProcess, run)
		case now.Sub(run.at) < crashWindow && !last.After(run.at.Add(reportError)):
			out = append(out, t.add(run.crash(p))...)
		}
	}
	t.setAborted(p, ofNextProcess)
	return out
}

// lastConnected returns the latest time at which a connection was opened on which a run was aborted, of those
// that an end at the given time may have aborted. Runs that were aborted before that ran on an earlier process,
// or their links were cut.
func (t *Tracker) lastConnected(p process, end time.Time) time.Time {
	var last time.Time
	for _, run := range t.aborted[p] {
		if !run.connected.After(end.Add(reportError)) {
			last = later(last, run.connected)
		}
	}
	return last
}

// UnconfirmedEnds returns the upstream incarnations that have aborted runs and may have ended.
func (t *Tracker) UnconfirmedEnds() []End {
	out := make([]End, 0, len(t.aborted))
	for p := range t.aborted {
		out = append(out, End{Upstream: p.upstream, Incarnation: p.incarnation})
	}
	return out
}

// RecentEnds returns the ends of upstreams to report to other gateways.
func (t *Tracker) RecentEnds(now time.Time) []End {
	var out []End
	for p, e := range t.ended {
		if now.Sub(e.at) < endReportPeriod && len(out) < maxReported {
			out = append(out, End{Upstream: p.upstream, Incarnation: p.incarnation, At: e.at, Source: e.source})
		}
	}
	return out
}

// RecentContradictions returns the answers to report to other gateways that contradict an end.
func (t *Tracker) RecentContradictions(now time.Time) []Answer {
	var out []Answer
	for _, h := range t.histories {
		for _, u := range h.uptimes {
			if now.Sub(u.knownAt) < reportPeriod && len(out) < maxReported {
				out = append(out, Answer{Upstream: h.process.upstream, Incarnation: h.process.incarnation, Connected: u.connected, Sent: u.answered})
			}
		}
	}
	return out
}

// pruneEnded discards expired ends and refused connections.
func (t *Tracker) pruneEnded(now time.Time) {
	for p, e := range t.ended {
		if now.Sub(e.at) >= crashWindow {
			delete(t.ended, p)
		}
	}
	for upstream, at := range t.refusedDials {
		if now.Sub(at) >= refusedDialPeriod {
			delete(t.refusedDials, upstream)
		}
	}
}

// pruneHistories discards ends without suspects, and what contradicts them.
func (t *Tracker) pruneHistories(now time.Time) {
	for event, h := range t.histories {
		if h.isStale(now) {
			delete(t.histories, event)
			continue
		}
		h.prune(now)
	}
}
