// Package bootclock provides a clock that includes the time for which the machine was suspended and
// ignores steps of the wall clock. The monotonic clock behind time.Now stops during a suspension,
// so a process that resumes would treat its leases, promises and rights as still valid.
//
// CLOCK_BOOTTIME includes suspensions, but reading it costs a system call. It is therefore read
// only when the wall clock has drifted from the monotonic clock, which happens in a suspension and
// when the wall clock is stepped, and whenever Check is called.
package bootclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftTolerance is the change of the drift between the wall clock and the monotonic clock that
	// causes a read of CLOCK_BOOTTIME. It is far shorter than the duration of any right, and larger
	// than the ordinary drift of the two clocks within some tens of seconds.
	driftTolerance = 20 * time.Millisecond
	// minSuspension is the shortest suspension that is counted and reported.
	minSuspension = 50 * time.Millisecond
)

// Sources are the clocks that a Clock reads.
type Sources struct {
	// Monotonic returns the time by a clock that stops during a suspension, as time.Now does.
	Monotonic func() time.Time
	// Wall returns the wall clock time, in nanoseconds, at a reading of Monotonic.
	Wall func(time.Time) int64
	// Boot returns the time since the machine was booted, including suspensions.
	Boot func() (time.Duration, error)
}

// systemSources are the clocks of this machine.
var systemSources = Sources{Monotonic: time.Now, Wall: time.Time.UnixNano, Boot: readBootTime}

func readBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Clock is a clock that includes suspensions. It is safe for concurrent use.
type Clock struct {
	Sources
	// onSuspended is called in its own goroutine after a suspension.
	onSuspended func(time.Duration)

	mu sync.Mutex
	// refMonotonic, refWall and refBoot are readings of the three clocks at the same moment.
	refMonotonic time.Time
	refWall      int64
	refBoot      time.Duration
	// suspendedTotal is the time for which the machine was suspended since the reference readings.
	// lastDrift is the drift of the wall clock at the last read of CLOCK_BOOTTIME by Now.
	suspendedTotal, lastDrift time.Duration
}

// New returns a clock that reads the clocks of this machine.
func New() *Clock { return NewFromSources(systemSources) }

// NewFromSources returns a clock that reads the given clocks. If Boot fails now, no suspension is
// ever counted.
func NewFromSources(s Sources) *Clock {
	c := &Clock{Sources: s, onSuspended: func(time.Duration) {}}
	c.refMonotonic = s.Monotonic()
	c.refWall = s.Wall(c.refMonotonic)
	bootTime, err := s.Boot()
	if err != nil {
		c.Boot = func() (time.Duration, error) { return 0, err }
	}
	c.refBoot = bootTime
	return c
}

// OnSuspended sets the function that is called after a suspension, with its length.
func (c *Clock) OnSuspended(f func(time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onSuspended = f
}

// Now returns the current time. Compare it only with other times of the same clock. To wait until
// such a time, subtract Now from it.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.Monotonic()
	if drift := c.wallDrift(t); (drift - c.lastDrift).Abs() > driftTolerance {
		c.lastDrift = drift
		c.updateSuspended(t)
	}
	return t.Add(c.suspendedTotal)
}

// Check detects a suspension that Now does not notice because the wall clock was stepped back by
// the same amount. It should be called regularly.
func (c *Clock) Check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSuspended(c.Monotonic())
}

// wallDrift returns how far the wall clock has moved away from the monotonic clock since the
// reference readings. The caller must hold mu.
func (c *Clock) wallDrift(t time.Time) time.Duration {
	return time.Duration(c.Wall(t)-c.refWall) - t.Sub(c.refMonotonic)
}

// updateSuspended reads CLOCK_BOOTTIME and adds a suspension that is not counted yet. The caller
// must hold mu.
func (c *Clock) updateSuspended(t time.Time) {
	bootTime, err := c.Boot()
	if err != nil {
		return
	}
	suspended := bootTime - c.refBoot - t.Sub(c.refMonotonic) - c.suspendedTotal
	if suspended < minSuspension {
		return
	}
	c.suspendedTotal += suspended
	go c.onSuspended(suspended)
}
