package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/instances"
)

// endUpstream ends incarnation n of an upstream at second n while the given suspects run on it.
func endUpstream(tr *Tracker, n int, suspects ...Digest) {
	now := at(time.Duration(n) * time.Second)
	for _, d := range suspects {
		tr.RequestAborted(now, d, "u", instances.Incarnation(n), now)
	}
	tr.UpstreamEnded(now, "u", instances.Incarnation(n), RefusedDial)
}

func refused(tr *Tracker, d Digest) bool { return tr.Refused(at(59*time.Second), d, 1, 0) }

// A request is refused after three ends, unless unrelated ends suggest that its presence was a
// coincidence. Harmless requests must not be refused because they were present at three of many
// ends.
func TestCoincidence(t *testing.T) {
	const harmful, harmless = 1, 2
	tests := []struct {
		name string
		ends [][]Digest
		want bool
	}{
		{"three in a row", [][]Digest{{harmless}, {harmless}, {harmless}}, true},
		{"others before and after", [][]Digest{{7}, {harmless}, {harmless}, {harmless}, {8}}, true},
		{"two before", [][]Digest{{7}, {8}, {harmless}, {harmless}, {harmless}}, true},
		{"three before", [][]Digest{{7}, {8}, {9}, {harmless}, {harmless}, {harmless}}, false},
		{"three explained before", [][]Digest{{harmful}, {harmful}, {harmful}, {harmless}, {harmless}, {harmless}}, true},
		{"one unrelated in between", [][]Digest{{harmless}, {harmless}, {7}, {harmless}}, false},
		{"three of many", [][]Digest{{harmless}, {7}, {8}, {harmless}, {9}, {harmless, 7}}, false},
		{"four of many", [][]Digest{{harmless}, {7}, {8}, {harmless}, {9}, {harmless, 7}, {harmless}}, true},
		{"explained in between", [][]Digest{{harmless}, {harmful}, {harmless}, {harmful}, {harmful}, {harmful}, {harmless}}, true},
		{"own end explained", [][]Digest{{harmful}, {harmful}, {harmful}, {harmful, harmless}, {harmless}, {harmless}}, false},
		{"own end explained later", [][]Digest{{harmful, harmless}, {harmful}, {harmful}, {harmless}, {harmless}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := NewTracker()
			for i, on := range tt.ends {
				endUpstream(tr, i, on...)
			}
			if got := refused(tr, harmless); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
		})
	}
}

// A harmless request that was present at the first three ends must not explain those of the harmful one, which
// was present at all, nor remain refused.
func TestRequestWithMostEndsIsRefused(t *testing.T) {
	const harmful, harmless = 1, 2
	for _, order := range [][]Digest{{harmful, harmless}, {harmless, harmful}} {
		tr := NewTracker()
		for i := range refusalThreshold {
			endUpstream(tr, i, order...)
		}
		if refused(tr, harmful) && refused(tr, harmless) {
			t.Error("both are refused for the same ends")
		}
		if !refused(tr, harmful) {
			endUpstream(tr, refusalThreshold, harmful)
		}
		if !refused(tr, harmful) || refused(tr, harmless) {
			t.Errorf("order %v: the harmful request is refused: %v, the harmless one: %v", order, refused(tr, harmful), refused(tr, harmless))
		}
	}
}

// If a request turns out to be harmless, the ends that it explained count against other requests
// again. Nothing may be kept of discarded suspects.
func TestClearedRequestDoesNotExplainEnds(t *testing.T) {
	tr := NewTracker()
	for i := range 4 {
		endUpstream(tr, i, 1)
	}
	tr.Clear(Clearing{Digest: 1, At: at(10 * time.Second)})
	if refused(tr, 1) {
		t.Error("refused after it was cleared")
	}
	tr.Prune(at(time.Minute))
	if len(tr.histories) != 0 {
		t.Errorf("%d histories without suspects are kept", len(tr.histories))
	}
	for i := range 3 {
		endUpstream(tr, 60+i, 2)
	}
	if !tr.Refused(at(65*time.Second), 2, 1, 0) {
		t.Error("not refused after three ends")
	}
	tr.Prune(at(time.Hour))
	tr.Prune(at(time.Hour))
	if len(tr.histories) != 0 {
		t.Errorf("%d histories are never discarded", len(tr.histories))
	}
}

// A suspect with two or more ends avoids upstreams that run other suspects, but not those where
// only the request itself is running.
func TestUpstreamsToAvoid(t *testing.T) {
	r := NewActiveRuns()
	r.Begin("u", 1)
	r.Begin("v", 2)
	r.Begin("v", 1)
	for _, tt := range []struct {
		digest Digest
		ends   int
		want   []string
	}{{1, 2, []string{"v"}}, {2, 2, []string{"u", "v"}}, {3, 3, []string{"u", "v"}}, {3, 1, nil}} {
		if d := cmp.Diff(tt.want, r.UpstreamsToAvoid(tt.digest, tt.ends)); d != "" {
			t.Errorf("digest %d with %d ends: %s", tt.digest, tt.ends, d)
		}
	}
	r.End("v", 2)
	r.End("w", 2)
	if got := r.UpstreamsToAvoid(1, 2); len(got) > 0 {
		t.Errorf("%v still avoided after the other run has ended", got)
	}
	r.End("u", 1)
	r.End("v", 1)
	if len(r.running) > 0 {
		t.Errorf("runs are kept after their end: %v", r.running)
	}
}

// A request ends each upstream it reaches, twice a second. Meanwhile upstreams end for other
// reasons once a second, each while running four of four hundred callers, which retry and whose
// other runs are answered. The harmful request may end at most four upstreams, and no caller may be
// refused.
func TestHarmfulAmongUnrelatedEnds(t *testing.T) {
	t.Parallel()
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			testHarmfulAmongUnrelatedEnds(t, seed)
		})
	}
}

func testHarmfulAmongUnrelatedEnds(t *testing.T, seed uint64) {
	t.Helper()
	const callers, upstreams, tick = 400, 11, 100 * ms
	rng := rand.New(rand.NewPCG(seed, 1))
	tr := NewTracker()
	incarnation := make([]instances.Incarnation, upstreams)
	reached, refusals := 0, 0
	for now := time.Duration(0); now < 30*time.Second; now += tick {
		for range 20 {
			d := Digest(2 + rng.IntN(callers))
			if tr.Refused(at(now), d, 1, 1) {
				refusals++
			} else if tr.CrashCount(d) > 0 {
				tr.Clear(Clearing{Digest: d, At: at(now)})
			}
		}
		u := rng.IntN(upstreams)
		name := fmt.Sprint("u", u)
		harmful := now%(500*ms) == 0 && !tr.Refused(at(now), 1, 1, 1)
		if !harmful && rng.Float64() >= 0.1 {
			continue
		}
		if harmful {
			reached++
			tr.RequestAborted(at(now), 1, name, incarnation[u], at(now))
		}
		for range 4 {
			tr.RequestAborted(at(now), Digest(2+rng.IntN(callers)), name, incarnation[u], at(now))
		}
		tr.UpstreamEnded(at(now+50*ms), name, incarnation[u], RefusedDial)
		incarnation[u]++
	}
	if reached > certainThreshold || refusals > 0 {
		t.Errorf("%d upstreams ended, harmless requests refused %d times", reached, refusals)
	}
}
