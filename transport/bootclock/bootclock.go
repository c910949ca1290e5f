// Package bootclock is a clock that counts the time for which the machine was suspended, and does
// not follow steps of the time of day. The steady clock that time.Now compares by stands still in a
// suspension: a process that wakes up would believe that its leases, promises and rights still
// hold.
//
// CLOCK_BOOTTIME has that time, and costs a system call. So it is read only when the time of day
// has moved away from the steady clock, as it does in a suspension and when it is stepped, and now
// and then besides.
package bootclock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// driftTolerance is how far the time of day may move away from the steady clock until
	// CLOCK_BOOTTIME is read: far below any right's length, and more than the two drift apart in
	// some tens of seconds.
	driftTolerance = 20 * time.Millisecond
	// minSuspension is the shortest suspension that is told of.
	minSuspension = 50 * time.Millisecond
)

// Sources are the clocks of a machine.
type Sources struct {
	// Monotonic is as time.Now: it stands still in a suspension.
	Monotonic func() time.Time
	// Wall returns the time of day that belongs to a reading of Steady, in nanoseconds.
	Wall func(time.Time) int64
	// Boot returns the time since the machine's start, suspensions included.
	Boot func() (time.Duration, error)
}

// machine are this machine's.
var systemSources = Sources{Monotonic: time.Now, Wall: time.Time.UnixNano, Boot: readBootTime}

func readBootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Clock is safe for concurrent use.
type Clock struct {
	Sources
	// onSuspended is called, in a goroutine of its own, after a suspension.
	onSuspended func(time.Duration)

	mu sync.Mutex
	// steady, wall and boot are the clocks at the same moment.
	refMonotonic time.Time
	refWall      int64
	refBoot      time.Duration
	// offset is how long the machine was suspended since then, drift how far the time of day had
	// moved away from the steady clock when that was last worked out.
	suspendedTotal, lastDrift time.Duration
}

// New returns the machine's clock.
func New() *Clock { return NewFromSources(systemSources) }

// NewFromSources returns a clock by others. Where Boot cannot be read no suspension is counted.
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

// OnSuspended sets what is called after a suspension, with its length.
func (c *Clock) OnSuspended(f func(time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onSuspended = f
}

// Now returns the time. Times of one clock are to be compared with each other only: to wait until
// one of them, take the difference from Now.
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

// Check looks for a suspension that the time of day does not show, as it was stepped back by as
// much meanwhile. It is to be called from time to time.
func (c *Clock) Check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateSuspended(c.Monotonic())
}

// wallDrift is how far the time of day has moved away from the steady clock. The lock is held.
func (c *Clock) wallDrift(t time.Time) time.Duration {
	return time.Duration(c.Wall(t)-c.refWall) - t.Sub(c.refMonotonic)
}

// look takes over how long the machine was suspended. The lock is held.
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
