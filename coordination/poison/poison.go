// Package poison detects queries of death, requests that crash the upstreams executing them, and
// decides which requests must no longer be sent. Such a request may be retried at any gateway, and
// each crash also aborts the other requests running on that upstream.
//
// A request is identified by the digest of its path, caller and body. It becomes a suspect when its
// run is aborted without a response and that incarnation of the upstream turns out to have ended;
// every request that was running there becomes one. A suspect that was present at three such ends
// is refused, unless its presence is probably a coincidence, see shouldRefuse. Gateways exchange
// their findings. Events are merged by upstream, incarnation and the time for which the connection of the
// run was open, so an end seen by two gateways counts once, regardless of the order in which reports
// arrive.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/state/instances"
)

const (
	// crashWindow is how long after an aborted run the end of that upstream incarnation is still
	// attributed to the run. A refused connection shows the end at once; otherwise it is only known
	// when the upstream has restarted and written its entry.
	crashWindow = 8 * time.Second
	// priorEndWindow is the corresponding limit for an end that was noticed before the run was
	// aborted: runs of other gateways are aborted at the same moment, and their reports may arrive
	// first.
	priorEndWindow = 500 * time.Millisecond
	// refusalPeriod is how long after its last crash a request is refused by every gateway. After
	// that, on average one gateway lets it through as a probe.
	refusalPeriod = 60 * time.Second
	// reportPeriod is how long a crash of a request that is not refused is reported to other
	// gateways: long enough for several reports when they are relayed by a domain head. After that
	// it is reported for repeatedReportPeriod in each reportInterval, to gateways that were cut off
	// or have started since.
	reportPeriod         = 3 * time.Second
	reportInterval       = 10 * time.Second
	repeatedReportPeriod = time.Second
	// endReportPeriod is the corresponding period for ends of upstreams.
	endReportPeriod = time.Second
	// maxSuspects and maxAbortedRuns bound the memory of a Tracker, maxReported the size of one
	// message.
	maxSuspects    = 4096
	maxAbortedRuns = 4096
	maxReported    = 256
	// maxEventsPerSuspect bounds the ends of upstreams that are remembered for one request, maxRunsPerSuspect
	// its aborted runs.
	maxEventsPerSuspect = 8
	maxRunsPerSuspect   = 4 * maxEventsPerSuspect
)

// Digest identifies a request across retries.
type Digest uint64

