package gateway

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/standin/instance"
)

// TestPlacementSettles: whatever happens to control calls (late, lost, refused ones, silent
// upstreams, lost leaders), soon after it has ended nothing is pending and no owner is far over its
// share: placement has no state that it does not leave. The oracle sees no two owners meanwhile. (With
// upstreams that a trial has reached and that own nothing left alone, these seeds never settled.)
func TestPlacementSettles(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{4, 7, 8} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			settles(t, rand.New(rand.NewPCG(seed, 31)))
		})
	}
}

func settles(t *testing.T, rng *rand.Rand) {
	const (
		steps      = 12
		longestGap = 1200 * time.Millisecond
	)
	modes := []instance.Mode{
		instance.LateCalls, instance.LateCalls, instance.LateGrants, instance.Silent, instance.Sheds, instance.Loses, instance.Serves,
	}
	p := newFaultRun(t, rng.Uint64())
	clients := p.askForKeys(p.runningGateway)
	keyed := []string{"i-s0", "i-s1", "i-s2", "i-s3"}
	for range steps {
		if rng.IntN(steps) == 0 {
			p.killOne(true)
		} else {
			p.upstreams[keyed[rng.IntN(len(keyed))]].Set(modes[rng.IntN(len(modes))])
		}
		time.Sleep(time.Duration(rng.Int64N(int64(longestGap))))
	}
	p.endFaults()
	p.eventually("placement has settled", p.settled)
	clients.end()
}

// settled reports whether nothing is pending, every upstream with keys may be given some, and no
// owner is far over its share.
func (p *faultRun) settled() bool {
	leader := p.leader()
	if leader == nil {
		return false
	}
	k := leader.steward.keeper("status")
	if k == nil {
		return false
	}
	owners, load := k.candidates(), k.rates()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil || len(k.moving) > 0 || len(k.failing) > 0 {
		return false
	}
	for _, o := range owners {
		if !o.Usable || !k.owns(o.ID) {
			return false
		}
	}
	_, far := ownership.Busiest(k.table, owners, load)
	return !far
}
