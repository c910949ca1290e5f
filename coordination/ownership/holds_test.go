package ownership

import (
	"errors"
	"math/rand/v2"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

// holdLease is one that an upstream really has in a test.
type holdLease struct {
	upstream string
	fence    uint64
	until    time.Time
}

// holdModel is a set of upstreams that check fences, with the grants in flight to them.
type holdModel struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Time
	holds  *Holds
	fences map[string]*[modelKeys]uint64
	leases [modelKeys][]holdLease
	flying []*flyingGrant
	fence  uint64
}

// flyingGrant is a grant that arrives at some moment before it ends, or never.
type flyingGrant struct {
	call             *GrantCall
	arrives, ends    time.Time
	arrived, refused bool
}

const (
	modelKeys = 24
	modelHold = time.Second
)

func (m *holdModel) randomKeys() spans.KeyRange {
	first := m.rng.IntN(modelKeys)
	return spans.KeyRange{First: uint16(first), Last: uint16(first + m.rng.IntN(modelKeys-first))}
}

// arrive carries out a grant at its upstream and fails the test if another one holds a key.
func (m *holdModel) arrive(f *flyingGrant) {
	f.arrived = true
	c := f.call
	seen := m.fences[c.to.ID]
	for key := c.keys.First; key <= c.keys.Last; key++ {
		f.refused = f.refused || seen[key] > c.fence
	}
	if f.refused {
		return
	}
	for key := c.keys.First; key <= c.keys.Last; key++ {
		seen[key] = c.fence
		for _, l := range m.leases[key] {
			if l.upstream != c.to.ID && m.now.Before(l.until) {
				m.t.Fatalf("key %d granted to %s while %s holds it for %s", key, c.to.ID, l.upstream, l.until.Sub(m.now))
			}
		}
		// The clock of the upstream is slow.
		m.leases[key] = append(m.leases[key], holdLease{upstream: c.to.ID, fence: c.fence, until: m.now.Add(c.hold * 102 / 100)})
	}
}

// advance lets time pass and the grants arrive and end that are due.
func (m *holdModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(10 * time.Millisecond) {
		kept := m.flying[:0]
		for _, f := range m.flying {
			if !f.arrived && !m.now.Before(f.arrives) {
				m.arrive(f)
			}
			if m.now.Before(f.ends) {
				kept = append(kept, f)
				continue
			}
			m.holds.End(m.now, f.call, !f.refused)
		}
		m.flying = kept
	}
}

// send begins a grant of keys, which may be a part or a union of what was granted before.
func (m *holdModel) send(keys spans.KeyRange, upstream string, fence uint64) {
	c, err := m.holds.Begin(m.now, keys, Process{ID: upstream}, fence, modelHold)
	if err != nil {
		if !errors.As(err, new(*HeldError)) {
			m.t.Fatal(err)
		}
		return
	}
	ends := m.now.Add(time.Duration(m.rng.IntN(250)) * time.Millisecond)
	f := &flyingGrant{call: c, ends: ends, arrives: ends.Add(time.Hour)}
	if m.rng.IntN(4) > 0 {
		f.arrives = m.now.Add(time.Duration(m.rng.Int64N(int64(ends.Sub(m.now)) + 1)))
	}
	m.flying = append(m.flying, f)
}

// release takes keys from an upstream; answered ends its leases at the upstream and in the record.
func (m *holdModel) release(keys spans.KeyRange, upstream string, fence uint64) {
	for key := keys.First; key <= keys.Last; key++ {
		m.fences[upstream][key] = max(m.fences[upstream][key], fence)
		kept := m.leases[key][:0]
		for _, l := range m.leases[key] {
			if l.upstream != upstream {
				kept = append(kept, l)
			}
		}
		m.leases[key] = kept
	}
	m.holds.Release(keys, upstream, fence)
}

// TestHoldsNeverLetTwoUpstreamsHoldAKey guards against a second owner, whichever ranges are granted, renewed
// and released while grants without responses are in flight.
func TestHoldsNeverLetTwoUpstreamsHoldAKey(t *testing.T) {
	ids := []string{"a", "b", "c"}
	granted := 0
	for seed := range uint64(200) {
		m := &holdModel{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), fences: make(map[string]*[modelKeys]uint64)}
		m.holds = NewHolds(m.now)
		for _, id := range ids {
			m.fences[id] = new([modelKeys]uint64)
		}
		for range 200 {
			id := ids[m.rng.IntN(len(ids))]
			switch m.rng.IntN(4) {
			case 0:
				m.fence++
				m.release(m.randomKeys(), id, m.fence)
			case 1:
				m.fence++
				m.send(m.randomKeys(), id, m.fence)
			default:
				// A renewal by an earlier fence, of a span that may have been split since.
				m.send(m.randomKeys(), id, max(m.fence-uint64(m.rng.IntN(4)), 1))
			}
			m.advance(time.Duration(m.rng.IntN(400)) * time.Millisecond)
			granted += len(m.flying)
		}
	}
	if granted == 0 {
		t.Error("no grant was in flight")
	}
}

