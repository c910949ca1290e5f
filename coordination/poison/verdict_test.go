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
func ended(b *Book, n int, suspects ...Digest) {
	now := at(time.Duration(n) * time.Second)
	for _, d := range suspects {
		b.Broke(now, d, "u", instances.Incarnation(n))
	}
	b.Ended(now, "u", instances.Incarnation(n))
}

func refused(b *Book, d Digest) bool { return b.Refused(at(time.Minute), d, 1, 0) }

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
		{"one passed it by", [][]Digest{{innocent}, {innocent}, {7}, {innocent}}, false},
		{"three of many", [][]Digest{{innocent}, {7}, {8}, {innocent}, {9}, {innocent, 7}}, false},
		{"four of many", [][]Digest{{innocent}, {7}, {8}, {innocent}, {9}, {innocent, 7}, {innocent}}, true},
		{"that passed by are explained", [][]Digest{{innocent}, {guilty}, {innocent}, {guilty}, {guilty}, {guilty}, {innocent}}, true},
		{"its own are explained", [][]Digest{{guilty}, {guilty}, {guilty}, {guilty, innocent}, {innocent}, {innocent}}, false},
		{"its own are explained later", [][]Digest{{guilty, innocent}, {guilty}, {guilty}, {innocent}, {innocent}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBook()
			for i, on := range tt.ends {
				ended(b, i, on...)
			}
			if got := refused(b, innocent); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestApartThirdEndTells guards against a request that ends upstreams for longer among ends that
// have other causes: its third run was sent apart, and nothing else can have been the cause.
func TestApartThirdEndTells(t *testing.T) {
	const guilty = 1
	for _, tt := range []struct {
		name string
		also Digest
		want bool
	}{
		{"alone", 0, true},
		{"beside one that was on no end before", 9, true},
		{"beside a suspect that another gateway sent", 7, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := NewBook()
			ended(b, 0, guilty)
			ended(b, 1, 7)
			ended(b, 2, 8)
			ended(b, 3, guilty)
			if tt.also != 0 {
				b.Broke(at(4*time.Second), tt.also, "v", 1)
			}
			b.BrokeApart(at(4*time.Second), guilty, "v", 1)
			b.Ended(at(4*time.Second), "v", 1)
			if got := refused(b, guilty); got != tt.want {
				t.Errorf("refused: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestApartIsToldToOthers: the verdict is the same at gateways that were only told.
func TestApartIsToldToOthers(t *testing.T) {
	x, y := NewBook(), NewBook()
	ended(x, 0, 1)
	ended(x, 1, 7)
	ended(x, 2, 1)
	x.BrokeApart(at(3*time.Second), 1, "v", 1)
	x.Ended(at(3*time.Second), "v", 1)
	crashes, _ := x.Tell(at(3 * time.Second))
	y.Told(crashes)
	if !refused(x, 1) || !refused(y, 1) {
		t.Errorf("refused here %v, there %v", refused(x, 1), refused(y, 1))
	}
}

// TestClearedRequestExplainsNothing: ends that were explained by a request which has turned out to
// do no harm speak against others again, and nothing is left over of what is forgotten.
func TestClearedRequestExplainsNothing(t *testing.T) {
	b := NewBook()
	for i := range 4 {
		ended(b, i, 1)
	}
	b.Clear(Clearing{Digest: 1, At: at(10 * time.Second)})
	if len(b.ends) != 0 || refused(b, 1) {
		t.Errorf("%d ends, refused %v", len(b.ends), refused(b, 1))
	}
	for i := range 3 {
		ended(b, 20+i, 2)
	}
	if !refused(b, 2) {
		t.Error("not refused after three ends")
	}
	b.Forget(at(time.Hour))
	if len(b.ends) != 0 {
		t.Errorf("%d ends are never forgotten", len(b.ends))
	}
}

// TestRunsApart: a run tells something only if it had two ends when it was sent and met no other
// suspect.
func TestRunsApart(t *testing.T) {
	r := NewRuns()
	alone, young := r.Begin("u", 1, 2), r.Begin("v", 2, 1)
	if got := r.Occupied(1); !cmp.Equal(got, []string{"v"}) {
		t.Errorf("occupied for 1: %v", got)
	}
	if !r.End(alone) || r.End(young) {
		t.Error("the run with two ends and nobody else tells, the one with one end does not")
	}
	first := r.Begin("u", 1, 2)
	second := r.Begin("u", 3, 2)
	again := r.Begin("w", 1, 3)
	same := r.Begin("w", 1, 3)
	if r.End(first) || r.End(second) {
		t.Error("two that met tell something")
	}
	if !r.End(again) || !r.End(same) {
		t.Error("the same request twice was taken for two")
	}
	if len(r.at) != 0 {
		t.Errorf("runs left over: %v", r.at)
	}
}

// TestGuiltyAmongOwnEnds plays a request that ends each upstream it reaches, twice a second, while
// upstreams end by themselves once a second with four of four hundred callers on each, who come
// back and of whose runs the others end well. The guilty one runs apart from its third run on. It
// reaches three upstreams, and what it reaches before all were told; no caller is refused.
func TestGuiltyAmongOwnEnds(t *testing.T) {
	const callers, upstreams, tick = 400, 11, 100 * ms
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, runs := NewBook(), NewRuns()
		incarnation := make([]instances.Incarnation, upstreams)
		reached, turnedAway := 0, 0
		for now := time.Duration(0); now < 30*time.Second; now += tick {
			for range 20 {
				d := Digest(2 + rng.IntN(callers))
				if b.Refused(at(now), d, 1, 1) {
					turnedAway++
				} else if b.Crashes(d) > 0 {
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
				if run := runs.Begin(name, 1, b.Crashes(1)); runs.End(run) {
					b.BrokeApart(at(now), 1, name, incarnation[u])
				} else {
					b.Broke(at(now), 1, name, incarnation[u])
				}
			}
			for range 4 {
				b.Broke(at(now), Digest(2+rng.IntN(callers)), name, incarnation[u])
			}
			b.Ended(at(now+50*ms), name, incarnation[u])
			incarnation[u]++
		}
		if reached > 3 || turnedAway > 0 {
			t.Errorf("seed %d: %d upstreams reached, callers turned away %d times", seed, reached, turnedAway)
		}
	}
}
