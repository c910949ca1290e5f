package ownership

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// grantSlack bounds how long the grant of keys that nobody asks for is put back behind grants of keys in
// demand, when more are due than can be made at a time. A hold of 4 s
// still bridges three failed renewals if they begin this much later, so renewals may be put back as well.
const grantSlack = 300 * time.Millisecond

// SpanDemand is the demand for the spans of a service, from which the order of their grants follows. The
// keys that callers wait for count, as gateways report keys when requests arrive.
type SpanDemand struct {
	// rates are the requests a second for each span in demand, by first key.
	rates   map[uint16]float64
	highest float64
}

// NewSpanDemand sums the rates of keys, in requests a second, by span.
func NewSpanDemand(t *spans.Table, rates map[uint16]float64) *SpanDemand {
	d := &SpanDemand{rates: make(map[uint16]float64)}
	for key, rate := range rates {
		first := t.Find(key).First
		d.rates[first] += rate
		d.highest = max(d.highest, d.rates[first])
	}
	return d
}

// Of returns the demand for the span with that first key, in requests a second.
func (d *SpanDemand) Of(first uint16) float64 { return d.rates[first] }

// Sort sorts spans by falling demand.
func (d *SpanDemand) Sort(list []spans.Span) {
	slices.SortStableFunc(list, func(a, b spans.Span) int {
		switch {
		case d.Of(a.First) > d.Of(b.First):
			return -1
		case d.Of(a.First) < d.Of(b.First):
			return 1
		}
		return 0
	})
}

// GrantDue returns by when the grant of the span should begin. The due times order the grants that wait.
// They differ by no more than grantSlack, so that no span is left behind by the demand for others.
func (d *SpanDemand) GrantDue(now time.Time, first uint16) time.Time {
	if d.highest == 0 {
		return now.Add(grantSlack)
	}
	return now.Add(time.Duration((1 - d.Of(first)/d.highest) * float64(grantSlack)))
}

// RenewalDue is GrantDue of a grant that is still valid.
func RenewalDue(now time.Time) time.Time { return now.Add(grantSlack) }
