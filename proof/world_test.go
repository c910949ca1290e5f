package proof

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/standin/upstream"
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
	wants     controller.Wants
	// epochs are the highest epochs that ran, by point.
	epochs map[keyspace.Hash]uint64
	owners map[keyspace.Hash]string
	runs   int
}

type entryNode struct {
	w      *world
	slot   string
	rate   float64
	self   cell.Member
	core   *controller.Core
	gate   *gate.Gate
	book   *lease.Book
	paused bool
	dead   bool
	starts int
}

type upstreamNode struct {
	w      *world
	id     string
	rate   float64
	own    *upstream.Ownership
	frozen bool
	dead   bool
	starts int
	// held are control messages and requests that wait while it is frozen.
	held []heldMessage
}

// heldMessage waits for a frozen process. It fails when the process ends.
type heldMessage struct{ run, fail func() }

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
	l.PartsPerUpstream = 2
	return l
}

func (e *entryNode) clock() time.Time {
	return epoch0.Add(time.Duration(float64(e.w.now) * e.rate))
}

func (e *entryNode) start(cellOf string) {
	e.starts++
	e.dead, e.paused = false, false
	e.self = cell.Member{
		ID: controller.MemberID(e.slot, time.Unix(0, int64(e.starts))), Domain: cellOf, Cell: cellOf, Peer: e.slot,
	}
	l := e.w.limits()
	e.core = controller.NewCore(e.self, l, roundRobin{}, e.w, e.w.newID)
	e.gate = gate.New(e.self, l.Fence, e.clock)
	e.book = lease.NewBook(lease.Limits{TTL: l.LeaseTTL, DriftPercent: l.Fence.DriftPercent})
	if cellOf != cellName {
		return
	}
	e.core.OnDirectory(&cell.Directory{
		Service: serviceName, Version: 1,
		Segments: []cell.Segment{{Span: keyspace.Whole(), Cell: cellName}},
	})
	e.core.OnRoster(e.clock(), e.w.otherRoster())
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

func (u *upstreamNode) clock() time.Duration {
	return time.Duration(float64(u.w.now) * u.rate)
}

func (u *upstreamNode) start() {
	u.starts++
	u.dead, u.frozen = false, false
	u.own = upstream.NewOwnership(u.clock, fmt.Sprintf("%s-boot%d", u.id, u.starts), 0)
}

// handle runs f now, or when the upstream wakes up. Requests to a process that
// has ended fail.
func (u *upstreamNode) handle(starts int, f func(), fail func()) {
	switch {
	case u.dead || u.starts != starts:
		fail()
	case u.frozen:
		u.held = append(u.held, heldMessage{f, fail})
	default:
		f()
	}
}

func (u *upstreamNode) wake() {
	u.frozen = false
	held := u.held
	u.held = nil
	for _, h := range held {
		h.run()
	}
}

// kill ends the process. What it held gets no answer.
func (u *upstreamNode) kill() {
	u.dead, u.frozen = true, false
	held := u.held
	u.held = nil
	for _, h := range held {
		h.fail()
	}
}

func (w *world) connected(a, b string) bool { return !w.cuts[a+"|"+b] && !w.cuts[b+"|"+a] }

// send puts a message under way. Between ends that are cut off it is lost.
func (w *world) send(from, to string, deliver, drop func()) {
	w.messages = append(w.messages, message{from: from, to: to, deliver: deliver, drop: drop})
}

// take removes message i and delivers it, or drops it when its ends are cut.
func (w *world) take(i int, lose bool) {
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
		}
	}
}

// read takes the cell document from the platform, as the controller does.
func (e *entryNode) read() {
	if e.w.down || !e.w.connected(e.slot, "platform") || !e.core.Leads(e.clock()) {
		return
	}
	obj, err := e.w.store.Get(context.Background(), platform.KindCell, cellName)
	if errors.Is(err, platform.ErrNotFound) {
		e.core.OnMissing()
		return
	}
	doc, err := cell.Decode(obj.Value)
	if err != nil {
		e.w.t.Fatalf("stored document: %v", err)
	}
	e.takeDoc(doc)
	e.core.OnDocument(e.clock(), doc, obj.Version)
}

func (e *entryNode) takeDoc(doc *cell.Cell) {
	before := e.gate.Version()
	e.gate.Apply(doc)
	if e.gate.Version() < before {
		e.w.t.Fatalf("%s: version went back from %d to %d", e.self.ID, before, e.gate.Version())
	}
	for _, u := range e.gate.Doc().Upstreams {
		if u.State == cell.Lost {
			e.book.MarkLost(e.clock(), u.ID)
		} else {
			e.book.MarkUsed(e.clock(), u.ID)
		}
	}
	e.core.OnDocument(e.clock(), doc, 0)
}

func (e *entryNode) beat() {
	doc := e.gate.Doc()
	for _, other := range e.w.entries {
		if other != e && (other.self.Cell == e.self.Cell || doc != nil && doc.Quorum.HasWide(other.self.ID)) {
			e.beatTo(other, doc)
		}
	}
}

