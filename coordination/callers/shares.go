// Package callers divides room among callers while requests are refused for lack of it. A caller that
// repeats its requests more often than others gets no more than its max-min fair share of what can be
// run. Callers below the share are not affected. Each gateway decides from the requests that it receives
// itself. Clock and random numbers are passed in.
package callers

import (
	"math"
	"time"
)

const (
	// halfLife is the time after which a request counts half. A gateway among dozens sees few requests
	// of one caller, so it has to remember them for several times as long as a caller waits.
	halfLife = 10 * time.Second
	// ways is the number of entries in which a caller may be counted.
	ways = 4
	// maxWeight is the weight of a new request from which on all counts are scaled down.
	maxWeight = 1 << 20
	// minExcess is how many times as many requests as the mean a caller must have for its share to apply,
	// and minDeviations by how many standard deviations of a random count it must exceed the mean. If
	// callers with as many as others, or with a few more by chance, were refused as well, room would go
	// unused: a gateway among dozens sees a few requests of each caller.
	minExcess     = 2
	minDeviations = 4
	// minGrants is the lowest share that grants are compared with: a caller without a recent grant is
	// within it.
	minGrants = 1
	// soleFraction is the fraction of all requests from which on a caller counts as the only one.
	// Refusing its requests would make room for no other caller.
	soleFraction = 0.95
	// curveInterval is how long a computed curve is used, curveSteps the number of its levels, by
	// quarters of a power of two.
	curveInterval = 100 * time.Millisecond
	curveSteps    = 64
)

// entry counts the requests of one caller. Other callers may have used the entry before: excess is the
// part of count that may be theirs.
type entry struct {
	caller        uint64
	count, excess float64
	// granted is how many of its requests were granted.
	granted float64
}

// known returns the number of requests that are certainly the caller's.
func (e *entry) known() float64 { return e.count - e.excess }

// shares counts requests by caller in bounded memory and derives fair shares. Callers beyond the size of
// the table replace those with the fewest requests (space-saving). Counts are kept in units of a weight
// that grows over time, which makes earlier requests count less.
type shares struct {
	table [][ways]entry
	// total counts all requests, totalGranted those that were granted.
	total, totalGranted float64
	// weightOneAt is when a new request had the weight 1.
	weightOneAt time.Time
	// served[i] is the number of requests that pass if no caller has more than level(i), computed at
	// curveAt.
	served  [curveSteps]float64
	curveAt time.Time
	// mean is the mean number of requests of a caller in the table, meanOdds the mean of odds over all
	// requests.
	mean, meanOdds float64
}

func newShares(sets int, now time.Time) *shares {
	return &shares{table: make([][ways]entry, sets), weightOneAt: now}
}

// weight returns the weight of a new request.
func (s *shares) weight(now time.Time) float64 {
	w := math.Exp2(max(float64(now.Sub(s.weightOneAt))/float64(halfLife), 0))
	if w < maxWeight {
		return w
	}
	for i := range s.table {
		for j := range s.table[i] {
			s.table[i][j].count /= w
			s.table[i][j].excess /= w
			s.table[i][j].granted /= w
		}
	}
	s.total /= w
	s.totalGranted /= w
	s.weightOneAt, s.curveAt = now, time.Time{}
	return 1
}

// find returns the entry of a caller, or nil.
func (s *shares) find(caller uint64) *entry {
	set := &s.table[mix(caller)%uint64(len(s.table))]
	for i := range set {
		if set[i].caller == caller {
			return &set[i]
		}
	}
	return nil
}

// record counts a request of a caller, which must not be zero.
func (s *shares) record(now time.Time, caller uint64) {
	w := s.weight(now)
	s.total += w
	if e := s.find(caller); e != nil {
		e.count += w
		return
	}
	set := &s.table[mix(caller)%uint64(len(s.table))]
	least := &set[0]
	for i := range set {
		if set[i].count < least.count {
			least = &set[i]
		}
	}
	*least = entry{caller: caller, count: least.count + w, excess: least.count}
}

