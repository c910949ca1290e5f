package callers

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// load offers requests of callers to one room for a minute of virtual time, of which only some per second
// can be run, and counts what each caller asked for, was granted, and was refused for its share.
type load struct {
	room                  Room
	rng                   *rand.Rand
	asked, granted, shed  map[uint64]int
	perSecond, roomPerSec int
	// pick draws the caller of a request.
	pick func(rng *rand.Rand) uint64
}

func (l *load) run() {
	l.asked, l.granted, l.shed = make(map[uint64]int), make(map[uint64]int), make(map[uint64]int)
	free, interval := 0.0, time.Second/time.Duration(l.perSecond)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(interval) {
		free = min(free+float64(l.roomPerSec)*interval.Seconds(), slots)
		caller := l.pick(l.rng)
		l.asked[caller]++
		l.room.Offered(now, caller)
		switch {
		case l.room.Exceeds(now, caller, l.rng.Float64()) && free < slots:
			l.room.Shed(now)
			l.shed[caller]++
		case free >= 1:
			free--
			l.granted[caller]++
			l.room.Granted(now, caller)
		default:
			l.room.Refused(now, PoolSets)
		}
	}
}

const (
	greedy = 1
	// slots is the room that is saved up while nobody uses it. A request is never refused while all of it
	// is free.
	slots = 4
)

// pickGreedy draws one of 30 callers, of which the first asks as often as the given number of others.
func pickGreedy(times int) func(*rand.Rand) uint64 {
	return func(rng *rand.Rand) uint64 {
		if n := rng.IntN(29 + times); n < 29 {
			return uint64(n + 2)
		}
		return greedy
	}
}

// TestFrequentCallerGetsNoMoreThanOthers guards against a caller that repeats three or ten times as often
// as others and is granted that many times as much.
func TestFrequentCallerGetsNoMoreThanOthers(t *testing.T) {
	for _, times := range []int{3, 10} {
		l := &load{rng: rand.New(rand.NewPCG(1, 2)), perSecond: 100, roomPerSec: 50, pick: pickGreedy(times)}
		l.run()
		others := 0
		for caller, n := range l.granted {
			if caller != greedy {
				others += n
			}
		}
		if mean := float64(others) / 29; float64(l.granted[greedy]) > 1.25*mean {
			t.Errorf("%d times as often: granted %d of %d, others %.0f", times, l.granted[greedy], l.asked[greedy], mean)
		}
	}
}

// TestOrdinaryCallersAreNotRefused guards against refusing callers that ask no more often than others.
func TestOrdinaryCallersAreNotRefused(t *testing.T) {
	l := &load{rng: rand.New(rand.NewPCG(3, 4)), perSecond: 100, roomPerSec: 50, pick: pickGreedy(1)}
	l.run()
	total := 0
	for _, n := range l.shed {
		total += n
	}
	if total > 60 {
		t.Errorf("%d of 6000 requests refused because of their callers' shares", total)
	}
}

// TestFewRequestsOfOrdinaryCallersAreNotRefused guards against refusing callers that have more requests
// than others by chance, at a gateway that sees a few requests of each.
func TestFewRequestsOfOrdinaryCallersAreNotRefused(t *testing.T) {
	asked, shed := 0, 0
	for seed := range uint64(40) {
		l := &load{rng: rand.New(rand.NewPCG(seed, 4)), perSecond: 8, roomPerSec: 4, pick: pickGreedy(1)}
		l.run()
		for caller, n := range l.asked {
			asked += n
			shed += l.shed[caller]
		}
	}
	if shed > asked/500 {
		t.Errorf("%d of %d requests refused because of their callers' shares", shed, asked)
	}
}

// TestNothingIsRefusedWithoutOverload guards against dividing room while there is enough, and after an
// overload has ended.
func TestNothingIsRefusedWithoutOverload(t *testing.T) {
	l := &load{rng: rand.New(rand.NewPCG(5, 6)), perSecond: 100, roomPerSec: 200, pick: pickGreedy(50)}
	l.run()
	if l.shed[greedy] > 0 {
		t.Errorf("%d requests refused without an overload", l.shed[greedy])
	}
	l.roomPerSec = 20
	l.run()
	end := start.Add(time.Minute)
	if l.shed[greedy] == 0 || !l.room.Overloaded(end) {
		t.Fatal("the overload was not noticed")
	}
	after := end.Add(overloadMemory + time.Second)
	for range 100 {
		l.room.Offered(after, greedy)
		if l.room.Overloaded(after) || l.room.Exceeds(after, greedy, 0.99) {
			t.Fatal("a request was refused after the overload")
		}
	}
	l.room.Offered(end.Add(shareRetention+time.Minute), greedy)
	if l.room.shares != nil {
		t.Error("the counts were kept after the overload")
	}
}

