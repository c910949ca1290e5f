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
	r.Renewed(start)
	if !r.Valid(at(Term-time.Millisecond)) || r.Valid(at(Term)) {
		t.Error("a renewal counts from when it was sent, for one term")
	}
	r.Renewed(at(-time.Second))
	if !r.Valid(at(Term - time.Millisecond)) {
		t.Error("an older renewal shortens the right")
	}
	r.Drop()
	if r.Valid(start) {
		t.Error("valid after it was dropped")
	}
}

// TestTwoNeverActTogether: a holder whose last renewal was written at any moment
// before the claimant first saw it has lost its right when the claimant may take
// the lease, also with clocks two percent apart.
func TestTwoNeverActTogether(t *testing.T) {
	for delay := time.Duration(0); delay < Term; delay += 10 * time.Millisecond {
		var holder Right
		holder.Renewed(start)
		var c Claim
		c.Observe(at(delay), 7)
		for now := delay; ; now += 10 * time.Millisecond {
			c.Observe(at(now), 7)
			if !c.MayTake(at(now), Lease{Node: "a", Address: "a:1"}, "b:1", false) {
				continue
			}
			slow := at(time.Duration(float64(now) * 0.98))
			if holder.Valid(slow) {
				t.Fatalf("seen after %s: taken after %s while the holder may act", delay, now)
			}
			if at(now).Before(c.Ends()) {
				t.Fatal("taken before the holder's right has surely ended")
			}
			break
		}
	}
}

func TestRenewedLeaseIsLeftToItsHolder(t *testing.T) {
	var c Claim
	for i := range uint64(20) {
		now := at(time.Duration(i) * Renewal)
		c.Observe(now, 10+i)
		for _, refused := range []bool{false, true} {
			if c.MayTake(now, Lease{Node: "a", Address: "a:1"}, "b:1", refused) {
				t.Fatalf("taken from a holder that renews, refused %v", refused)
			}
		}
	}
}

func TestEarlyTakes(t *testing.T) {
	var c Claim
	c.Observe(start, 1)
	if !c.MayTake(start, Lease{Node: "a", Address: "a:1", Released: true}, "b:1", false) {
		t.Error("a released lease is not taken")
	}
	if !c.MayTake(start, Lease{Node: "a", Address: "b:1"}, "b:1", false) {
		t.Error("the lease of a former process at the own address is not taken")
	}
	if c.MayTake(start, Lease{Node: "a", Address: "a:1"}, "b:1", true) {
		t.Error("refused connections alone end a lease")
	}
	if !c.MayTake(at(Renewal+missMargin), Lease{Node: "a", Address: "a:1"}, "b:1", true) {
		t.Error("a missed renewal of a holder that refuses connections is not enough")
	}
}

// TestOldRevisionIsIgnored: a reading that comes late must not restart or
// shorten the wait.
func TestOldRevisionIsIgnored(t *testing.T) {
	var c Claim
	c.Observe(start, 5)
	c.Observe(at(Term), 4)
	if !c.MayTake(at(wait), Lease{Node: "a", Address: "a:1"}, "b:1", false) {
		t.Error("an older revision restarts the wait")
	}
}