// granted counts a request of a caller that may be sent to an upstream.
func (s *shares) granted(now time.Time, caller uint64) {
	w := s.weight(now)
	s.totalGranted += w
	if e := s.find(caller); e != nil {
		e.granted += w
	}
}

// over decides whether a request of a caller, which record has counted, exceeds the caller's share. It
// does if the caller has been granted its share already, and by the odds of its share over its requests
// otherwise: a caller that repeats each request often enough would pass any odds that its grants alone
// decide. random is in [0, 1).
func (s *shares) over(now time.Time, caller uint64, random float64) bool {
	e := s.find(caller)
	if e == nil || e.known() > soleFraction*s.total {
		return false
	}
	w := s.weight(now)
	requests := e.known() / w
	level := s.level(now, w, s.totalGranted/w)
	if requests <= s.ordinary() {
		return false
	}
	return random*requests >= level || e.granted/w+random >= max(level, minGrants)
}

// ordinary returns the number of requests up to which a caller has no more than others, but for chance.
func (s *shares) ordinary() float64 {
	return max(minExcess*s.mean, s.mean+minDeviations*math.Sqrt(s.mean))
}

// odds returns the odds of a request of a caller with the given number of requests, relative to those of
// others, that give it as much as a caller with the mean number.
func (s *shares) odds(requests float64) float64 {
	if requests <= s.ordinary() {
		return 1
	}
	return s.mean / requests
}

// relativeOdds returns the odds of a request of a caller relative to the mean odds of all requests.
func (s *shares) relativeOdds(now time.Time, caller uint64) float64 {
	e := s.find(caller)
	if e == nil || e.known() > soleFraction*s.total {
		return 1
	}
	w := s.weight(now)
	s.refreshCurve(now, w)
	return s.odds(e.known()/w) / s.meanOdds
}

// level returns the largest number of requests that a caller may have so that the given number of
// requests pass.
func (s *shares) level(now time.Time, weight, pass float64) float64 {
	s.refreshCurve(now, weight)
	low, high := 0, curveSteps
	for low < high {
		if middle := (low + high) / 2; s.served[middle] < pass {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == curveSteps {
		return math.Inf(1)
	}
	level := stepLevel(low)
	if low == 0 {
		level *= pass / max(s.served[0], 1e-9)
	} else {
		below := s.served[low-1]
		level = stepLevel(low-1) + (level-stepLevel(low-1))*(pass-below)/max(s.served[low]-below, 1e-9)
	}
	return level
}

// refreshCurve computes how many requests pass at each level, unless that is known.
func (s *shares) refreshCurve(now time.Time, weight float64) {
	if age := now.Sub(s.curveAt); !s.curveAt.IsZero() && age >= 0 && age < curveInterval {
		return
	}
	var callers, requests [curveSteps + 1]float64
	known := 0.0
	for i := range s.table {
		for j := range s.table[i] {
			count := s.table[i][j].known() / weight
			if count <= 0 {
				continue
			}
			known += count
			step := min(max(int(math.Floor(4*math.Log2(count)))+1, 0), curveSteps)
			callers[step]++
			requests[step] += count
		}
	}
	above := 0.0
	for i := range callers {
		above += callers[i]
	}
	s.mean = known / max(above, 1)
	// Callers without an entry are taken to be below the share.
	below := max(s.total/weight-known, 0)
	passing := below
	for i := range s.served {
		passing += requests[i]
		above -= callers[i]
		s.served[i] = passing + above*stepLevel(i)
	}
	pass := below
	for i := range s.table {
		for j := range s.table[i] {
			if count := s.table[i][j].known() / weight; count > 0 {
				pass += s.odds(count) * count
			}
		}
	}
	s.meanOdds = 1
	if pass > 0 {
		s.meanOdds = pass / (known + below)
	}
	s.curveAt = now
}

// stepLevel returns the level of a step of the curve, in requests. The callers counted in the steps up
// to it have at most as many.
func stepLevel(step int) float64 { return math.Exp2(float64(step) / 4) }

// mix spreads the bits of a caller's number.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
