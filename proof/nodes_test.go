package proof

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/transport/platform"
)

type entryNode struct {
	w      *world
	slot   string
	rate   float64
	self   cell.Member
	core   *controller.Core
	gate   *gate.Gate
	book   *lease.Tracker
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
	e.book = lease.NewTracker(lease.Limits{TTL: l.LeaseTTL, DriftPercent: l.Fence.DriftPercent})
	if cellOf != cellName {
		return
	}
	e.core.OnDirectory(&cell.Directory{
		Service: serviceName, Version: 1,
		Segments: []cell.Segment{{Span: keyspace.Whole(), Cell: cellName}},
	})
	e.core.OnRoster(e.clock(), e.w.otherRoster())
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

// read takes the cell document from the platform, as the controller does.
func (e *entryNode) read() {
	if e.w.down || !e.w.connected(e.slot, "platform") || !e.core.Leads(e.clock()) {
		return
	}
	obj, err := e.w.store.Get(context.Background(), platform.KindCell, cellName)
	if errors.Is(err, platform.ErrNotFound) {
		e.core.OnDocumentMissing()
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
			e.book.MarkUsable(e.clock(), u.ID)
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
	seen := e.book.Observations(askedAt)
	w.send(e.slot, other.slot, func() {
		if other.dead || other.paused || other.self.ID != to.ID {
			return
		}
		other.core.OnVersion(other.clock(), self, version)
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
			e.core.OnVersion(e.clock(), to, theirs)
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
	for _, s := range e.book.Observations(e.clock()) {
		e.core.OnObservation(e.clock(), e.self.ID, s.Upstream, s.Observation)
	}
	for _, up := range doc.Upstreams {
		u := e.w.byUpstream(up.ID)
		r, ok := e.book.NextRenewal(e.clock(), e.gate.RightUntil(), up)
		if !ok {
			continue
		}
		book, starts := e.book, u.starts
		fail := func(refused bool) func() { return func() { book.RecordFailure(e.clock(), u.id, refused) } }
		e.w.send(e.slot, u.id, func() {
			u.handle(starts, func() {
				u.own.Renew(r)
				st := u.own.Status()
				e.w.send(u.id, e.slot, func() { book.RecordAnswer(e.clock(), u.id, st) }, fail(false))
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
	case controller.WriteDocument:
		fail := e.answer(func() { core.OnWritten(e.clock(), cmd, 0, errLost) })
		w.send(e.slot, "platform", func() { w.put(e, cmd) }, fail)
	case controller.Apply:
		fail := e.answer(func() { core.OnApplied(e.clock(), cmd, controller.ApplyResult{}, errLost) })
		w.send(e.slot, cmd.To.Peer, func() { w.apply(e, cmd, fail) }, fail)
	case controller.RaiseFence:
		fail := e.answer(func() { core.OnApplied(e.clock(), cmd, controller.ApplyResult{}, errLost) })
		w.send(e.slot, cmd.To.Peer, func() {
			v := w.byMember(cmd.To)
			if v.dead || v.paused || v.self.ID != cmd.To.ID {
				fail()
				return
			}
			ack := v.gate.Raise(cellName, cmd.Fence)
			w.send(v.slot, e.slot, e.answer(func() {
				core.OnApplied(e.clock(), cmd, controller.ApplyResult{Ack: ack}, nil)
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
	case controller.ResetUpstream:
		w.order(e, cmd.Upstream.ID, func(u *upstreamNode) bool {
			u.own.Reset()
			return true
		}, func(boot string, err error) { core.OnReset(e.clock(), cmd, boot, err) })
	case controller.PublishRoster:
		core.OnRosterPublished(e.clock(), cmd, nil)
	}
}
