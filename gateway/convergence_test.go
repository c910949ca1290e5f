package gateway

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/standin/instance"
)

// TestPlacementConverges: after any sequence of control-call faults (late, lost or refused calls,
// silent upstreams, lost leaders), placement converges soon after the faults end: nothing is
// pending and no owner is far over its share. The oracle checks that no key has two owners at any
// time. With upstreams that had answered a probe, owned no keys and stayed marked as failing, these
// seeds never converged.
func TestPlacementConverges(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{4, 7, 8} {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runUntilSettled(t, rand.New(rand.NewPCG(seed, 31)))
		})
	}
}

func runUntilSettled(t *testing.T, rng *rand.Rand) {
	const (
		steps      = 12
		longestGap = 1200 * time.Millisecond
	)
	modes := []instance.Mode{
		instance.LateCalls, instance.LateCalls, instance.LateGrants, instance.Unresponsive, instance.Overloaded, instance.LosesResponses, instance.Healthy,
	}
	p := newFaultRun(t, rng.Uint64())
	clients := p.startKeyClients(p.runningGateway)
	keyed := []string{"i-s0", "i-s1", "i-s2", "i-s3"}
	for range steps {
		if rng.IntN(steps) == 0 {
			p.killOne(true)
		} else {
			p.upstreams[keyed[rng.IntN(len(keyed))]].SetMode(modes[rng.IntN(len(modes))])
		}
		time.Sleep(time.Duration(rng.Int64N(int64(longestGap))))
	}
	p.endFaults()
	p.eventually("placement has settled", p.placementSettled)
	clients.end()
}

// placementSettled reports whether nothing is pending, every upstream of the keyed service owns keys
// and may be given more, and no owner is far over its share.
func (p *faultRun) placementSettled() bool {
	leader := p.leader()
	if leader == nil {
		return false
	}
	k := leader.assignments.assigner("status")
	if k == nil {
		return false
	}
	owners, load := k.candidates(), k.rates()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil || len(k.activeMoves) > 0 || len(k.failing) > 0 {
		return false
	}
	for _, o := range owners {
		if !o.Usable || !k.ownsKeys(o.ID) {
			return false
		}
	}
	_, far := ownership.Busiest(k.table, owners, load)
	return !far
}
