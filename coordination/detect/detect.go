// Package detect judges whether an upstream is alive from what the entries of
// a cell observed. One entry that still reaches an upstream keeps it alive: the
// others are then cut off from it, and it must not be declared lost.
package detect

import "time"

// Observation is what one entry saw of one upstream.
type Observation struct {
	// Boot is the process that answered last.
	Boot string
	// Silent is the time since the last answer.
	Silent time.Duration
	// Refused says that the last connection attempt was actively refused,
	// which a frozen process does not do.
	Refused bool
	// Leaving says that the upstream announced its stop.
	Leaving bool
}

// Health is the verdict on an upstream.
type Health int

// The verdicts.
const (
	// Unknown: nobody has reported.
	Unknown Health = iota
	// Alive: at least one entry heard from it.
	Alive
	// Silent: no entry heard from it; it may be dead, frozen or cut off.
	Silent
	// Gone: its process has ended.
	Gone
)

// Assessment is the judgement on one upstream.
type Assessment struct {
	Health  Health
	Leaving bool
	// Boot is the process that answered last; empty when none did.
	Boot string
}

// Limits are the times of detection.
type Limits struct {
	// SuspectAfter is the silence after which an upstream counts as silent.
	SuspectAfter time.Duration
	// RefusedAfter is the silence that suffices when connections are refused.
	RefusedAfter time.Duration
	// ReportTTL is how long the report of an entry counts.
	ReportTTL time.Duration
}

type report struct {
	at time.Time
	Observation
}

// Detector collects reports. It is not safe for concurrent use.
type Detector struct {
	limits  Limits
	reports map[string]map[string]report
	resetAt map[string]time.Time
}

// New returns a detector without reports.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, reports: make(map[string]map[string]report), resetAt: make(map[string]time.Time)}
}

// Report notes what an entry saw of an upstream. Of an answer from before the
// last Forget only the silence since then counts.
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

// Reset drops all evidence on an upstream from before now.
func (d *Detector) Reset(now time.Time, upstream string) {
	delete(d.reports, upstream)
	d.resetAt[upstream] = now
}

// Assess gives the verdict on an upstream whose grants belong to process boot.
// An empty boot accepts any process. Without at least minReports reports an upstream
// is not judged silent or gone.
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
		// Answers from before the reset may still arrive; their boot says
		// nothing.
		boot = ""
	}
	v.Health = d.health(reporting, silent, gone, v.Boot, boot)
	if reporting < minReports && v.Health != Alive {
		v.Health = Unknown
	}
	return v
}

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
