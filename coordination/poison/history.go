package poison

import (
	"slices"
	"time"
)

// This file tells the processes of an upstream apart. An upstream may start again at its address and under
// its ID, and its entry tells so later or, while the store is away, not at all. A connection belongs to one
// process: a run on a connection that was opened after an end was aborted by another end, and an answer
// contradicts an end only if its connection was opened before that.

const (
	// reportError bounds by how much later than they were the times of another gateway appear here: a report
	// waits to be sent, and may be passed on several times.
	reportError = 200 * time.Millisecond
	// minRestart is the shortest time after which the next process of an upstream accepts connections.
	minRestart = 50 * time.Millisecond
	// maxUptimes bounds the uptimes that are remembered of one upstream.
	maxUptimes = 4
)

// history is what is known of the processes of an upstream since the start that its entry tells.
type history struct {
	process process
	ends    []*end
	// uptimes are the times during which a process is known to have run, as it answered.
	uptimes []uptime
}

// uptime is a time during which one process ran: it accepted a connection at the time of connected and answered
// a request on it that was sent at the time of answered. knownAt is when this gateway learned of it.
type uptime struct{ connected, answered, knownAt time.Time }

// includes reports whether the process certainly ran on after the given time, before which it had started.
func (u uptime) includes(at time.Time) bool {
	return u.connected.Add(reportError).Before(at) && u.answered.After(at)
}

// end is the end of one process of an upstream with requests running on it.
type end struct {
	event   Event
	history *history
	// connected is the latest time at which the connection of such a run was opened. at and latest are the
	// earliest and the latest time at which one was aborted.
	connected, at, latest time.Time
	// suspects is the number of suspects that were present, refusedSuspects the number of those
	// that are refused.
	suspects, refusedSuspects int
}

// contradicts reports whether the process ran on after the given time.
func (e *end) contradicts(at time.Time) bool { return e.history.ranAfter(at) }

// ranAfter reports whether a process of the upstream is known to have run on after the given time.
func (h *history) ranAfter(at time.Time) bool {
	return slices.ContainsFunc(h.uptimes, func(u uptime) bool { return u.includes(at) })
}

// aborts reports whether this end is likely the one that aborted a run.
func (e *end) aborts(c Crash) bool {
	return !c.Connected.After(e.at.Add(reportError)) && !e.connected.After(c.At.Add(reportError))
}

// extend adds a run that was aborted by this end.
func (e *end) extend(c Crash) {
	if e.contradicts(e.at) || c.At.Before(e.at) {
		e.at = c.At
	}
	e.connected = later(e.connected, c.Connected)
	e.latest = later(e.latest, c.At)
}

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

// historyOf returns the history of an event, which is created if there is none.
func (t *Tracker) historyOf(event Event) *history {
	h := t.histories[event]
	if h == nil {
		h = &history{}
		t.histories[event] = h
	}
	return h
}

// endOf returns the known end that aborted a run, or nil.
func (h *history) endOf(c Crash) *end {
	for _, e := range h.ends {
		if e.aborts(c) {
			return e
		}
	}
	return nil
}

// addEnd adds the end that aborted a run.
func (h *history) addEnd(c Crash) *end {
	e := &end{event: c.Event, history: h, connected: c.Connected, at: c.At, latest: c.At}
	h.ends = append(h.ends, e)
	return e
}

// contradictedBy reports whether an uptime contradicts an end that nothing contradicts yet.
func (h *history) contradictedBy(u uptime) bool {
	return slices.ContainsFunc(h.ends, func(e *end) bool {
		return u.includes(e.at) && !h.ranAfter(e.at) || u.includes(e.latest) && !h.ranAfter(e.latest)
	})
}

// addUptime records an uptime. The oldest one gives way.
func (h *history) addUptime(u uptime) {
	if len(h.uptimes) >= maxUptimes {
		h.uptimes = slices.Delete(h.uptimes, 0, 1)
	}
	h.uptimes = append(h.uptimes, u)
}

// isStale reports whether nothing in the history matters any more.
func (h *history) isStale(now time.Time) bool {
	for _, e := range h.ends {
		if e.suspects > 0 || now.Sub(e.at) < endRetention {
			return false
		}
	}
	return !slices.ContainsFunc(h.uptimes, func(u uptime) bool { return now.Sub(u.knownAt) < endRetention })
}

// prune discards ends without suspects.
func (h *history) prune(now time.Time) {
	h.ends = slices.DeleteFunc(h.ends, func(e *end) bool { return e.suspects == 0 && now.Sub(e.at) >= endRetention })
}
