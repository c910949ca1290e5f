package leadership

import (
	"testing"
	"time"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

func TestRightExpiresAfterLeaseDuration(t *testing.T) {
	var r Right
	if r.Valid(start) {
		t.Error("valid before any renewal")
	}
	r.Extend(start)
	if !r.Valid(at(LeaseDuration-time.Millisecond)) || r.Valid(at(LeaseDuration)) {
		t.Error("the right must last for one LeaseDuration from when the renewal was sent")
	}
	r.Extend(at(-time.Second))
	if !r.Valid(at(LeaseDuration - time.Millisecond)) {
		t.Error("an older renewal shortens the right")
	}
	r.Revoke()
	if r.Valid(start) {
		t.Error("valid after it was revoked")
	}
}

// The last renewal of a holder may have been written at any time before the claimant first saw it.
// The right of the holder must have expired when the claimant may take over, even if the clocks
// differ by two percent.
func TestHoldersNeverOverlap(t *testing.T) {
	for delay := time.Duration(0); delay < LeaseDuration; delay += 10 * time.Millisecond {
		var holder Right
		holder.Extend(start)
		var o LeaseObservation
		o.Observe(at(delay), 7)
		for now := delay; ; now += 10 * time.Millisecond {
			o.Observe(at(now), 7)
			if !o.CanTakeOver(at(now), Lease{Node: "a", Address: "a:1"}, "b:1", false) {
				continue
			}
			slow := at(time.Duration(float64(now) * 0.98))
			if holder.Valid(slow) {
				t.Fatalf("lease seen after %s: taken over after %s while the holder may act", delay, now)
			}
			if at(now).Before(o.HolderExpiry()) {
				t.Fatal("taken over before HolderExpiry")
			}
			break
		}
	}
}

func TestRenewedLeaseIsNotTakenOver(t *testing.T) {
	var o LeaseObservation
	for i := range uint64(20) {
		now := at(time.Duration(i) * RenewInterval)
		o.Observe(now, 10+i)
		for _, refused := range []bool{false, true} {
			if o.CanTakeOver(now, Lease{Node: "a", Address: "a:1"}, "b:1", refused) {
				t.Fatalf("taken over from a holder that renews, refused %v", refused)
			}
		}
	}
}

func TestEarlyTakeover(t *testing.T) {
	var o LeaseObservation
	o.Observe(start, 1)
	if !o.CanTakeOver(start, Lease{Node: "a", Address: "a:1", Released: true}, "b:1", false) {
		t.Error("a released lease cannot be taken over")
	}
	if !o.CanTakeOver(start, Lease{Node: "a", Address: "b:1"}, "b:1", false) {
		t.Error("the lease of an earlier process at the same address cannot be taken over")
	}
	if o.CanTakeOver(start, Lease{Node: "a", Address: "a:1"}, "b:1", true) {
		t.Error("refused connections alone allow a takeover")
	}
	if !o.CanTakeOver(at(RenewInterval+missedRenewalMargin), Lease{Node: "a", Address: "a:1"}, "b:1", true) {
		t.Error("no takeover after a missed renewal of a holder that refuses connections")
	}
}

// A stale read that arrives late must neither restart nor shorten the wait.
func TestOldRevisionDoesNotRestartWait(t *testing.T) {
	var o LeaseObservation
	o.Observe(start, 5)
	o.Observe(at(LeaseDuration), 4)
	if !o.CanTakeOver(at(takeoverDelay), Lease{Node: "a", Address: "a:1"}, "b:1", false) {
		t.Error("an older revision restarts the wait")
	}
}

// The moment at which a gateway reads the lease again must be that from which it may take it over: read
// earlier it may not, and a read up to half a second later delays the service of all keys.
func TestEarliestTakeOver(t *testing.T) {
	start := time.Unix(1, 0)
	var o LeaseObservation
	if _, ok := o.EarliestTakeOver(true); ok {
		t.Error("a takeover is possible before the lease was observed")
	}
	o.Observe(start, 1)
	for _, refused := range []bool{false, true} {
		at, _ := o.EarliestTakeOver(refused)
		l := Lease{Node: "a", Address: "a:1"}
		if o.CanTakeOver(at.Add(-time.Millisecond), l, "b:1", refused) || !o.CanTakeOver(at, l, "b:1", refused) {
			t.Errorf("refused %v: %v is not the first moment", refused, at.Sub(start))
		}
	}
}
