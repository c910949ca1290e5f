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

// modelCluster is a holder that is cut off from the store, with its voters.
type modelCluster struct {
	rng    *rand.Rand
	voters []*Promises
	// lease is the holder's right by its last renewal, promised that by promises.
	lease, promised Right
}

// extend asks a random part of the voters for promises.
func (c *modelCluster) extend(now time.Time) {
	sinceLease := c.lease.Lapsed(now)
	lapsed, given := min(sinceLease, c.promised.Lapsed(now)), 0
	missing := 0
	if c.rng.IntN(3) == 0 {
		missing = c.rng.IntN(len(c.voters) + 1)
	}
	for _, i := range c.rng.Perm(len(c.voters))[missing:] {
		if v := c.voters[i]; v.Grant(now, 1) && PromiseCounts(lapsed, v.Uptime(now)) {
			given++
		}
	}
	if given >= NeededPromises(len(c.voters), sinceLease) {
		c.promised.Extend(now)
	}
}

// TestFewVotersKnowTheEndOfPromises guards against a successor that takes a holder for ended while most voters, which it cannot ask, support that one.
func TestFewVotersKnowTheEndOfPromises(t *testing.T) {
	rng := rand.New(rand.NewPCG(15, 16))
	const step = 300 * time.Millisecond
	for round := range 10000 {
		c := &modelCluster{rng: rng, voters: make([]*Promises, 1+rng.IntN(MaxVoters))}
		for i := range c.voters {
			c.voters[i] = NewPromises(at(-time.Hour))
		}
		c.lease.Extend(start)
		acquired := time.Duration(rng.IntN(int(MajorityPeriod)))
		answers := acquired + time.Duration(rng.IntN(int(2*MajorityPeriod)))
		var ends time.Time
		for now := time.Duration(0); now < 5*MajorityPeriod; now += step {
			if rng.IntN(20) == 0 {
				c.voters[rng.IntN(len(c.voters))] = NewPromises(at(now))
			}
			c.extend(at(now))
			if now < answers || at(now).Before(MajorityPeriodEnd(at(acquired), MajorityPeriod)) || !ends.IsZero() {
				continue
			}
			ends = MajorityPeriodEnd(at(acquired), MajorityPeriod)
			if given, age := c.voters[rng.IntN(len(c.voters))].Inquire(at(now), 2); given {
				ends = laterTime(ends, at(now-age).Add(LeaseDuration))
			}
		}
		if c.promised.until.After(ends) {
			t.Fatalf("round %d: the holder may act until %s, its successor assumes %s", round, c.promised.until.Sub(start), ends.Sub(start))
		}
	}
}

// TestMajorityPeriodEndsBeforeSuccessorsAssumeIt guards against a right that a majority gives and that ends after the period.
func TestMajorityPeriodEndsBeforeSuccessorsAssumeIt(t *testing.T) {
	var lease, promised Right
	lease.Extend(start)
	for now := time.Duration(0); now < 2*MajorityPeriod; now += 10 * time.Millisecond {
		if NeededPromises(MaxVoters, lease.Lapsed(at(now))) < MaxVoters {
			promised.Extend(at(now))
		}
	}
	if left := at(MajorityPeriod).Sub(promised.until); left < 0 || left > 10*time.Millisecond {
		t.Errorf("the right by a majority ends %s before the period", left)
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
