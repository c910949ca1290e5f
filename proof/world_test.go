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
	points      = 8
)

var epoch0 = time.Unix(1_000_000, 0)

var errLost = errors.New("message lost")

// message is something under way: it takes effect when it is delivered, or
// fails when it is dropped.
type message struct {
	from, to string
	deliver  func()
	drop     func()
	// held messages stay under way until they are picked or the faults end.
	held bool
}

// world is the state of one run.
type world struct {
	t         *rapid.T
	now       time.Duration
	store     *platform.Memory
	down      bool
	loseWrite bool
	entries   []*entryNode
	upstreams []*upstreamNode
	cuts      map[string]bool
	messages  []message
	writes    int
	checked   bool
	wants     controller.DesiredState
	// epochs are the highest epochs that ran, by point.
	epochs map[keyspace.Hash]uint64
	owners map[keyspace.Hash]string
	runs   int
	looks  int
}

func newWorld(t *rapid.T, checked bool, entries, witnesses, upstreams int) *world {
	w := &world{
		t:       t,
		store:   platform.NewMemory(),
		cuts:    make(map[string]bool),
		checked: checked,
		epochs:  make(map[keyspace.Hash]uint64),
		owners:  make(map[keyspace.Hash]string),
	}
	rates := []float64{1, 0.992, 1.008}
	for i := range entries {
		e := &entryNode{w: w, slot: fmt.Sprintf("e%d", i), rate: rates[i%3]}
		e.start(cellName)
		w.entries = append(w.entries, e)
	}
	for i := range witnesses {
		e := &entryNode{w: w, slot: fmt.Sprintf("x%d", i), rate: rates[(i+1)%3]}
		e.start("other")
		w.entries = append(w.entries, e)
	}
	for i := range upstreams {
		u := &upstreamNode{w: w, id: fmt.Sprintf("u%d", i), rate: rates[(i+2)%3]}
		u.start()
		w.upstreams = append(w.upstreams, u)
		w.wants.Upstreams = append(w.wants.Upstreams, cell.Upstream{ID: u.id, Service: serviceName, Addr: u.id})
	}
	return w
}

func (w *world) limits() controller.Limits {
	l := controller.DefaultLimits()
	l.RangesPerUpstream = 2
	// Ownership must hold however soon an upstream is thought lost; sooner than
	// promises and leases end, the guards are needed most.
	l.Detect.SuspectAfter = 400 * time.Millisecond
	l.Detect.RefusedAfter = 200 * time.Millisecond
	return l
}

// otherRoster lists the witnesses at this moment.
func (w *world) otherRoster() *cell.Roster {
	r := &cell.Roster{Cell: "other", Domain: "other", Version: 1}
	for _, e := range w.entries {
		if e.self.Cell == "other" {
			r.Members = append(r.Members, e.self)
			r.Version += uint64(e.starts)
		}
	}
	return r
}

// ChecksFences implements controller.Services.
func (w *world) ChecksFences(string) bool { return w.checked }

func (w *world) newID() string {
	w.writes++
	return fmt.Sprintf("w%d", w.writes)
}

// roundRobin places ranges on upstreams in turn.
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

func (w *world) connected(a, b string) bool { return !w.cuts[a+"|"+b] && !w.cuts[b+"|"+a] }

// send puts a message under way. Between ends that are cut off it is lost.
func (w *world) send(from, to string, deliver, drop func()) {
	w.messages = append(w.messages, message{from: from, to: to, deliver: deliver, drop: drop})
}

// take removes message i and delivers it, or drops it when its ends are cut.
func (w *world) take(i int, lose bool) {
	effort.messages++
	m := w.messages[i]
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	if lose || !w.connected(m.from, m.to) {
		m.drop()
		return
	}
	m.deliver()
}

func (w *world) byMember(m cell.Member) *entryNode {
	for _, e := range w.entries {
		if e.slot == m.Peer {
			return e
		}
	}
	return nil
}

func (w *world) byUpstream(id string) *upstreamNode {
	for _, u := range w.upstreams {
		if u.id == id {
			return u
		}
	}
	return nil
}

// tick lets every running entry do what its loops do: beat, renew, step.
func (w *world) tick() {
	effort.looks++
	w.looks++
	for _, e := range w.entries {
		if e.dead || e.paused {
			continue
		}
		e.gate.Refresh()
		e.beat()
		if e.self.Cell == cellName {
			e.renew()
			e.core.OnRoster(e.clock(), w.otherRoster())
			e.read()
			e.step()
			w.request(e, pointOf(w.looks%points))
		}
	}
}

// put stores a document. The answer may be lost after the write took effect.
func (w *world) put(e *entryNode, cmd controller.WriteDocument) {
	core := e.core
	fail := e.answer(func() { core.OnWritten(e.clock(), cmd, 0, errLost) })
	if w.down {
		fail()
		return
	}
	w.checkWrite(cmd.Doc)
	version, err := platform.PutOwn(context.Background(), flaky{w}, platform.KindCell, cellName, cmd.Doc, cmd.Expect)
	w.send("platform", e.slot, e.answer(func() {
		if err == nil {
			e.takeDoc(cmd.Doc)
		}
		core.OnWritten(e.clock(), cmd, version, err)
	}), fail)
}

