package bootclock

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// fakeMachine has the clocks of a machine that is suspended and whose time of day is stepped.
type fakeMachine struct {
	// steady has passed, in which the machine was awake.
	awake              time.Duration
	suspended, stepped time.Duration
	broken             bool
	bootReads          int
}

var start = time.Unix(1000, 0)

func (f *fakeMachine) sources() Sources {
	return Sources{
		Monotonic: func() time.Time { return start.Add(f.awake) },
		Wall:      func(time.Time) int64 { return start.Add(f.awake + f.suspended + f.stepped).UnixNano() },
		Boot: func() (time.Duration, error) {
			f.bootReads++
			if f.broken {
				return 0, errors.New("not to be had")
			}
			return f.awake + f.suspended, nil
		},
	}
}

// TestSuspensionsAreCountedAndStepsAreNot whatever happens in which order.
func TestSuspensionsAreCountedAndStepsAreNot(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := &fakeMachine{}
		c := NewFromSources(f.sources())
		for range 200 {
			f.awake += time.Duration(rng.Int64N(int64(time.Second)))
			switch rng.IntN(4) {
			case 0:
				f.suspended += minSuspension + time.Duration(rng.Int64N(int64(10*time.Second)))
			case 1:
				f.stepped += time.Duration(rng.Int64N(int64(10*time.Second))) - 5*time.Second
			}
			if got, want := c.Now().Sub(start), f.awake+f.suspended; (got - want).Abs() > driftTolerance+minSuspension {
				t.Fatalf("seed %d: %s passed, the clock says %s", seed, want, got)
			}
		}
	}
}

// TestSuspensionHiddenByStepIsFoundByCheck: the time of day was stepped back by as much. The next look finds it.
func TestSuspensionHiddenByStepIsFoundByCheck(t *testing.T) {
	f := &fakeMachine{}
	c := NewFromSources(f.sources())
	f.suspended, f.stepped = 3*time.Second, -3*time.Second
	if got := c.Now().Sub(start); got != 0 {
		t.Fatalf("found at once, %s", got)
	}
	c.Check()
	if got := c.Now().Sub(start); got != 3*time.Second {
		t.Errorf("%s passed in a suspension of 3 s", got)
	}
}

// TestSuspensionIsReportedOnce with its length.
func TestSuspensionIsReportedOnce(t *testing.T) {
	f := &fakeMachine{}
	c := NewFromSources(f.sources())
	reported := make(chan time.Duration, 4)
	c.OnSuspended(func(d time.Duration) { reported <- d })
	f.suspended = 3 * time.Second
	c.Now()
	if d := <-reported; d != 3*time.Second {
		t.Errorf("reported of %s", d)
	}
	f.awake = time.Second
	c.Now()
	c.Check()
	if len(reported) > 0 {
		t.Errorf("reported again, of %s", <-reported)
	}
}

// TestBootTimeIsReadOnlyOnDrift: a reading of the clock costs no system call as a rule.
func TestBootTimeIsReadOnlyOnDrift(t *testing.T) {
	f := &fakeMachine{}
	c := NewFromSources(f.sources())
	for range 1000 {
		f.awake += time.Millisecond
		c.Now()
	}
	if f.bootReads > 1 {
		t.Errorf("%d readings of the slow clock for 1000 of the fast one", f.bootReads)
	}
}

// TestUnreadableBootTimeCountsNoSuspension goes on as the steady clock does.
func TestUnreadableBootTimeCountsNoSuspension(t *testing.T) {
	f := &fakeMachine{broken: true}
	c := NewFromSources(f.sources())
	f.awake, f.suspended = time.Second, 3*time.Second
	c.Check()
	if got := c.Now().Sub(start); got != time.Second {
		t.Errorf("%s passed", got)
	}
}

// TestSystemClockFollowsMonotonicClock runs beside the steady one.
func TestSystemClockFollowsMonotonicClock(t *testing.T) {
	c := New()
	first, monotonic := c.Now(), time.Now()
	time.Sleep(10 * time.Millisecond)
	c.Check()
	if d := (c.Now().Sub(first) - time.Since(monotonic)).Abs(); d > time.Second {
		t.Errorf("%s apart", d)
	}
}

// BenchmarkNow is what a reading costs beside time.Now, and one of the slow clock.
func BenchmarkNow(b *testing.B) {
	c := New()
	b.Run("counting", func(b *testing.B) {
		for b.Loop() {
			c.Now()
		}
	})
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			time.Now()
		}
	})
	b.Run("slow", func(b *testing.B) {
		for b.Loop() {
			_, _ = readBootTime()
		}
	})
}
