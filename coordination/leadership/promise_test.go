package leadership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestPromisesFollowTerms(t *testing.T) {
	p := NewPromises(start)
	if given, age := p.Inquire(at(time.Second), 1); !given || age != time.Second {
		t.Error("a new process must be treated as having promised at its start")
	}
	if !p.Grant(at(2*time.Second), 3) {
		t.Error("a promise for a later term is denied")
	}
	if given, age := p.Inquire(at(3*time.Second), 4); !given || age != time.Second {
		t.Errorf("given %v, age %s", given, age)
	}
	if p.Grant(at(4*time.Second), 3) {
		t.Error("a promise to an earlier leader after a later one has inquired")
	}
	if !p.Grant(at(4*time.Second), 4) {
		t.Error("a promise to the later leader is denied")
	}
}

// The process before may have told a successor of the leader of its promises: a new process supports the
// leader only once its right at the time of the start has certainly ended, and only if it lasted on.
func TestRestartedVoterSupportsOnlyLastingRights(t *testing.T) {
	p := NewPromises(start)
	if p.Grant(at(takeoverDelay-time.Millisecond), 1) || !p.Grant(at(takeoverDelay), 1) {
		t.Error("the first promise is not made exactly at the end of the wait")
	}
	const uptime = 10 * time.Second
	for lapsed, want := range map[time.Duration]bool{
		-time.Second: true, 0: true, uptime - takeoverDelay - uptime/50: true, uptime - takeoverDelay: false, uptime: false, 1<<63 - 1: false,
	} {
		if PromiseCounts(lapsed, uptime) != want {
			t.Errorf("right ended %s ago: a promise counts: %v", lapsed, !want)
		}
	}
}

// Whichever majorities the holder and its successor reach, and whichever voters restart in between,
// the successor must not assume that the holder has stopped before the right that the holder has by
// promises has expired.
func TestSuccessorWaitsForPromises(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	for round := range 3000 {
		n := 1 + rng.IntN(MaxVoters)
		voters := make([]*Promises, n)
		for i := range voters {
			voters[i] = NewPromises(at(-time.Hour))
		}
		var holder Right
		now := time.Duration(0)
		for range 5 {
			now += time.Duration(rng.IntN(800)) * time.Millisecond
			if rng.IntN(3) == 0 {
				voters[rng.IntN(n)] = NewPromises(at(now))
			}
			given := 0
			for _, i := range rng.Perm(n)[:rng.IntN(n+1)] {
				if voters[i].Grant(at(now), 1) {
					given++
				}
			}
			if given >= Majority(n) {
				holder.Extend(at(now))
			}
		}
		now += time.Duration(rng.IntN(3000)) * time.Millisecond
		ends := at(0)
		for _, i := range rng.Perm(n)[:Majority(n)] {
			if given, age := voters[i].Inquire(at(now), 2); given {
				if end := at(now - age).Add(LeaseDuration); end.After(ends) {
					ends = end
				}
			}
		}
		if holder.until.After(ends) {
			t.Fatalf("round %d: the holder may act until %s, its successor assumes %s", round, holder.until.Sub(start), ends.Sub(start))
		}
	}
}

func TestChooseVoters(t *testing.T) {
	live := []VoterCandidate{{"a1", "a"}, {"a2", "a"}, {"a3", "a"}, {"a4", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}}
	got := ChooseVoters(live, nil)
	if d := cmp.Diff([]string{"a1", "a2", "a3", "b1", "b2", "c1", "c2"}, got); d != "" {
		t.Error(d)
	}
	got = ChooseVoters(live[1:], got)
	if d := cmp.Diff([]string{"a2", "a3", "a4", "b1", "b2", "c1", "c2"}, got); d != "" {
		t.Error(d)
	}
	if got := ChooseVoters(live, got); cmp.Diff([]string{"a2", "a3", "a4", "b1", "b2", "c1", "c2"}, got) != "" {
		t.Errorf("a current voter was replaced by a gateway that returned: %v", got)
	}
	if got := ChooseVoters(live[:1], nil); len(got) != 1 {
		t.Errorf("%v", got)
	}
}
