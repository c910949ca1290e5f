package proof

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/transport/platform"
)

const (
	serviceName = "s"
	cellName    = "c"
	numPoints   = 8
)

var startTime = time.Unix(1_000_000, 0)

var errMessageLost = errors.New("message lost")

// message is a message in flight. Its effect is deliver if it arrives and drop if it
// is lost.
type message struct {
	from, to string
	deliver  func()
	drop     func()
	// held messages stay in flight until an action picks them or the faults end.
	held bool
}

// simulation is the state of one run: the nodes, the network and the faults.
type simulation struct {
	t                 *rapid.T
	counts            *workCounts
	now               time.Duration
	store             *platform.Memory
	platformDown      bool
	loseWriteResponse bool
	entries           []*entryNode
	upstreams         []*upstreamNode
	cutLinks          map[string]bool
	messages          []message
	writes            int
	fencedUpstreams   bool
	desired           controller.DesiredState
	// lastEpochs and lastOwners hold, by key, the epoch and the upstream of the
	// last executed request.
	lastEpochs map[keyspace.Hash]uint64
	lastOwners map[keyspace.Hash]string
	executed   int
	ticks      int
}

func newSimulation(t *rapid.T, counts *workCounts, fencedUpstreams bool, entries, witnesses, upstreams int) *simulation {
	sim := &simulation{
		t:               t,
		counts:          counts,
		store:           platform.NewMemory(),
		cutLinks:        make(map[string]bool),
		fencedUpstreams: fencedUpstreams,
		lastEpochs:      make(map[keyspace.Hash]uint64),
		lastOwners:      make(map[keyspace.Hash]string),
	}
	rates := []float64{1, 0.992, 1.008}
	for i := range entries {
		e := &entryNode{sim: sim, name: fmt.Sprintf("e%d", i), rate: rates[i%3]}
		e.start(cellName)
		sim.entries = append(sim.entries, e)
	}
	for i := range witnesses {
		e := &entryNode{sim: sim, name: fmt.Sprintf("x%d", i), rate: rates[(i+1)%3]}
		e.start("other")
		sim.entries = append(sim.entries, e)
	}
	for i := range upstreams {
		u := &upstreamNode{sim: sim, id: fmt.Sprintf("u%d", i), rate: rates[(i+2)%3]}
		u.start()
		sim.upstreams = append(sim.upstreams, u)
		sim.desired.Upstreams = append(sim.desired.Upstreams, cell.Upstream{ID: u.id, Service: serviceName, Addr: u.id})
	}
	return sim
}

func (sim *simulation) limits() controller.Limits {
	l := controller.DefaultLimits()
	l.RangesPerUpstream = 2
	// Ownership must stay exclusive however early an upstream is declared lost.
	// Detection is faster here than promises and leases expire, because then
	// correctness depends on the fence and the leases alone.
	l.Detect.SuspectAfter = 400 * time.Millisecond
	l.Detect.RefusedAfter = 200 * time.Millisecond
	return l
}

// witnessRoster returns the roster of the cell of the witnesses as it is now.
func (sim *simulation) witnessRoster() *cell.Roster {
	r := &cell.Roster{Cell: "other", Domain: "other", Version: 1}
	for _, e := range sim.entries {
		if e.self.Cell == "other" {
			r.Members = append(r.Members, e.self)
			r.Version += uint64(e.starts)
		}
	}
	return r
}

// ChecksFences implements controller.Services.
func (sim *simulation) ChecksFences(string) bool { return sim.fencedUpstreams }

func (sim *simulation) newID() string {
	sim.writes++
	return fmt.Sprintf("w%d", sim.writes)
}

// roundRobin assigns ranges to the upstreams in turn.
type roundRobin struct{}

// Place implements controller.Placer.
func (roundRobin) Place(doc *cell.Cell, service string, spans []keyspace.Span, avoid string) []string {
	var ids []string
	for _, u := range doc.UpstreamsOf(service, cell.Active) {
		if u.Boot != "" && u.ID != avoid {
			ids = append(ids, u.ID)
		}
	}
	out := make([]string, len(spans))
	for i := range spans {
		if len(ids) > 0 {
			out[i] = ids[i%len(ids)]
		}
	}
	return out
}