// TestSoleCallerIsNotRefused guards against refusing a caller when there is no other that could use the
// room, as with callers behind one address.
func TestSoleCallerIsNotRefused(t *testing.T) {
	l := &load{rng: rand.New(rand.NewPCG(7, 8)), perSecond: 100, roomPerSec: 20, pick: func(*rand.Rand) uint64 { return greedy }}
	l.run()
	if l.shed[greedy] > 0 {
		t.Errorf("%d requests of the only caller refused", l.shed[greedy])
	}
}

// TestManyCallers guards against memory that grows with the number of callers, and against refusing
// callers that share an entry of the table: of 100,000 callers only the one that stands out is limited.
func TestManyCallers(t *testing.T) {
	l := &load{rng: rand.New(rand.NewPCG(9, 10)), perSecond: 5000, roomPerSec: 2000, pick: func(rng *rand.Rand) uint64 {
		if rng.IntN(10) == 0 {
			return greedy
		}
		return 2 + rng.Uint64N(100_000)
	}}
	l.run()
	others, othersAsked := 0, 0
	for caller, n := range l.shed {
		if caller != greedy {
			others += n
		}
	}
	for caller, n := range l.asked {
		if caller != greedy {
			othersAsked += n
		}
	}
	if l.shed[greedy] < l.asked[greedy]/2 || float64(others) > 0.01*float64(othersAsked) {
		t.Errorf("refused %d of %d requests of one caller and %d of %d of all others", l.shed[greedy], l.asked[greedy], others, othersAsked)
	}
	if n := len(l.room.shares.table); n != PoolSets {
		t.Errorf("the table has %d sets", n)
	}
}

// TestRecordAllocatesNothing guards against garbage in the path of every request during an overload.
func TestRecordAllocatesNothing(t *testing.T) {
	var r Room
	r.Refused(start, PoolSets)
	r.Refused(start, PoolSets)
	caller := uint64(0)
	allocs := testing.AllocsPerRun(10_000, func() {
		caller++
		now := start.Add(time.Duration(caller) * 20 * time.Microsecond)
		r.Offered(now, caller)
		r.Exceeds(now, caller, 0.5)
		r.Granted(now, caller)
		r.RelativeOdds(now, caller)
	})
	if allocs > 0 {
		t.Errorf("%v allocations", allocs)
	}
}

// TestCountsStayFinite guards against weights that overflow during an overload of days, and against a
// clock that goes back.
func TestCountsStayFinite(t *testing.T) {
	var r Room
	for i := range 100_000 {
		now := start.Add(time.Duration(i) * 5 * time.Second)
		if i%1000 == 999 {
			now = now.Add(-time.Hour)
		}
		r.Refused(now, OwnerSets)
		r.Offered(now, uint64(1+i%3))
		r.Granted(now, uint64(1+i%3))
		if odds := r.RelativeOdds(now, uint64(1+i%3)); !(odds > 0) || math.IsInf(odds, 0) {
			t.Fatalf("odds %v", odds)
		}
	}
	if total := r.shares.total; !(total > 0) || total > 1e9 {
		t.Errorf("total %g", total)
	}
}

// TestOddsFavourOrdinaryCallers guards against odds that change how many requests pass in all.
func TestOddsFavourOrdinaryCallers(t *testing.T) {
	l := &load{rng: rand.New(rand.NewPCG(11, 12)), perSecond: 100, roomPerSec: 20, pick: pickGreedy(10)}
	l.run()
	now, sum, n := start.Add(time.Minute), 0.0, 20_000
	for range n {
		sum += l.room.RelativeOdds(now, l.pick(l.rng))
	}
	if mean := sum / float64(n); math.Abs(mean-1) > 0.15 {
		t.Errorf("mean odds %.2f", mean)
	}
	if frequent, other := l.room.RelativeOdds(now, greedy), l.room.RelativeOdds(now, 2); frequent > 0.25*other {
		t.Errorf("odds %.2f for the frequent caller, %.2f for another", frequent, other)
	}
}
