package bootclock

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// fakeMachine simulates the clocks of a machine that is suspended and whose wall clock is stepped.
type fakeMachine struct {
	// awake is the time for which the machine was not suspended.
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
				return 0, errors.New("CLOCK_BOOTTIME is unavailable")
			}
			return f.awake + f.suspended, nil
		},
	}
}

// TestSuspensionsAreCountedAndStepsAreNot checks that the clock follows suspensions but no wall
// clock steps, in random order.
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
				t.Fatalf("seed %d: %s passed, the clock counted %s", seed, want, got)
			}
		}
	}
}

// TestSuspensionHiddenByStepIsFoundByCheck guards against missing a suspension during which the
// wall clock was stepped back by the same amount. Now cannot notice it, the next Check must.
func TestSuspensionHiddenByStepIsFoundByCheck(t *testing.T) {
	f := &fakeMachine{}
	c := NewFromSources(f.sources())
	f.suspended, f.stepped = 3*time.Second, -3*time.Second
	if got := c.Now().Sub(start); got != 0 {
		t.Fatalf("Now counted the hidden suspension: %s passed", got)
	}
	c.Check()
	if got := c.Now().Sub(start); got != 3*time.Second {
		t.Errorf("the clock counted %s of a suspension of 3 s", got)
	}
}

// TestSuspensionIsReportedOnce checks that each suspension is reported once, with its length.
func TestSuspensionIsReportedOnce(t *testing.T) {
	f := &fakeMachine{}
	c := NewFromSources(f.sources())
	reported := make(chan time.Duration, 4)
	c.OnSuspended(func(d time.Duration) { reported <- d })
	f.suspended = 3 * time.Second
	c.Now()
	if d := <-reported; d != 3*time.Second {
		t.Errorf("reported a suspension of %s", d)
	}
	f.awake = time.Second
	c.Now()
	c.Check()
	if len(reported) > 0 {
		t.Errorf("reported a second suspension of %s", <-reported)
	}
}

// TestBootTimeIsReadOnlyOnDrift guards against a system call in every reading of the clock.
func TestBootTimeIsReadOnlyOnDrift(t *testing.T) {
	f := &fakeMachine{}
	c := NewFromSources(f.sources())
	for range 1000 {
		f.awake += time.Millisecond
		c.Now()
	}
	if f.bootReads > 1 {
		t.Errorf("read CLOCK_BOOTTIME %d times in 1000 calls of Now", f.bootReads)
	}
}

// TestUnreadableBootTimeCountsNoSuspension checks that the clock follows the monotonic clock if
// CLOCK_BOOTTIME cannot be read.
func TestUnreadableBootTimeCountsNoSuspension(t *testing.T) {
	f := &fakeMachine{broken: true}
	c := NewFromSources(f.sources())
	f.awake, f.suspended = time.Second, 3*time.Second
	c.Check()
	if got := c.Now().Sub(start); got != time.Second {
		t.Errorf("the clock counted %s, want 1 s", got)
	}
}

// TestSystemClockFollowsMonotonicClock compares the clock of this machine with time.Now.
func TestSystemClockFollowsMonotonicClock(t *testing.T) {
	c := New()
	first, monotonic := c.Now(), time.Now()
	time.Sleep(10 * time.Millisecond)
	c.Check()
	if d := (c.Now().Sub(first) - time.Since(monotonic)).Abs(); d > time.Second {
		t.Errorf("the clocks are %s apart", d)
	}
}

// BenchmarkNow compares Now with time.Now and with a read of CLOCK_BOOTTIME.
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
