package leadership

import (
	"testing"
	"time"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

func TestRightEndsWithTheTerm(t *testing.T) {
	var r Right
	if r.Valid(start) {
		t.Error("valid before any renewal")
	}
	r.Extend(start)
	if !r.Valid(at(LeaseDuration-time.Millisecond)) || r.Valid(at(LeaseDuration)) {
		t.Error("a renewal counts from when it was sent, for one term")
	}
	r.Extend(at(-time.Second))
	if !r.Valid(at(LeaseDuration - time.Millisecond)) {
		t.Error("an older renewal shortens the right")
	}
	r.Revoke()
	if r.Valid(start) {
		t.Error("valid after it was dropped")
	}
}

// TestTwoNeverActTogether: a holder whose last renewal was written at any moment
// before the claimant first saw it has lost its right when the claimant may take
// the lease, also with clocks two percent apart.
func TestTwoNeverActTogether(t *testing.T) {
	for delay := time.Duration(0); delay < LeaseDuration; delay += 10 * time.Millisecond {
		var holder Right
		holder.Extend(start)
		var c LeaseObservation
		c.Observe(at(delay), 7)
		for now := delay; ; now += 10 * time.Millisecond {
			c.Observe(at(now), 7)
			if !c.CanTakeOver(at(now), Lease{Node: "a", Address: "a:1"}, "b:1", false) {
				continue
			}
			slow := at(time.Duration(float64(now) * 0.98))
			if holder.Valid(slow) {
				t.Fatalf("seen after %s: taken after %s while the holder may act", delay, now)
			}
			if at(now).Before(c.HolderExpiry()) {
				t.Fatal("taken before the holder's right has surely ended")
			}
			break
		}
	}
}

func TestRenewedLeaseIsLeftToItsHolder(t *testing.T) {
	var c LeaseObservation
	for i := range uint64(20) {
		now := at(time.Duration(i) * RenewInterval)
		c.Observe(now, 10+i)
		for _, refused := range []bool{false, true} {
			if c.CanTakeOver(now, Lease{Node: "a", Address: "a:1"}, "b:1", refused) {
				t.Fatalf("taken from a holder that renews, refused %v", refused)
			}
		}
	}
}

func TestEarlyTakes(t *testing.T) {
	var c LeaseObservation
	c.Observe(start, 1)
	if !c.CanTakeOver(start, Lease{Node: "a", Address: "a:1", Released: true}, "b:1", false) {
		t.Error("a released lease is not taken")
	}
	if !c.CanTakeOver(start, Lease{Node: "a", Address: "b:1"}, "b:1", false) {
		t.Error("the lease of a former process at the own address is not taken")
	}
	if c.CanTakeOver(start, Lease{Node: "a", Address: "a:1"}, "b:1", true) {
		t.Error("refused connections alone end a lease")
	}
	if !c.CanTakeOver(at(RenewInterval+missMargin), Lease{Node: "a", Address: "a:1"}, "b:1", true) {
		t.Error("a missed renewal of a holder that refuses connections is not enough")
	}
}

// TestOldRevisionIsIgnored: a reading that comes late must not restart or
// shorten the wait.
func TestOldRevisionIsIgnored(t *testing.T) {
	var c LeaseObservation
	c.Observe(start, 5)
	c.Observe(at(LeaseDuration), 4)
	if !c.CanTakeOver(at(wait), Lease{Node: "a", Address: "a:1"}, "b:1", false) {
		t.Error("an older revision restarts the wait")
	}
}