// flaky loses the answer of a write that took effect, when told to.
type flaky struct{ w *world }

func (f flaky) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	return f.w.store.Get(ctx, kind, name)
}

func (f flaky) Put(ctx context.Context, obj platform.Object, expect uint64) (uint64, error) {
	version, err := f.w.store.Put(ctx, obj, expect)
	if f.w.loseWrite {
		f.w.loseWrite = false
		return 0, errLost
	}
	return version, err
}

func (f flaky) List(ctx context.Context, kind string) (platform.Batch, error) {
	return f.w.store.List(ctx, kind)
}

func (f flaky) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (platform.Batch, error) {
	return f.w.store.Watch(ctx, kind, after, wait)
}

func (f flaky) VMs(ctx context.Context) ([]platform.VM, error) { return f.w.store.VMs(ctx) }

// checkWrite checks that no epoch falls from one stored document to the next.
func (w *world) checkWrite(next *cell.Cell) {
	if err := next.Validate(); err != nil {
		w.t.Fatalf("document to be written: %v", err)
	}
	obj, err := w.store.Get(context.Background(), platform.KindCell, cellName)
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
			w.t.Fatalf("version %d: epoch of %s fell below %d", next.Version, r.Span, r.Epoch)
		}
	}
}

func (w *world) apply(from *entryNode, cmd controller.Apply, fail func()) {
	v := w.byMember(cmd.To)
	if v.dead || v.paused || v.self.ID != cmd.To.ID {
		fail()
		return
	}
	v.takeDoc(cmd.Doc)
	a := controller.ApplyResult{
		Ack:     v.gate.Raise(cellName, cmd.Doc.Fence),
		Version: cmd.Doc.Version,
		Busy:    v.gate.Busy(),
		Leases:  v.book.LostLeases(v.clock()),
	}
	core := from.core
	w.send(v.slot, from.slot, from.answer(func() { core.OnApplied(from.clock(), cmd, a, nil) }), fail)
}

// order sends a control message to an upstream.
func (w *world) order(e *entryNode, id string, act func(*upstreamNode) bool, done func(string, error)) {
	u := w.byUpstream(id)
	fail := e.answer(func() { done("", errLost) })
	starts := u.starts
	w.send(e.slot, id, func() {
		u.handle(starts, func() {
			ok := act(u)
			boot := u.own.Status().Boot
			if !ok {
				fail()
				return
			}
			w.send(id, e.slot, e.answer(func() { done(boot, nil) }), fail)
		}, fail)
	}, fail)
}

// pointOf returns one of a few points that stand for all keys.
func pointOf(i int) keyspace.Hash {
	return keyspace.Hash(uint64(i)*(1<<61) + 12345)
}

// request sends one request through an entry. The process may be paused
// between its check and its send: the message is then delivered much later.
func (w *world) request(e *entryNode, h keyspace.Hash) {
	if e.dead || e.paused || e.self.Cell != cellName {
		return
	}
	route := e.gate.Route(serviceName, h)
	if route.Where != gate.Local || e.gate.Enter(route) != gate.Passed {
		return
	}
	slot, g := route.Slot, e.gate
	u := w.byUpstream(slot.Owner)
	starts := u.starts
	leave := func() { g.Leave(slot) }
	deadline := w.now + w.limits().MaxDeadline
	w.send(e.slot, u.id, func() {
		u.handle(starts, func() {
			if w.now < deadline {
				w.run(u, h, slot.Epoch)
			}
			w.send(u.id, e.slot, leave, leave)
		}, leave)
	}, leave)
}

// run is the execution of a request at an upstream.
func (w *world) run(u *upstreamNode, h keyspace.Hash, epoch uint64) {
	if w.checked {
		if owned, _ := u.own.Check(h, epoch); !owned {
			return
		}
	}
	w.runs++
	if epoch < w.epochs[h] {
		w.t.Fatalf("%s ran %s at epoch %d after %s at epoch %d", u.id, h, epoch, w.owners[h], w.epochs[h])
	}
	if epoch == w.epochs[h] && w.owners[h] != u.id {
		w.t.Fatalf("%s and %s ran %s at epoch %d", u.id, w.owners[h], h, epoch)
	}
	w.epochs[h], w.owners[h] = epoch, u.id
}

// oneOwner checks that at most one upstream would run each point.
func (w *world) oneOwner() {
	if !w.checked {
		return
	}
	for i := range points {
		h := pointOf(i)
		owner := ""
		for _, u := range w.upstreams {
			if u.dead || !u.own.Holds(h) {
				continue
			}
			if owner != "" {
				w.t.Fatalf("at %s both %s and %s own %s", w.now, owner, u.id, h)
			}
			owner = u.id
		}
	}
}
