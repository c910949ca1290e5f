package poison

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/instances"
)

// ended lets a start of an upstream end with suspects on it, one second after the other.
func ended(b *Tracker, n int, suspects ...Digest) {
	now := at(time.Duration(n) * time.Second)
	for _, d := range suspects {
		b.RequestAborted(now, d, "u", instances.Incarnation(n))
	}
	b.UpstreamEnded(now, "u", instances.Incarnation(n))
}

func refused(b *Tracker, d Digest) bool { return b.Refused(at(59*time.Second), d, 1, 0) }

// TestChance guards against innocent requests that are refused because they were on three of many
// ends, while one that nothing passes by is refused after three.
func TestChance(t *testing.T) {
	const guilty, innocent = 1, 2
	tests := []struct {
		name string
		ends [][]Digest
		want bool
	}{
		{"three in a row", [][]Digest{{innocent}, {innocent}, {innocent}}, true},
		{"others before and after", [][]Digest{{7}, {innocent}, {innocent}, {innocent}, {8}}, true},
		{"two before", [][]Digest{{7}, {8}, {innocent}, {innocent}, {innocent}}, true},
		{"three before", [][]Digest{{7}, {8}, {9}, {innocent}, {innocent}, {innocent}}, false},
		{"three before that are explained", [][]Digest{{guilty}, {guilty}, {guilty}, {innocent}, {innocent}, {innocent}}, true},
		{"one passed it by", [][]Digest{{innocent}, {innocent}, {7}, {innocent}}, false},
		{"three of many", [][]Digest{{innocent}, {7}, {8}, {innocent}, {9}, {innocent, 7}}, false},
		{"four of many", [][]Digest{{innocent}, {7}, {8}, {innocent}, {9}, {innocent, 7}, {innocent}}, true},
		{"that passed by are explained", [][]Digest{{innocent}, {guilty}, {innocent}, {guilty}, {guilty}, {guilty}, {innocent}}, true},
		{"its own are explained", [][]Digest{{guilty}, {guilty}, {guilty}, {guilty, innocent}, {innocent}, {innocent}}, false},
		{"its own are explained later", [][]Digest{{guilty, innocent}, {guilty}, {guilty}, {innocent}, {innocent}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewTracker()
			for i, on := range tt.ends {
				ended(b, i, on...)
			}
			if got := refused(b, innocent); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestClearedRequestExplainsNothing: ends that were explained by a request which has turned out to
// do no harm speak against others again, and nothing is left over of what is forgotten.
func TestClearedRequestExplainsNothing(t *testing.T) {
	b := NewTracker()
	for i := range 4 {
		ended(b, i, 1)
	}
	b.Clear(Clearing{Digest: 1, At: at(10 * time.Second)})
	if refused(b, 1) {
		t.Error("refused after it was cleared")
	}
	b.Prune(at(time.Minute))
	if len(b.ends) != 0 {
		t.Errorf("%d ends of nobody", len(b.ends))
	}
	for i := range 3 {
		ended(b, 60+i, 2)
	}
	if !refused(b, 2) {
		t.Error("not refused after three ends")
	}
	b.Prune(at(time.Hour))
	b.Prune(at(time.Hour))
	if len(b.ends) != 0 {
		t.Errorf("%d ends are never forgotten", len(b.ends))
	}
}

// TestOccupied: from two ends on a suspect avoids upstreams where others run, not where it runs itself.
func TestOccupied(t *testing.T) {
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
			t.Errorf("%d with %d ends: %s", tt.digest, tt.ends, d)
		}
	}
	r.End("v", 2)
	r.End("w", 2)
	if got := r.UpstreamsToAvoid(1, 2); len(got) > 0 {
		t.Errorf("%v avoided after the other run has ended", got)
	}
	r.End("u", 1)
	r.End("v", 1)
	if len(r.at) > 0 {
		t.Errorf("runs left over: %v", r.at)
	}
}

// TestGuiltyAmongOwnEnds plays a request that ends each upstream it reaches, twice a second, while
// upstreams end by themselves once a second with four of four hundred callers on each, who come
// back and of whose runs the others end well. The guilty one ends four upstreams at most, and no
// caller is refused.
func TestGuiltyAmongOwnEnds(t *testing.T) {
	const callers, upstreams, tick = 400, 11, 100 * ms
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := NewTracker()
		incarnation := make([]instances.Incarnation, upstreams)
		reached, turnedAway := 0, 0
		for now := time.Duration(0); now < 30*time.Second; now += tick {
			for range 20 {
				d := Digest(2 + rng.IntN(callers))
				if b.Refused(at(now), d, 1, 1) {
					turnedAway++
				} else if b.CrashCount(d) > 0 {
					b.Clear(Clearing{Digest: d, At: at(now)})
				}
			}
			u := rng.IntN(upstreams)
			name := fmt.Sprint("u", u)
			guilty := now%(500*ms) == 0 && !b.Refused(at(now), 1, 1, 1)
			if !guilty && rng.Float64() >= 0.1 {
				continue
			}
			if guilty {
				reached++
				b.RequestAborted(at(now), 1, name, incarnation[u])
			}
			for range 4 {
				b.RequestAborted(at(now), Digest(2+rng.IntN(callers)), name, incarnation[u])
			}
			b.UpstreamEnded(at(now+50*ms), name, incarnation[u])
			incarnation[u]++
		}
		if reached > refusedAnyway || turnedAway > 0 {
			t.Errorf("seed %d: %d upstreams reached, callers turned away %d times", seed, reached, turnedAway)
		}
	}
}
