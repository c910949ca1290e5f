// Package quota decides which part of the requests for an upstream each gateway lets through, so
// that all gateways together keep to a rate without asking each other: each lets the same part
// through, the rate over what all are asked for, in even steps.
//
// The load that this answers: more requests want an upstream than it says it takes, at 3
// gateways or 300, of which each may see less than one of its requests a second.
package quota

import "time"

const (
	// TargetUtilization is the part of the rate that is let through: what others are asked for is some
	// reports old, and grows while clients come.
	TargetUtilization = 0.92
	// backlogTime is how much of what came before the rate was known to all is made up for, and makeUp
	// the time within which: that lies in the upstream's queue, and it names a rate because it
	// has too much already.
	backlogTime = 1250 * time.Millisecond
	backlogRecovery = 4 * time.Second
	// minFraction is the part of the rate that is let through in any case, and trials how many requests
	// a second, by all gateways, to an upstream that takes hardly any: its answers tell when it
	// takes more again.
	minFraction  = 0.1
	probeRate = 0.5
)

// Rate is a rate that all gateways together keep to.
type Rate struct {
	// PerSecond is in requests a second.
	PerSecond float64
	// Since is when it first became known that there is one.
	Since time.Time
}

// AdmitFraction returns the part of the requests to be let through, 0 to 1, when all gateways together
// are asked for so many a second.
func (r Rate) AdmitFraction(now time.Time, wanted float64) float64 {
	if wanted <= 0 {
		return 1
	}
	rate := TargetUtilization * r.PerSecond
	if now.Sub(r.Since) < backlogRecovery {
		excess := max(wanted-r.PerSecond, 0) * backlogTime.Seconds()
		rate = max(rate-excess/backlogRecovery.Seconds(), minFraction*r.PerSecond)
	}
	return min(max(rate, probeRate)/wanted, 1)
}

// Sampler lets a part of one gateway's requests through: of as many as make up one, exactly one, and
// which of them is random, so that callers who take turns are all let through at times. A coin
// for each request would stray from the part by the root of their number.
type Sampler struct {
	// credit is what the requests make up since the present step began, threshold where in the step
	// one is let through. It is below zero while the one of the step before is made up for.
	credit, threshold float64
}

// NewSampler begins at a random place of a step, given two random numbers from 0 to 1, so that the
// first ones of many gateways do not come together.
func NewSampler(chance, falls float64) Sampler {
	t := Sampler{credit: chance, threshold: falls}
	if t.credit >= t.threshold {
		// That of this step has been let through before.
		t.credit--
	}
	return t
}

// Take reports whether the next request is let through, of which a part from 0 to 1 is. chance is
// a random number from 0 to 1.
func (t *Sampler) Take(part, chance float64) bool {
	if part >= 1 {
		return true
	}
	t.credit += part
	if t.credit < t.threshold {
		return false
	}
	t.credit--
	t.threshold = chance
	return true
}

// meterWindow is how long requests count in a meter's rate: long beside the interval of reports,
// as hundreds of gateways see single requests in it.
const meterWindow = 500 * time.Millisecond

// Meter measures what one gateway is asked for.
type Meter struct {
	count int
	rate  float64
	at    time.Time
}

// Add counts a request.
func (m *Meter) Add() { m.count++ }

// Rate returns the rate of the requests in requests a second, as a mean over the last calls. It
// is to be called for each report.
func (m *Meter) Rate(now time.Time) float64 {
	if span := now.Sub(m.at); span > 0 && !m.at.IsZero() {
		weight := min(span.Seconds()/meterWindow.Seconds(), 1)
		m.rate += weight * (float64(m.count)/span.Seconds() - m.rate)
	}
	m.count, m.at = 0, now
	return m.rate
}

// Last returns the rate as of the last call of Rate.
func (m *Meter) Last() float64 { return m.rate }