// TestReleasedKeysAreFreeAtOnce guards against keys that wait for a hold which their owner has given up.
func TestReleasedKeysAreFreeAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHolds(now)
	whole, part := spans.KeyRange{First: 0, Last: 99}, spans.KeyRange{First: 50, Last: 59}
	first, err := h.Begin(now, whole, Process{ID: "a"}, 1, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	h.End(now, first, true)
	renewal, err := h.Begin(now, whole, Process{ID: "a"}, 1, 4*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := h.Begin(now, part, Process{ID: "b"}, 2, 4*time.Second); !errors.As(err, new(*HeldError)) {
		t.Fatalf("granted while the owner holds the keys: %v", err)
	}
	h.Release(part, "a", 2)
	next, err := h.Begin(now, part, Process{ID: "b"}, 2, 4*time.Second)
	if err != nil {
		t.Fatalf("released keys are not free: %v", err)
	}
	h.End(now, next, true)
	h.End(now.Add(time.Second), renewal, true)
	if at := h.Until(now, part, "a"); !at.IsZero() {
		t.Errorf("a renewal that the owner refuses extends its hold until %s", at)
	}
	want := now.Add(time.Second).Add(HoldWithMargin(4 * time.Second))
	if at := h.Until(now, whole, "a"); !at.Equal(want) {
		t.Errorf("the rest is held until %s, want %s", at, want)
	}
	h.Terminated(Process{ID: "a"})
	if other, _ := h.Other(now, whole, "b"); other != "" {
		t.Errorf("%s has terminated and holds keys", other)
	}
}

// TestEndOfFormerStartEndsNoOtherHolds guards against holds that are forgotten when an earlier start of the
// upstream is found to have ended, also while grants to both are in flight.
func TestEndOfFormerStartEndsNoOtherHolds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	keys, other := spans.KeyRange{First: 0, Last: 9}, spans.KeyRange{First: 10, Last: 19}
	former, current := Process{"a", "10.0.0.1:1"}, Process{"a", "10.0.0.2:1"}
	h := NewHolds(now)
	begin := func(keys spans.KeyRange, to Process, fence uint64) *GrantCall {
		c, err := h.Begin(now, keys, to, fence, 4*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	renewal, grant := begin(keys, former, 1), begin(keys, current, 2)
	h.End(now, begin(other, former, 1), true)
	h.End(now, grant, true)
	h.End(now.Add(time.Millisecond), renewal, true)
	pending := begin(keys, current, 2)
	h.Terminated(former)
	h.End(now, pending, true)
	if id, _ := h.Other(now, keys, "b"); id != "a" {
		t.Error("the hold of the current start was forgotten")
	}
	if id, _ := h.Other(now, other, "b"); id != "" {
		t.Error("the former start has ended and holds keys")
	}
	h.Terminated(current)
	if id, _ := h.Other(now, keys, "b"); id != "" {
		t.Error("the current start has ended and holds keys")
	}
}

// BenchmarkHolds measures the record of one round of renewals of all spans, with the calls of a leader's
// slots in flight.
func BenchmarkHolds(b *testing.B) {
	const slots = 32
	for _, count := range []int{300, 3300} {
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			now := time.Unix(1_000_000, 0)
			h, flying := NewHolds(now), make([]*GrantCall, 0, slots)
			b.ReportAllocs()
			for b.Loop() {
				for i := range count {
					keys := spans.KeyRange{First: uint16(i * (spans.MaxKey + 1) / count), Last: uint16((i+1)*(spans.MaxKey+1)/count - 1)}
					c, err := h.Begin(now, keys, Process{ID: strconv.Itoa(i % 100)}, 1, 4*time.Second)
					if err != nil {
						b.Fatal(err)
					}
					if flying = append(flying, c); len(flying) == slots {
						h.End(now, flying[0], true)
						flying = append(flying[:0], flying[1:]...)
					}
				}
				for _, c := range flying {
					h.End(now, c, true)
				}
				flying = flying[:0]
			}
		})
	}
}

// TestTerminatedNeedsNoLargeStack guards against a copy of the record on the stack of each move that learns
// of a terminated upstream.
func TestTerminatedNeedsNoLargeStack(t *testing.T) {
	const goroutines, maxBytes = 32, 16 << 20
	h := NewHolds(time.Unix(1_000_000, 0))
	stacks := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.StackInuse
	}
	var mu sync.Mutex
	var called, ended sync.WaitGroup
	before, end := stacks(), make(chan struct{})
	for range goroutines {
		called.Add(1)
		ended.Go(func() {
			mu.Lock()
			h.Terminated(Process{ID: "a"})
			mu.Unlock()
			called.Done()
			<-end
		})
	}
	called.Wait()
	if grown := stacks() - min(before, stacks()); grown > maxBytes {
		t.Errorf("the stacks of %d goroutines have grown by %d MB", goroutines, grown>>20)
	}
	close(end)
	ended.Wait()
}
