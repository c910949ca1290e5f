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
// upstreams, and no longer once the incarnation itself has answered any gateway. A later start in the
// upstream's entry is final.

const (
	// endRetention is how long an end is kept after its last suspect is gone.
	endRetention = 30 * time.Second
	// maxConfirming is the number of upstreams that must take a connection to confirm the end of
	// another one.
	maxConfirming = 3
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

// end is the end of one upstream incarnation with requests running on it.
type end struct {
	// at and latest are the earliest and the latest time at which a run was aborted there.
	at, latest time.Time
	// suspects is the number of suspects that were present, refusedSuspects the number of those
	// that are refused.
	suspects, refusedSuspects int
	// contradictedAt is when a request was sent that the incarnation has answered: it had not ended
	// by then. process is the incarnation, contradictionKnownAt when this gateway learned of it.
	contradictedAt       time.Time
	process              process
	contradictionKnownAt time.Time
	// final is set once the upstream's entry tells a later start.
	final bool
}

// contradicts reports whether the incarnation was still running after the given time.
func (e *end) contradicts(at time.Time) bool { return !e.final && !at.After(e.contradictedAt) }

// add counts a suspect that was present.
func (e *end) add(refused bool) {
	e.suspects++
	if refused {
		e.refusedSuspects++
	}
}

// remove is the reverse of add.
func (e *end) remove(refused bool) {
	e.suspects--
	if refused {
		e.refusedSuspects--
	}
}

// endAt returns the end of an event, at which a run was aborted at the given time, and creates it if
// it is not known.
func (t *Tracker) endAt(event Event, at time.Time) *end {
	e := t.ends[event]
	if e == nil {
		e = &end{at: at}
		t.ends[event] = e
	}
	if e.contradicts(e.at) || (at.Before(e.at) && !e.contradicts(at)) {
		e.at = at
	}
	e.latest = later(e.latest, at)
	return e
}

// End is the end of an upstream incarnation. At is zero if the incarnation is not known to have
// ended.
type End struct {
	Upstream    string
	Incarnation instances.Incarnation
	At          time.Time
	Source      Source
}

// DialRefused records that the address of an upstream refused a connection of this gateway.
func (t *Tracker) DialRefused(now time.Time, upstream string) { t.refusedDials[upstream] = now }

// Confirming returns the upstreams that must all take a connection from this gateway for a refused
// connection to count as the end of an upstream, from the others that should be as reachable, in
// order of preference. Those that have refused connections themselves are left out, as they may have
// ended as well; if they are more than a quarter, this gateway is more likely cut off from them.
func (t *Tracker) Confirming(now time.Time, others []string) []string {
	var out []string
	for _, upstream := range others {
		if at, ok := t.refusedDials[upstream]; !ok || now.Sub(at) >= refusedDialPeriod {
			out = append(out, upstream)
		}
	}
	if 4*len(out) < 3*len(others) {
		return nil
	}
	return out[:min(len(out), maxConfirming)]
}

// EndKnown reports whether the incarnation is known to have ended.
func (t *Tracker) EndKnown(upstream string, incarnation instances.Incarnation) bool {
	return t.ended[process{upstream, incarnation}] != nil
}

// RequestAnswered records that an upstream incarnation answered a request sent at the given time.
// It was therefore still running then: earlier aborted runs did not end it, and an earlier end that
// was attributed to it did not happen. It returns that end, if there is one.
func (t *Tracker) RequestAnswered(now time.Time, upstream string, incarnation instances.Incarnation, sent time.Time) (contradicted End, ok bool) {
	p := process{upstream, incarnation}
	if list := t.aborted[p]; len(list) > 0 {
		t.setAborted(p, slices.DeleteFunc(list, func(run abortedRun) bool { return run.at.Before(sent) }))
	}
	contradicted, ok = t.contradictedBy(p, sent)
	t.Contradict(now, End{Upstream: upstream, Incarnation: incarnation, At: sent})
	return contradicted, ok
}

// contradictedBy returns the end of an incarnation that an answer to a request sent at the given
// time contradicts.
func (t *Tracker) contradictedBy(p process, sent time.Time) (End, bool) {
	known := t.ended[p]
	if known == nil || !sent.After(known.at) {
		return End{}, false
	}
	return End{Upstream: p.upstream, Incarnation: p.incarnation, At: known.at, Source: known.source}, true
}

// Contradict records that an incarnation answered a request sent at the time of alive, to this
// gateway or another one: it had not ended before.
func (t *Tracker) Contradict(now time.Time, alive End) {
	p := process{alive.Upstream, alive.Incarnation}
	if known := t.ended[p]; known != nil && alive.At.After(known.at) {
		delete(t.ended, p)
	}
	if len(t.ends) == 0 {
		return
	}
	e := t.ends[eventOf(p.upstream, p.incarnation)]
	if e == nil || e.final || e.contradicts(e.latest) || e.contradicts(alive.At) || !alive.At.After(e.at) {
		return
	}
	e.contradictedAt, e.contradictionKnownAt, e.process = alive.At, now, p
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
	if known := t.ended[p]; known == nil {
		t.ended[p] = &ending{at: now, source: source}
	} else if now.Before(known.at) {
		known.at = now
	}
	list := slices.Clone(t.aborted[p])
	t.abortedCount -= len(t.aborted[p])
	delete(t.aborted, p)
	var out []Crash
	for _, run := range list {
		if now.Sub(run.at) < crashWindow {
			out = append(out, t.add(run.crash(p))...)
		}
	}
	return out
}

// Restarted records that the entry of an upstream tells a later start than that of the incarnation,
// which has therefore ended whatever answers say: those after the restart are attributed to the
// former incarnation until the entry is known.
func (t *Tracker) Restarted(upstream string, incarnation instances.Incarnation) {
	if e := t.ends[eventOf(upstream, incarnation)]; e != nil && !e.final {
		e.final = true
		t.reconsider()
	}
}

// UnconfirmedEnds returns the upstream incarnations that have aborted runs and may have ended.
func (t *Tracker) UnconfirmedEnds() []End {
	out := make([]End, 0, len(t.aborted))
	for p := range t.aborted {
		out = append(out, End{Upstream: p.upstream, Incarnation: p.incarnation})
	}
	return out
}

// ContradictedEnds returns the upstream incarnations whose end an answer contradicts. If one of them
// has restarted, the answer may be that of the next incarnation.
func (t *Tracker) ContradictedEnds() []End {
	var out []End
	for _, e := range t.ends {
		if e.process.upstream != "" && !e.final {
			out = append(out, End{Upstream: e.process.upstream, Incarnation: e.process.incarnation})
		}
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

// RecentContradictions returns the incarnations to report to other gateways as running although
// their end was reported, with the times of the requests that they have answered.
func (t *Tracker) RecentContradictions(now time.Time) []End {
	var out []End
	for _, e := range t.ends {
		if !e.final && now.Sub(e.contradictionKnownAt) < reportPeriod && len(out) < maxReported {
			out = append(out, End{Upstream: e.process.upstream, Incarnation: e.process.incarnation, At: e.contradictedAt})
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

// pruneEnds discards ends without suspects.
func (t *Tracker) pruneEnds(now time.Time) {
	for event, e := range t.ends {
		if e.suspects == 0 && now.Sub(later(e.at, e.contradictionKnownAt)) >= endRetention {
			delete(t.ends, event)
		}
	}
}