// DigestOf returns the digest of a request, computed from its path with query, caller and body.
func DigestOf(path, caller string, body []byte) Digest {
	h := xxhash.New()
	// Writes to a hash never fail.
	_, _ = h.WriteString(path)
	_, _ = h.WriteString("\x00" + caller + "\x00")
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// Event identifies an upstream incarnation by a short hash. As entries may be late, several processes may
// end under one.
type Event uint32

// eventOf returns the event for ends of an upstream incarnation.
func eventOf(upstream string, incarnation instances.Incarnation) Event {
	const shift = 32
	sum := xxhash.Sum64String(upstream) ^ uint64(incarnation)*0x9e3779b97f4a7c15
	return Event(sum ^ sum>>shift)
}

// Run identifies an aborted run among those of the same request. Zero is an unknown one. The times of a run are only
// estimated by gateways that it is reported to, and each report estimates them anew.
type Run uint32

// runOf returns the identity of a run that this gateway has sent, from the upstream and from its times on this
// gateway's clock.
func runOf(e Event, r abortedRun) Run {
	const shift = 32
	sum := uint64(e) ^ uint64(r.connected.UnixNano())*0x9e3779b97f4a7c15 ^ uint64(r.at.UnixNano())*0xc2b2ae3d27d4eb4f
	return Run(sum^sum>>shift) | 1
}

// Crash records that an upstream ended while a request was running on it.
type Crash struct {
	Digest Digest
	Event  Event
	Run    Run
	At     time.Time
	// Connected is when the connection was opened on which the request was sent.
	Connected time.Time
	// Upstream is empty in crashes that another gateway reported.
	Upstream string
}

// Clearing states that a request is harmless; it cancels all crashes up to its time.
type Clearing struct {
	Digest Digest
	At     time.Time
}

// suspect holds what is known about one request.
type suspect struct {
	// crashes holds the run that each end has aborted.
	crashes map[*end]crashedRun
	// runs are the runs that were recorded, the latest last. Those of them that count are in crashes.
	runs      []Run
	lastCrash time.Time
	clearedAt time.Time
	refused   bool
}

// crashedRun is a run that was aborted by the end of its upstream.
type crashedRun struct {
	at  time.Time
	run Run
}

// record records a run and reports whether it is new.
func (s *suspect) record(r Run) bool {
	if r == 0 {
		return true
	}
	if slices.Contains(s.runs, r) {
		return false
	}
	if len(s.runs) >= maxRunsPerSuspect {
		s.runs = slices.Delete(s.runs, 0, 1)
	}
	s.runs = append(s.runs, r)
	return true
}

// abortedRun is a run that ended without a response.
type abortedRun struct {
	digest Digest
	at     time.Time
	// connected is when the connection was opened on which the request was sent.
	connected time.Time
}

// Tracker holds the findings of one gateway. It is not safe for concurrent use.
type Tracker struct {
	suspects map[Digest]*suspect
	// aborted holds the runs that were aborted on upstream incarnations which may have ended. ended
	// holds when incarnations were seen to have ended.
	aborted      map[process][]abortedRun
	abortedCount int
	ended        map[process]*ending
	// refusedDials holds when the address of an upstream last refused a connection of this gateway.
	refusedDials map[string]time.Time
	// answered holds when requests were last answered, while AnswersMatter: a crash of theirs may be found or
	// reported later.
	answered map[Digest]time.Time
	// possible are the ends that may have happened.
	possible []PossibleEnd
	// histories holds every end of an upstream that a suspect was present at, and the answers that
	// contradict ends.
	histories map[Event]*history
}

// NewTracker returns a tracker without suspects.
func NewTracker() *Tracker {
	return &Tracker{
		suspects:     make(map[Digest]*suspect),
		aborted:      make(map[process][]abortedRun),
		ended:        make(map[process]*ending),
		refusedDials: make(map[string]time.Time),
		answered:     make(map[Digest]time.Time),
		histories:    make(map[Event]*history),
	}
}

// Empty reports whether there are no suspects.
func (t *Tracker) Empty() bool { return len(t.suspects) == 0 && len(t.possible) == 0 }

// AnswersMatter reports whether answers to requests must be recorded: there are suspects, or runs that were aborted
// may make some.
func (t *Tracker) AnswersMatter() bool { return !t.Empty() || t.abortedCount > 0 }

// CrashCount returns how many upstreams have ended while running the request.
func (t *Tracker) CrashCount(d Digest) int {
	s := t.suspects[d]
	if s == nil {
		return 0
	}
	return t.count(s)
}

// count returns the number of a suspect's crashes that no answer contradicts.
func (t *Tracker) count(s *suspect) int {
	n := 0
	for e, c := range s.crashes {
		if !e.contradicts(c.at) {
			n++
		}
	}
	return n
}

// Refused reports whether the request must not be sent. Right after its last crash that is undecided, see
// Undecided. chance is a random number in [0, 1): once refusalPeriod has passed since its last crash, on
// average one of the gateways lets the request through as a probe.
func (t *Tracker) Refused(now time.Time, d Digest, gateways int, chance float64) bool {
	s := t.suspects[d]
	if s == nil || !s.refused {
		return false
	}
	age := now.Sub(s.lastCrash)
	return age >= settleTime && (age < refusalPeriod || chance*float64(max(gateways, 1)) >= 1)
}

// RequestAborted records that a run was aborted without a response, on a connection opened at the given time.
// It returns the resulting crash if that incarnation of the upstream is already known to have ended.
func (t *Tracker) RequestAborted(now time.Time, d Digest, upstream string, incarnation instances.Incarnation, connected time.Time) []Crash {
	p, run := process{upstream, incarnation}, abortedRun{digest: d, at: now, connected: connected}
	e := t.ended[p]
	switch {
	case e == nil:
	case connected.After(e.at.Add(reportError)):
		// The run was on the next process.
		delete(t.ended, p)
	case now.Sub(e.at) < priorEndWindow:
		return t.add(run.crash(p))
	}
	if t.abortedCount < maxAbortedRuns {
		t.aborted[p] = append(t.aborted[p], run)
		t.abortedCount++
	}
	return nil
}

// DiscardAborted forgets the runs that were aborted after the given time.
func (t *Tracker) DiscardAborted(after time.Time) {
	for p, list := range t.aborted {
		t.setAborted(p, slices.DeleteFunc(list, func(run abortedRun) bool { return run.at.After(after) }))
	}
}

// crash returns the crash to record for the run once the incarnation has ended.
func (r abortedRun) crash(p process) Crash {
	e := eventOf(p.upstream, p.incarnation)
	return Crash{Digest: r.digest, Event: e, Run: runOf(e, r), At: r.at, Connected: r.connected, Upstream: p.upstream}
}

// setAborted replaces the aborted runs of an incarnation by a subset of them.
func (t *Tracker) setAborted(p process, list []abortedRun) {
	t.abortedCount -= len(t.aborted[p]) - len(list)
	if len(list) == 0 {
		delete(t.aborted, p)
		return
	}
	t.aborted[p] = list
}

// add records a crash and returns it if it was not known before.
func (t *Tracker) add(c Crash) []Crash {
	s := t.suspects[c.Digest]
	if s == nil {
		if len(t.suspects) >= maxSuspects {
			return nil
		}
		s = &suspect{crashes: make(map[*end]crashedRun)}
		t.suspects[c.Digest] = s
	}
	if !s.record(c.Run) {
		return nil
	}
	if t.answeredAfter(c.Digest, c.At) {
		t.Clear(Clearing{Digest: c.Digest, At: t.answered[c.Digest]})
		return nil
	}
	h := t.historyOf(c.Event)
	if !c.At.After(s.clearedAt) || h.ranAfter(c.At) {
		return nil
	}
	e := h.endOf(c)
	known, isKnown := s.crashes[e]
	if isKnown && !e.contradicts(known.at) || !isKnown && !t.hasRoom(s) {
		return nil
	}
	if e == nil {
		e = h.addEnd(c)
	}
	e.extend(c)
	if !isKnown {
		e.add(s.refused)
	}
	s.crashes[e] = crashedRun{at: c.At, run: c.Run}
	s.lastCrash = later(s.lastCrash, c.At)
	t.refuseIfDue(s)
	return []Crash{c}
}

// hasRoom reports whether one more crash of a suspect can be remembered. Contradicted ones give way.
func (t *Tracker) hasRoom(s *suspect) bool {
	if len(s.crashes) < maxEventsPerSuspect {
		return true
	}
	for e, c := range s.crashes {
		if e.contradicts(c.at) {
			e.remove(s.refused)
			delete(s.crashes, e)
		}
	}
	return len(s.crashes) < maxEventsPerSuspect
}

// Merge records crashes reported by another gateway and returns those that were not known.
func (t *Tracker) Merge(list []Crash) []Crash {
	var out []Crash
	for _, c := range list {
		out = append(out, t.add(c)...)
	}
	return out
}

// Clear discards the crashes of requests up to the given times, because a later run was answered or
// an operator has allowed the request.
func (t *Tracker) Clear(list ...Clearing) {
	for _, c := range list {
		s := t.suspects[c.Digest]
		if s == nil {
			s = &suspect{crashes: make(map[*end]crashedRun)}
			t.suspects[c.Digest] = s
		}
		if !c.At.After(s.clearedAt) {
			continue
		}
		s.clearedAt = c.At
		for e, crashed := range s.crashes {
			if !crashed.at.After(c.At) {
				delete(s.crashes, e)
				e.remove(s.refused)
			}
		}
		t.reinstate(s)
	}
}

// Succeeded records that a request was answered, which shows that it is harmless. It is called while
// AnswersMatter.
func (t *Tracker) Succeeded(now time.Time, d Digest) {
	if t.CrashCount(d) > 0 {
		t.Clear(Clearing{Digest: d, At: now})
	}
	if _, known := t.answered[d]; known || len(t.answered) < maxSuspects || t.wasAborted(d) {
		t.answered[d] = now
	}
}

// wasAborted reports whether a run of the request was aborted on an upstream that may have ended.
func (t *Tracker) wasAborted(d Digest) bool {
	for _, list := range t.aborted {
		if slices.ContainsFunc(list, func(run abortedRun) bool { return run.digest == d }) {
			return true
		}
	}
	return false
}

// answeredAfter reports whether a request was answered after the given time.
func (t *Tracker) answeredAfter(d Digest, at time.Time) bool {
	last, ok := t.answered[d]
	return ok && last.After(at)
}

// reportDue reports whether something that happened at the given time, if it did, is reported now.
func reportDue(now, at time.Time) bool {
	age := now.Sub(at)
	return !at.IsZero() && (age < reportPeriod || age%reportInterval < repeatedReportPeriod)
}

// Export returns what to report to other gateways: crashes and clearings that are due, and the crashes
// of refused requests. Requests with the most crashes come first, up to the size of one message.
func (t *Tracker) Export(now time.Time) (crashes []Crash, clearings []Clearing) {
	for _, d := range t.selectSuspects(func(s *suspect) bool {
		return s.refused || reportDue(now, s.lastCrash) || reportDue(now, s.clearedAt)
	}) {
		s := t.suspects[d]
		if reportDue(now, s.clearedAt) {
			clearings = append(clearings, Clearing{Digest: d, At: s.clearedAt})
		}
		for e, c := range s.crashes {
			if len(crashes) < maxReported && !e.contradicts(c.at) {
				crashes = append(crashes, Crash{Digest: d, Event: e.event, Run: c.run, At: c.at, Connected: e.connected})
			}
		}
	}
	return crashes, clearings[:min(len(clearings), maxReported)]
}

// selectSuspects returns the suspects that match, those with the most crashes first.
func (t *Tracker) selectSuspects(match func(*suspect) bool) []Digest {
	type counted struct {
		digest  Digest
		crashes int
	}
	var list []counted
	for d, s := range t.suspects {
		if match(s) {
			list = append(list, counted{d, t.count(s)})
		}
	}
	slices.SortFunc(list, func(x, y counted) int {
		return cmp.Or(cmp.Compare(y.crashes, x.crashes), cmp.Compare(x.digest, y.digest))
	})
	out := make([]Digest, 0, len(list))
	for _, c := range list {
		out = append(out, c.digest)
	}
	return out
}

// Suspect describes one request for operators.
type Suspect struct {
	Digest  Digest
	Crashes int
	Last    time.Time
	// Refused reports whether the request is currently refused.
	Refused bool
}

// Suspects returns the requests with crashes, those with the most crashes first.
func (t *Tracker) Suspects() []Suspect {
	var out []Suspect
	for _, d := range t.selectSuspects(func(s *suspect) bool { return t.count(s) > 0 }) {
		s := t.suspects[d]
		out = append(out, Suspect{Digest: d, Crashes: t.count(s), Last: s.lastCrash, Refused: s.refused})
	}
	return out
}

// Prune discards expired findings. A refused request is remembered for twice refusalPeriod, so that
// a probe that crashes another upstream is refused again at once.
func (t *Tracker) Prune(now time.Time) {
	for p, list := range t.aborted {
		t.setAborted(p, slices.DeleteFunc(list, func(run abortedRun) bool { return now.Sub(run.at) >= crashWindow }))
	}
	t.pruneEnded(now)
	t.prunePossible(now)
	maps.DeleteFunc(t.answered, func(_ Digest, at time.Time) bool { return now.Sub(at) >= crashWindow })
	t.pruneHistories(now)
	for d, s := range t.suspects {
		if now.Sub(s.lastCrash) >= 2*refusalPeriod && now.Sub(s.clearedAt) >= refusalPeriod {
			for e := range s.crashes {
				e.remove(s.refused)
			}
			delete(t.suspects, d)
		}
	}
}
