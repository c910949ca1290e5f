package gate

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

var self = cell.Member{ID: "e#1", Cell: "c", Peer: "p"}

// document returns a cell document with n ranges, owned in turn by the given upstreams.
func document(version uint64, n int, phase cell.Phase, owners ...string) *cell.Cell {
	c := &cell.Cell{Name: "c", Version: version, Fence: version, Quorum: cell.Quorum{Local: []cell.Member{self}}}
	for _, id := range owners {
		c.Upstreams = append(c.Upstreams, cell.Upstream{ID: id, Service: "s", State: cell.Active})
	}
	s := c.EnsureService("s")
	for i, span := range keyspace.FullSpan().Split(n) {
		s.Ranges = append(s.Ranges, cell.Range{Span: span, Epoch: version, Phase: phase, Owner: owners[i%len(owners)]})
	}
	return c
}

func newGate(t testing.TB, docs ...*cell.Cell) *Gate {
	t.Helper()
	g := New(self, fence.Limits{TTL: time.Hour}, time.Now)
	for _, d := range docs {
		g.Apply(d)
	}
	return g
}

// A route decided with the old table must not be admitted after the table has changed.
func TestEnterRejectsRouteFromOldTable(t *testing.T) {
	g := newGate(t, document(1, 4, cell.Owned, "u"))
	r := g.Route("s", 0)
	if r.Destination != Local {
		t.Fatalf("routed to %v", r.Destination)
	}
	g.Apply(document(2, 4, cell.Releasing, "u"))
	if got := g.Enter(r); got != RouteChanged {
		t.Errorf("Enter returned %v, want Moved", got)
	}
	if len(g.BusyRanges()) > 0 {
		t.Error("a rejected request is counted as in flight")
	}
}

// Requests enter and leave concurrently while the table changes. Once no range is busy after a
// change, no request may be in flight on a range that was released.
func TestBusyRangesCoverRequestsInFlight(t *testing.T) {
	g := newGate(t, document(1, 4, cell.Owned, "u"))
	var inFlight sync.Map
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range 4 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := g.Route("s", 0)
				if r.Destination != Local || g.Enter(r) != Admitted {
					continue
				}
				inFlight.Store(i, r.Slot.Epoch)
				inFlight.Delete(i)
				g.Leave(r.Slot)
			}
		}()
	}
	for version := uint64(2); version < 400; version += 2 {
		g.Apply(document(version, 4, cell.Releasing, "u"))
		for len(g.BusyRanges()) > 0 {
			time.Sleep(time.Microsecond)
		}
		inFlight.Range(func(_, epoch any) bool {
			if epoch.(uint64) < version {
				t.Errorf("version %d: a request of epoch %d is still in flight", version, epoch)
			}
			return true
		})
		g.Apply(document(version+1, 4, cell.Owned, "u"))
	}
	close(stop)
	wait.Wait()
}

func TestNoRightToSendWithoutMajority(t *testing.T) {
	other := cell.Member{ID: "f#1", Cell: "c", Peer: "q"}
	third := cell.Member{ID: "g#1", Cell: "c", Peer: "r"}
	doc := document(1, 1, cell.Owned, "u")
	doc.Quorum.Local = []cell.Member{self, other, third}
	g := newGate(t, doc)
	r := g.Route("s", 0)
	if got := g.Enter(r); got != NoRight {
		t.Fatalf("Enter returned %v, want NoRight", got)
	}
	g.RecordPromise("not-a-voter", time.Now())
	if g.MaySend() {
		t.Error("a promise from a member that is not a voter counts")
	}
	g.RecordPromise(other.ID, time.Now())
	if !g.MaySend() {
		t.Error("no right to send with promises from two of three voters")
	}
	g.RaiseFence("c", 2)
	if g.MaySend() {
		t.Error("the entry may send with a document older than the fence")
	}
}

func TestOlderDocumentsAreIgnored(t *testing.T) {
	g := newGate(t, document(5, 1, cell.Owned, "new"), document(4, 1, cell.Owned, "old"))
	if r := g.Route("s", 0); r.Slot.Owner != "new" {
		t.Errorf("owner %q", r.Slot.Owner)
	}
	d := &cell.Directory{Service: "x", Version: 2, Segments: []cell.Segment{{Span: keyspace.FullSpan(), Cell: "b"}}}
	g.ApplyDirectory(d)
	g.ApplyDirectory(&cell.Directory{Service: "x", Version: 1, Segments: []cell.Segment{{Span: keyspace.FullSpan(), Cell: "z"}}})
	if r := g.Route("x", 7); r.Destination != Remote || r.Cell != "b" {
		t.Errorf("routed to %v %q", r.Destination, r.Cell)
	}
}

var sink Route

func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{1_000, 50_000, 500_000} {
		b.Run(fmt.Sprintf("ranges=%d", n), func(b *testing.B) {
			g := newGate(b, document(1, n, cell.Owned, "u", "v"))
			rng := rand.New(rand.NewPCG(1, 2))
			keys := make([]string, 4096)
			for i := range keys {
				keys[i] = fmt.Sprintf("subscriber-%d", rng.Uint64())
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				sink = g.Route("s", keyspace.HashKey(keys[i%len(keys)]))
				if g.Enter(sink) == Admitted {
					g.Leave(sink.Slot)
				}
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, n := range []int{200, 800, 3200} {
		b.Run(fmt.Sprintf("ranges=%d", n), func(b *testing.B) {
			docs := []*cell.Cell{document(1, n, cell.Owned, "u"), document(2, n, cell.Owned, "u")}
			b.ReportAllocs()
			for i := uint64(1); b.Loop(); i++ {
				b.StopTimer()
				g := newGate(b, docs[0])
				b.StartTimer()
				g.Apply(docs[1])
			}
		})
	}
}