// connected reports whether the link between two nodes is not cut.
func (sim *simulation) connected(a, b string) bool {
	return !sim.cutLinks[a+"|"+b] && !sim.cutLinks[b+"|"+a]
}

// send adds a message to those in flight. It is lost if the link is cut at the time
// of its delivery.
func (sim *simulation) send(from, to string, deliver, drop func()) {
	sim.messages = append(sim.messages, message{from: from, to: to, deliver: deliver, drop: drop})
}

// deliverOrDrop removes message i and delivers it, or drops it if lose is set or its
// link is cut.
func (sim *simulation) deliverOrDrop(i int, lose bool) {
	sim.counts.messages++
	m := sim.messages[i]
	sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	if lose || !sim.connected(m.from, m.to) {
		m.drop()
		return
	}
	m.deliver()
}

func (sim *simulation) entryByMember(m cell.Member) *entryNode {
	for _, e := range sim.entries {
		if e.name == m.Peer {
			return e
		}
	}
	return nil
}

func (sim *simulation) upstreamByID(id string) *upstreamNode {
	for _, u := range sim.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// tick runs the periodic work of every running entry once: heartbeats, lease
// renewals, controller steps and one request.
func (sim *simulation) tick() {
	sim.counts.ticks++
	sim.ticks++
	for _, e := range sim.entries {
		if e.dead || e.paused {
			continue
		}
		e.gate.Refresh()
		e.sendHeartbeats()
		if e.self.Cell == cellName {
			e.renewLeases()
			e.core.OnRoster(e.clock(), sim.witnessRoster())
			e.readPlatform()
			e.step()
			sim.request(e, pointOf(sim.ticks%numPoints))
		}
	}
}

// put stores a cell document. The response may be lost after the write took effect.
func (sim *simulation) put(e *entryNode, cmd controller.WriteDocument) {
	core := e.core
	fail := e.ifRunning(func() { core.OnWritten(e.clock(), cmd, 0, errMessageLost) })
	if sim.platformDown {
		fail()
		return
	}
	sim.checkWrite(cmd.Doc)
	version, err := platform.PutWithWriteID(context.Background(), lossyStore{sim}, platform.KindCell, cellName, cmd.Doc, cmd.Expect)
	sim.send("platform", e.name, e.ifRunning(func() {
		if err == nil {
			e.applyDocument(cmd.Doc)
		}
		core.OnWritten(e.clock(), cmd, version, err)
	}), fail)
}

// lossyStore is a store that loses the response to the next write, after the write took
// effect, if loseWriteResponse is set.
type lossyStore struct{ sim *simulation }

func (f lossyStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	return f.sim.store.Get(ctx, kind, name)
}

func (f lossyStore) Put(ctx context.Context, obj platform.Object, expect uint64) (uint64, error) {
	version, err := f.sim.store.Put(ctx, obj, expect)
	if f.sim.loseWriteResponse {
		f.sim.loseWriteResponse = false
		return 0, errMessageLost
	}
	return version, err
}

func (f lossyStore) List(ctx context.Context, kind string) (platform.Batch, error) {
	return f.sim.store.List(ctx, kind)
}

func (f lossyStore) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (platform.Batch, error) {
	return f.sim.store.Watch(ctx, kind, after, wait)
}

func (f lossyStore) VMs(ctx context.Context) ([]platform.VM, error) { return f.sim.store.VMs(ctx) }

// checkWrite checks that the document is valid and that no epoch is lower than in the
// stored document.
func (sim *simulation) checkWrite(next *cell.Cell) {
	if err := next.Validate(); err != nil {
		sim.t.Fatalf("invalid document to be written: %v", err)
	}
	obj, err := sim.store.Get(context.Background(), platform.KindCell, cellName)
	if err != nil {
		return
	}
	old, err := cell.Decode(obj.Value)
	if err != nil || old.Version+1 != next.Version {
		return
	}
	a, b := old.Service(serviceName), next.Service(serviceName)
	if a == nil || b == nil {
		return
	}
	for _, r := range a.Ranges {
		i := b.Find(r.First)
		if i < 0 || b.Ranges[i].Epoch < r.Epoch {
			sim.t.Fatalf("version %d: epoch of %s fell below %d", next.Version, r.Span, r.Epoch)
		}
	}
}

// apply handles an Apply command at its voter.
func (sim *simulation) apply(from *entryNode, cmd controller.Apply, fail func()) {
	v := sim.entryByMember(cmd.To)
	if v.dead || v.paused || v.self.ID != cmd.To.ID {
		fail()
		return
	}
	v.applyDocument(cmd.Doc)
	a := controller.ApplyResult{
		Ack:     v.gate.RaiseFence(cellName, cmd.Doc.Fence),
		Version: cmd.Doc.Version,
		Busy:    v.gate.BusyRanges(),
		Leases:  v.leases.LostLeases(v.clock()),
	}
	core := from.core
	sim.send(v.name, from.name, from.ifRunning(func() { core.OnApplied(from.clock(), cmd, a, nil) }), fail)
}

// sendControl sends a control message to an upstream and reports its boot ID or an
// error to done.
func (sim *simulation) sendControl(e *entryNode, id string, act func(*upstreamNode) bool, done func(string, error)) {
	u := sim.upstreamByID(id)
	fail := e.ifRunning(func() { done("", errMessageLost) })
	starts := u.starts
	sim.send(e.name, id, func() {
		u.handle(starts, func() {
			ok := act(u)
			boot := u.ownership.Status().Boot
			if !ok {
				fail()
				return
			}
			sim.send(id, e.name, e.ifRunning(func() { done(boot, nil) }), fail)
		}, fail)
	}, fail)
}

// pointOf returns one of a few hashes that stand for all keys.
func pointOf(i int) keyspace.Hash {
	return keyspace.Hash(uint64(i)*(1<<61) + 12345)
}

// request sends one request through an entry. Late delivery of the message also
// simulates an entry that is paused between checking its right to send and sending.
func (sim *simulation) request(e *entryNode, h keyspace.Hash) {
	if e.dead || e.paused || e.self.Cell != cellName {
		return
	}
	route := e.gate.Route(serviceName, h)
	if route.Destination != gate.Local || e.gate.Enter(route) != gate.Admitted {
		return
	}
	slot, g := route.Slot, e.gate
	u := sim.upstreamByID(slot.Owner)
	starts := u.starts
	leave := func() { g.Leave(slot) }
	deadline := sim.now + sim.limits().MaxDeadline
	sim.send(e.name, u.id, func() {
		u.handle(starts, func() {
			if sim.now < deadline {
				sim.execute(u, h, slot.Epoch)
			}
			sim.send(u.id, e.name, leave, leave)
		}, leave)
	}, leave)
}

// execute runs a request at an upstream and checks that no request ran before at a
// newer epoch, or at another upstream at the same epoch.
func (sim *simulation) execute(u *upstreamNode, h keyspace.Hash, epoch uint64) {
	if sim.fencedUpstreams {
		if owned, _ := u.ownership.Check(h, epoch); !owned {
			return
		}
	}
	sim.executed++
	if epoch < sim.lastEpochs[h] {
		sim.t.Fatalf("%s ran %s at epoch %d after %s at epoch %d", u.id, h, epoch, sim.lastOwners[h], sim.lastEpochs[h])
	}
	if epoch == sim.lastEpochs[h] && sim.lastOwners[h] != u.id {
		sim.t.Fatalf("%s and %s ran %s at epoch %d", u.id, sim.lastOwners[h], h, epoch)
	}
	sim.lastEpochs[h], sim.lastOwners[h] = epoch, u.id
}

// checkSingleOwner checks that at most one running upstream holds each key. It does
// not apply to upstreams that do not check epochs: they serve requests for keys that
// they do not hold, so execute checks the order of those requests.
func (sim *simulation) checkSingleOwner() {
	if !sim.fencedUpstreams {
		return
	}
	for i := range numPoints {
		h := pointOf(i)
		owner := ""
		for _, u := range sim.upstreams {
			if u.dead || !u.ownership.Holds(h) {
				continue
			}
			if owner != "" {
				sim.t.Fatalf("at %s both %s and %s own %s", sim.now, owner, u.id, h)
			}
			owner = u.id
		}
	}
}
