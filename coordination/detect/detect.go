// Package detect determines whether an upstream is alive from the observations of the entries of a
// cell. An upstream that at least one entry reaches is alive: the other entries are cut off from
// it, and it must not be declared lost.
package detect

import "time"

// Observation is what one entry observed of one upstream.
type Observation struct {
	// Boot identifies the process that answered last.
	Boot string
	// Silent is the time since the last answer.
	Silent time.Duration
	// Refused is true if the last connection attempt was actively refused, which a frozen process
	// does not do.
	Refused bool
	// Leaving is true if the upstream has announced that it will stop.
	Leaving bool
}

// Health is the assessed state of an upstream.
type Health int

// States of an upstream.
const (
	// Unknown means that too few entries have reported.
	Unknown Health = iota
	// Alive means that at least one entry gets answers from the upstream.
	Alive
	// Silent means that no entry gets answers from it: it may be dead, frozen or cut off.
	Silent
	// Gone means that its process has ended.
	Gone
)

// Assessment is the result of evaluating the reports on one upstream.
type Assessment struct {
	Health  Health
	Leaving bool
	// Boot identifies the process that answered last; it is empty if none did.
	Boot string
}

// Limits holds the timeouts of failure detection.
type Limits struct {
	// SuspectAfter is the silence after which an upstream counts as silent.
	SuspectAfter time.Duration
	// RefusedAfter is the shorter silence that suffices if connections are refused.
	RefusedAfter time.Duration
	// ReportTTL is how long the report of an entry counts.
	ReportTTL time.Duration
}

// report is an observation with the time of its arrival.
type report struct {
	at time.Time
	Observation
}

// Detector evaluates the reports of entries. It is not safe for concurrent use.
type Detector struct {
	limits  Limits
	reports map[string]map[string]report
	resetAt map[string]time.Time
}

// New returns a detector without reports.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, reports: make(map[string]map[string]report), resetAt: make(map[string]time.Time)}
}

// Report stores what an entry observed of an upstream. An answer from before the last Reset is
// ignored: only the silence since the reset counts.
func (d *Detector) Report(now time.Time, entry, upstream string, o Observation) {
	if resetAt := d.resetAt[upstream]; now.Add(-o.Silent).Before(resetAt) {
		o = Observation{Silent: now.Sub(resetAt)}
	}
	byEntry := d.reports[upstream]
	if byEntry == nil {
		byEntry = make(map[string]report)
		d.reports[upstream] = byEntry
	}
	byEntry[entry] = report{at: now, Observation: o}
}

// Reset discards all observations of an upstream from before now.
func (d *Detector) Reset(now time.Time, upstream string) {
	delete(d.reports, upstream)
	d.resetAt[upstream] = now
}

// Assess returns the state of an upstream whose grants belong to the process boot; an empty boot
// stands for any process. With fewer than minReports reports, an upstream is not assessed as Silent
// or Gone.
func (d *Detector) Assess(now time.Time, upstream, boot string, minReports int) Assessment {
	var v Assessment
	silent, gone, reporting := 0, 0, 0
	latest := d.limits.SuspectAfter
	for entry, r := range d.reports[upstream] {
		age := now.Sub(r.at)
		if age > d.limits.ReportTTL {
			delete(d.reports[upstream], entry)
			continue
		}
		reporting++
		silence := r.Silent + age
		switch {
		case r.Refused && silence >= d.limits.RefusedAfter:
			gone++
		case silence >= d.limits.SuspectAfter:
			silent++
		default:
			if r.Boot != "" && silence < latest {
				v.Boot = r.Boot
				latest = silence
			}
			v.Leaving = v.Leaving || r.Leaving
		}
	}
	if now.Sub(d.resetAt[upstream]) < d.limits.SuspectAfter {
		// Answers from before the reset may still arrive, so the process that they name is ignored.
		boot = ""
	}
	v.Health = d.health(reporting, silent, gone, v.Boot, boot)
	if reporting < minReports && v.Health != Alive {
		v.Health = Unknown
	}
	return v
}

// health derives the state from the number of reporting entries and how many of them found the
// upstream silent or gone, and from the observed and the expected process.
func (d *Detector) health(reporting, silent, gone int, observedBoot, boot string) Health {
	switch {
	case reporting == 0:
		return Unknown
	case gone == reporting:
		return Gone
	case gone+silent == reporting:
		return Silent
	case boot != "" && observedBoot != "" && observedBoot != boot:
		return Gone
	}
	return Alive
}