func (e *entryNode) beatTo(other *entryNode, doc *cell.Cell) {
	w, askedAt, self, to := e.w, e.clock(), e.self, other.self
	var version uint64
	guest := true
	if doc != nil {
		version, guest = doc.Version, !doc.Quorum.HasLocal(e.self.ID)
	}
	seen := e.book.Seen(askedAt)
	w.send(e.slot, other.slot, func() {
		if other.dead || other.paused || other.self.ID != to.ID {
			return
		}
		other.core.OnBeat(other.clock(), self)
		for _, s := range seen {
			if other.self.Cell == cellName {
				other.core.OnObservation(other.clock(), self.ID, s.Upstream, s.Observation)
			}
		}
		granted := false
		if doc != nil {
			granted = other.gate.Promise(cellName, version, guest).Granted
		}
		theirs := other.gate.Version()
		w.send(other.slot, e.slot, func() {
			if e.dead || e.paused || e.self.ID != self.ID {
				return
			}
			if granted {
				e.gate.Promised(to.ID, askedAt)
			}
			e.core.OnBeat(e.clock(), to)
			if e.self.Cell == cellName && other.self.Cell == cellName && theirs > e.gate.Version() {
				e.pull(other)
			}
		}, func() {})
	}, func() {})
}

// pull takes the cell document of another entry.
func (e *entryNode) pull(other *entryNode) {
	id := e.self.ID
	e.w.send(e.slot, other.slot, func() {
		doc := other.gate.Doc()
		if other.dead || other.paused || doc == nil {
			return
		}
		e.w.send(other.slot, e.slot, func() {
			if !e.dead && !e.paused && e.self.ID == id {
				e.takeDoc(doc)
			}
		}, func() {})
	}, func() {})
}

func (e *entryNode) renew() {
	doc := e.gate.Doc()
	if doc == nil {
		return
	}
	for _, s := range e.book.Seen(e.clock()) {
		e.core.OnObservation(e.clock(), e.self.ID, s.Upstream, s.Observation)
	}
	for _, up := range doc.Upstreams {
		u := e.w.byUpstream(up.ID)
		r, ok := e.book.Renew(e.clock(), e.gate.RightUntil(), up)
		if !ok {
			continue
		}
		book, starts := e.book, u.starts
		fail := func(refused bool) func() { return func() { book.Failed(e.clock(), u.id, refused) } }
		e.w.send(e.slot, u.id, func() {
			u.handle(starts, func() {
				u.own.Renew(r)
				st := u.own.Status()
				e.w.send(u.id, e.slot, func() { book.Answered(e.clock(), u.id, st) }, fail(false))
			}, fail(u.dead))
		}, fail(false))
	}
}

func (e *entryNode) step() {
	for _, cmd := range e.core.Step(e.clock()) {
		e.execute(cmd)
	}
}

// answer wraps the end of a command: the core hears of it once, unless its
// process has ended since.
func (e *entryNode) answer(f func()) func() {
	starts := e.starts
	return func() {
		if !e.dead && e.starts == starts {
			f()
		}
	}
}

func (e *entryNode) execute(cmd controller.Command) {
	w, core := e.w, e.core
	switch cmd := cmd.(type) {
	case controller.Write:
		fail := e.answer(func() { core.OnWritten(e.clock(), cmd, 0, errLost) })
		w.send(e.slot, "platform", func() { w.put(e, cmd) }, fail)
	case controller.Apply:
		fail := e.answer(func() { core.OnApplied(e.clock(), cmd, controller.Applied{}, errLost) })
		w.send(e.slot, cmd.To.Peer, func() { w.apply(e, cmd, fail) }, fail)
	case controller.Raise:
		fail := e.answer(func() { core.OnApplied(e.clock(), cmd, controller.Applied{}, errLost) })
		w.send(e.slot, cmd.To.Peer, func() {
			v := w.byMember(cmd.To)
			if v.dead || v.paused || v.self.ID != cmd.To.ID {
				fail()
				return
			}
			ack := v.gate.Raise(cellName, cmd.Fence)
			w.send(v.slot, e.slot, e.answer(func() {
				core.OnApplied(e.clock(), cmd, controller.Applied{Ack: ack}, nil)
			}), fail)
		}, fail)
	case controller.SendGrants:
		w.order(e, cmd.Upstream.ID, func(u *upstreamNode) bool {
			return u.own.Grant(control.Grants{Boot: cmd.Upstream.Boot, Grants: cmd.Grants})
		}, func(_ string, err error) { core.OnGranted(e.clock(), cmd, err) })
	case controller.SendRevocations:
		w.order(e, cmd.Upstream.ID, func(u *upstreamNode) bool {
			u.own.Revoke(cmd.Revocations)
			return true
		}, func(_ string, err error) { core.OnRevoked(e.clock(), cmd, err) })
	case controller.Reset:
		w.order(e, cmd.Upstream.ID, func(u *upstreamNode) bool {
			u.own.Reset()
			return true
		}, func(boot string, err error) { core.OnReset(e.clock(), cmd, boot, err) })
	case controller.Publish:
		core.OnPublished(e.clock(), cmd, nil)
	}
}

// put stores a document. The answer may be lost after the write took effect.
func (w *world) put(e *entryNode, cmd controller.Write) {
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
	a := controller.Applied{
		Ack:     v.gate.Raise(cellName, cmd.Doc.Fence),
		Version: cmd.Doc.Version,
		Busy:    v.gate.Busy(),
		Leases:  v.book.Lost(v.clock()),
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
