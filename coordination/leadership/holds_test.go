package leadership

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// holdAfterGrant is how long an upstream may hold keys after a grant, in the model of successions.
const holdAfterGrant = 4 * time.Second

// modelHolder is a process in the model of successions that has acquired the lease.
type modelHolder struct {
	right Right
	holds FormerHolds
	// freeAt is from when it takes keys of silent upstreams for free.
	freeAt time.Time
}

// Holders succeed each other, soon or late, after releases, missed renewals and restarts at the same
// address. Holders that seem to have ended still make grants until their right ends. None may take keys
// for free while an upstream may hold them by a grant of any other.
func TestFormerHoldsOutlastSuccessions(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 8))
	for round := range 2000 {
		now, revision := start, uint64(1)
		holder := &modelHolder{}
		holder.right.Extend(now)
		var grantsEnd time.Time
		for range 6 {
			lease := Lease{Address: "holder:1", FormerHoldsMs: holder.holds.Milliseconds(now, holdAfterGrant)}
			// A write takes effect after it was sent, and is observed after that.
			now = now.Add(time.Duration(rng.IntN(300)) * time.Millisecond)
			var o LeaseObservation
			o.Observe(now, revision)
			now = now.Add(time.Duration(rng.IntN(2200)) * time.Millisecond)
			self, refused := "next:1", rng.IntN(2) == 0
			switch rng.IntN(3) {
			case 0:
				lease.Released = true
				lease.FormerHoldsMs = holder.holds.Milliseconds(now, holdAfterGrant)
				revision++
				o.Observe(now, revision)
				holder.right = Right{until: now}
			case 1:
				self = lease.Address
				holder.right = Right{until: now}
			}
			if !o.CanTakeOver(now, lease, self, refused) {
				holder.right.Extend(now)
				revision++
				continue
			}
			grantsEnd = laterTime(grantsEnd, holder.right.until.Add(holdAfterGrant))
			next := &modelHolder{freeAt: o.HoldsEnd(now, lease, self, holdAfterGrant)}
			next.holds.Extend(next.freeAt)
			next.right.Extend(now)
			if early := grantsEnd.Sub(next.freeAt); early > 0 {
				t.Fatalf("round %d: keys are taken for free %s before the grants of former holders have ended", round, early)
			}
			holder = next
			revision++
		}
	}
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// A holder that has led for seconds leaves nothing to state: the end of its own grants comes last.
func TestFormerHoldsAreStatedOnlyWhileNeeded(t *testing.T) {
	var f FormerHolds
	if ms := f.Milliseconds(start, holdAfterGrant); ms != 0 {
		t.Errorf("%d ms without a former holder", ms)
	}
	f.Extend(at(5 * time.Second))
	f.Extend(at(time.Second))
	for sent, want := range map[time.Duration]int64{0: 5000, 999*time.Millisecond + 1: 4001, time.Second: 0, time.Minute: 0} {
		if ms := f.Milliseconds(at(sent), holdAfterGrant); ms != want {
			t.Errorf("%d ms after %s, want %d", ms, sent, want)
		}
	}
}

// A lease that was written without the field, or that was not observed, is bounded by its holder's right.
func TestLeaseWithoutFormerHolds(t *testing.T) {
	var l Lease
	if err := json.Unmarshal([]byte(`{"node":"a","address":"a:1","domain":"d","incarnation":"i","term":3,"renewals":9,"voters":["a:1"]}`), &l); err != nil {
		t.Fatal(err)
	}
	var o LeaseObservation
	o.Observe(start, 4)
	if end := o.HoldsEnd(at(time.Second), l, "b:1", holdAfterGrant); !end.Equal(at(takeoverDelay + holdAfterGrant)) {
		t.Errorf("held for %s", end.Sub(start))
	}
	if end := o.HoldsEnd(at(time.Second), l, "a:1", holdAfterGrant); !end.Equal(at(time.Second + holdAfterGrant)) {
		t.Errorf("held for %s after the end of the holder's process", end.Sub(start))
	}
}
