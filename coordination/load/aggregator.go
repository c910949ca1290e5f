package load

import (
	"slices"
	"sort"
	"time"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

const (
	// smoothingFactor is the weight of a new report in the exponential moving average.
	smoothingFactor = 0.3
	// reportTTL is the age from which the report of an entry no longer counts.
	reportTTL = 5 * time.Second
)

// RangeRate is the traffic of one range as observed by one entry.
type RangeRate struct {
	Service string
	keyspace.Span
	// Rate is the number of requests a second.
	Rate float64
}

// Aggregator merges the load reports of all entries of a cell. It is not safe for concurrent use.
type Aggregator struct {
	entries map[string]*entryReport
}

type entryReport struct {
	at     time.Time
	ranges map[string][]RangeRate
	keys   map[string]map[keyspace.Hash]float64
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{entries: make(map[string]*entryReport)} }

// Report adds the traffic that one entry observed over an interval. Rates are smoothed over
// reports. A range that results from a split starts with its share of the rate of the range that
// was split.
func (agg *Aggregator) Report(now time.Time, entry string, ranges []RangeRate, keys []KeyRate, interval time.Duration) {
	old := agg.entries[entry]
	next := &entryReport{
		at:     now,
		ranges: make(map[string][]RangeRate),
		keys:   make(map[string]map[keyspace.Hash]float64),
	}
	for _, r := range ranges {
		if old != nil {
			before := rateWithin(old.ranges[r.Service], r.Span)
			r.Rate = before + smoothingFactor*(r.Rate-before)
		}
		next.ranges[r.Service] = append(next.ranges[r.Service], r)
	}
	for name := range next.ranges {
		slices.SortFunc(next.ranges[name], func(a, b RangeRate) int {
			if a.First < b.First {
				return -1
			}
			return 1
		})
	}
	next.addKeys(old, keys, interval)
	agg.entries[entry] = next
	for id, r := range agg.entries {
		if now.Sub(r.at) > reportTTL {
			delete(agg.entries, id)
		}
	}
}

// addKeys smooths the rates of hot keys. The rate of a key that is no longer reported decays until
// the key is dropped.
func (r *entryReport) addKeys(old *entryReport, keys []KeyRate, interval time.Duration) {
	// minRate is the rate, in requests a second, below which a key is dropped.
	const minRate = 0.5
	set := func(service string, h keyspace.Hash, rate float64) {
		if r.keys[service] == nil {
			r.keys[service] = make(map[keyspace.Hash]float64)
		}
		r.keys[service][h] = rate
	}
	if old != nil {
		for service, rates := range old.keys {
			for h, rate := range rates {
				if rate*(1-smoothingFactor) > minRate {
					set(service, h, rate*(1-smoothingFactor))
				}
			}
		}
	}
	for _, k := range keys {
		rate := float64(k.Requests) / interval.Seconds()
		if old != nil {
			rate = r.keys[k.Service][k.Hash] + smoothingFactor*rate
		}
		set(k.Service, k.Hash, rate)
	}
}

// rateWithin returns the rate of a span from a sorted list of ranges. Ranges that overlap the span
// partially count in proportion to the overlap.
func rateWithin(list []RangeRate, span keyspace.Span) float64 {
	sum := 0.0
	i := sort.Search(len(list), func(i int) bool { return list[i].Last >= span.First })
	for ; i < len(list) && list[i].First <= span.Last; i++ {
		r := list[i]
		if span.Covers(r.Span) {
			sum += r.Rate
			continue
		}
		common := keyspace.Span{First: max(r.First, span.First), Last: min(r.Last, span.Last)}
		sum += r.Rate * common.Fraction() / r.Fraction()
	}
	return sum
}

// Rate returns the requests a second to a span, summed over all entries.
func (agg *Aggregator) Rate(service string, span keyspace.Span) float64 {
	sum := 0.0
	for _, r := range agg.entries {
		sum += rateWithin(r.ranges[service], span)
	}
	return sum
}

// HotKeys returns the rates of the hot keys of a service, summed over all entries, the hottest
// first.
func (agg *Aggregator) HotKeys(service string) []KeyLoad {
	rates := make(map[keyspace.Hash]float64)
	for _, r := range agg.entries {
		for h, rate := range r.keys[service] {
			rates[h] += rate
		}
	}
	out := make([]KeyLoad, 0, len(rates))
	for h, rate := range rates {
		out = append(out, KeyLoad{Hash: h, Rate: rate})
	}
	slices.SortFunc(out, func(a, b KeyLoad) int {
		switch {
		case a.Rate != b.Rate && a.Rate > b.Rate, a.Rate == b.Rate && a.Hash < b.Hash:
			return -1
		}
		return 1
	})
	return out
}

// KeyLoad is the rate of one hot key, in requests a second.
type KeyLoad struct {
	Hash keyspace.Hash
	Rate float64
}
