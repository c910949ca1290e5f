package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

func TestSpaceSavingFindsTheMostFrequent(t *testing.T) {
	s := NewSpaceSaving(64)
	rng := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(rng, 1.2, 1, 100_000)
	exact := make(map[keyspace.Hash]uint64)
	for range 200_000 {
		h := keyspace.Hash(zipf.Uint64())
		exact[h]++
		s.Add(h, 1)
	}
	for i, k := range s.Top(5) {
		if k.Hash != keyspace.Hash(i) {
			t.Errorf("rank %d is %d", i, k.Hash)
		}
		if k.Count < exact[k.Hash] || k.Count-k.Error > exact[k.Hash] {
			t.Errorf("rank %d: count %d, error %d, exact %d", i, k.Count, k.Error, exact[k.Hash])
		}
	}
}

func TestRateAfterSplitAndExpiry(t *testing.T) {
	a := NewAggregator()
	now := time.Unix(1000, 0)
	whole := keyspace.FullSpan()
	a.Report(now, "e", []RangeRate{{"s", whole, 100}}, nil, time.Second)
	halves := whole.Split(2)
	a.Report(now, "e", []RangeRate{{"s", halves[0], 50}, {"s", halves[1], 50}}, nil, time.Second)
	if got := a.Rate("s", halves[0]); got < 49 || got > 51 {
		t.Errorf("rate of one half %f", got)
	}
	a.Report(now, "f", []RangeRate{{"s", whole, 10}}, nil, time.Second)
	if got := a.Rate("s", whole); got < 109 || got > 111 {
		t.Errorf("rate over all entries %f", got)
	}
	a.Report(now.Add(time.Minute), "f", []RangeRate{{"s", whole, 10}}, nil, time.Second)
	if got := a.Rate("s", whole); got > 11 {
		t.Errorf("rate %f after the report of an entry has expired", got)
	}
}

func TestCellsKeepTheLatestReport(t *testing.T) {
	c := NewCells()
	now := time.Unix(1000, 0)
	c.Add(now, CellLoad{Cell: "a", Service: "s", Rate: 5, Upstreams: 2, At: 7})
	c.Add(now, CellLoad{Cell: "a", Service: "s", Rate: 1, Upstreams: 2, At: 6})
	if got := c.All(now); len(got) != 1 || got[0].Relative() != 2.5 {
		t.Errorf("loads %+v", got)
	}
	if got := c.All(now.Add(time.Hour)); len(got) != 0 {
		t.Errorf("loads %+v after an hour", got)
	}
}
