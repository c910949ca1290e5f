// Package quota decides which fraction of the requests for an upstream each gateway admits, so
// that all gateways together keep to a rate without coordinating each decision. Each admits the same
// fraction, the rate divided by the total demand, evenly spaced among its requests.
//
// It is for overload: an upstream is in more demand than the limit that it announces, at 3 gateways
// or at 300, of which each may see less than one of its requests a second.
package quota

import "time"

const (
	// TargetUtilization is the fraction of the rate that is admitted. It is below 1 because the
	// reported demand of the other gateways is a few reports old and grows while clients arrive.
	TargetUtilization = 0.92
	// backlogTime is how much of the excess that arrived before all gateways knew the rate is
	// compensated for, and backlogRecovery the time within which: the excess waits in the
	// upstream's queue, and an upstream sets a rate because it has too many requests already.
	backlogTime     = 1250 * time.Millisecond
	backlogRecovery = 4 * time.Second
	// minFraction is the fraction of the rate that is always admitted. probeRate is how many
	// requests a second all gateways together send to an upstream that takes hardly any: its
	// responses show when it takes more again.
	minFraction = 0.1
	probeRate   = 0.5
)

// Rate is a rate that all gateways together keep to.
type Rate struct {
	// PerSecond is the number of requests a second.
	PerSecond float64
	// Since is when this gateway first learned that there is a rate.
	Since time.Time
}

// AdmitFraction returns the fraction of the requests to admit, 0 to 1, given the total demand on
// all gateways in requests a second.
func (r Rate) AdmitFraction(now time.Time, demand float64) float64 {
	if demand <= 0 {
		return 1
	}
	rate := TargetUtilization * r.PerSecond
	if now.Sub(r.Since) < backlogRecovery {
		excess := max(demand-r.PerSecond, 0) * backlogTime.Seconds()
		rate = max(rate-excess/backlogRecovery.Seconds(), minFraction*r.PerSecond)
	}
	return min(max(rate, probeRate)/demand, 1)
}

// Sampler admits a fraction of one gateway's requests by stratified sampling. It divides the
// requests into steps whose fractions add up to one and admits exactly one request of each step, at
// a random place, so that callers that come in a fixed order are all admitted at times. Independent
// draws would deviate from the fraction by the square root of the number of requests.
type Sampler struct {
	// credit is the sum of the fractions of the requests since the current step began, and
	// threshold the value at which the step's request is admitted. The credit is negative while
	// the previous step, whose request is already admitted, has not ended.
	credit, threshold float64
}

// NewSampler returns a sampler that begins at a random place of a step, so that the first requests
// that many gateways admit do not coincide. Both arguments are random numbers from 0 to 1.
func NewSampler(phase, threshold float64) Sampler {
	s := Sampler{credit: phase, threshold: threshold}
	if s.credit >= s.threshold {
		// The step's request counts as admitted before the start.
		s.credit--
	}
	return s
}

// Take reports whether to admit the next request, given the fraction to admit, 0 to 1. next is a
// random number from 0 to 1, the threshold of the next step.
func (s *Sampler) Take(fraction, next float64) bool {
	if fraction >= 1 {
		return true
	}
	s.credit += fraction
	if s.credit < s.threshold {
		return false
	}
	s.credit--
	s.threshold = next
	return true
}

// meterWindow is the time over which a meter averages. It is long compared with the interval of
// reports, as each of hundreds of gateways sees only single requests within that.
const meterWindow = 500 * time.Millisecond

// Meter measures the demand on one gateway.
type Meter struct {
	count int
	rate  float64
	at    time.Time
}

// Add counts a request.
func (m *Meter) Add() { m.count++ }

// Rate updates and returns the rate, in requests a second, averaged over the last calls. It must be
// called once per report.
func (m *Meter) Rate(now time.Time) float64 {
	if span := now.Sub(m.at); span > 0 && !m.at.IsZero() {
		weight := min(span.Seconds()/meterWindow.Seconds(), 1)
		m.rate += weight * (float64(m.count)/span.Seconds() - m.rate)
	}
	m.count, m.at = 0, now
	return m.rate
}

// Last returns the result of the last call of Rate.
func (m *Meter) Last() float64 { return m.rate }
