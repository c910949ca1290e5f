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

// entryNode is a simulated entry process.
type entryNode struct {
	sim  *simulation
	name string
	// rate is the speed of the clock relative to the simulated time.
	rate   float64
	self   cell.Member
	core   *controller.Core
	gate   *gate.Gate
	leases *lease.Tracker
	paused bool
	dead   bool
	starts int
}

// upstreamNode is a simulated upstream process.
type upstreamNode struct {
	sim       *simulation
	id        string
	rate      float64
	ownership *upstream.Ownership
	frozen    bool
	dead      bool
	starts    int
	// queued holds control messages and requests that arrived while the upstream
	// was frozen.
	queued []queuedMessage
}

// queuedMessage waits until a frozen process resumes. It fails if the process ends.
type queuedMessage struct{ run, fail func() }

func (e *entryNode) clock() time.Time {
	return startTime.Add(time.Duration(float64(e.sim.now) * e.rate))
}

func (e *entryNode) start(homeCell string) {
	e.starts++
	e.dead, e.paused = false, false
	e.self = cell.Member{
		ID: controller.MemberID(e.name, time.Unix(0, int64(e.starts))), Domain: homeCell, Cell: homeCell, Peer: e.name,
	}
	l := e.sim.limits()
	e.core = controller.NewCore(e.self, l, roundRobin{}, e.sim, e.sim.newID)
	e.gate = gate.New(e.self, l.Fence, e.clock)
	e.leases = lease.NewTracker(lease.Limits{TTL: l.LeaseTTL, DriftPercent: l.Fence.DriftPercent})
	if homeCell != cellName {
		return
	}
	e.core.OnDirectory(&cell.Directory{
		Service: serviceName, Version: 1,
		Segments: []cell.Segment{{Span: keyspace.FullSpan(), Cell: cellName}},
	})
	e.core.OnRoster(e.clock(), e.sim.witnessRoster())
}

func (u *upstreamNode) clock() time.Duration {
	return time.Duration(float64(u.sim.now) * u.rate)
}

func (u *upstreamNode) start() {
	u.starts++
	u.dead, u.frozen = false, false
	u.ownership = upstream.NewOwnership(u.clock, fmt.Sprintf("%s-boot%d", u.id, u.starts), 0)
}

// handle runs f now, or when a frozen upstream resumes. It calls fail if the process
// of the given start count has ended.
func (u *upstreamNode) handle(starts int, f func(), fail func()) {
	switch {
	case u.dead || u.starts != starts:
		fail()
	case u.frozen:
		u.queued = append(u.queued, queuedMessage{f, fail})
	default:
		f()
	}
}

// resume ends a freeze and handles the queued messages.
func (u *upstreamNode) resume() {
	u.frozen = false
	queued := u.queued
	u.queued = nil
	for _, h := range queued {
		h.run()
	}
}

// kill ends the process. Its queued messages fail.
func (u *upstreamNode) kill() {
	u.dead, u.frozen = true, false
	queued := u.queued
	u.queued = nil
	for _, h := range queued {
		h.fail()
	}
}

// readPlatform reads the cell document from the platform, as the leading entry does.
func (e *entryNode) readPlatform() {
	if e.sim.platformDown || !e.sim.connected(e.name, "platform") || !e.core.Leads(e.clock()) {
		return
	}
	obj, err := e.sim.store.Get(context.Background(), platform.KindCell, cellName)
	if errors.Is(err, platform.ErrNotFound) {
		e.core.OnDocumentMissing()
		return
	}
	doc, err := cell.Decode(obj.Value)
	if err != nil {
		e.sim.t.Fatalf("stored document: %v", err)
	}
	e.applyDocument(doc)
	e.core.OnDocument(e.clock(), doc, obj.Version)
}

// applyDocument passes a cell document to the components of the entry.
func (e *entryNode) applyDocument(doc *cell.Cell) {
	before := e.gate.Version()
	e.gate.Apply(doc)
	if e.gate.Version() < before {
		e.sim.t.Fatalf("%s: version went back from %d to %d", e.self.ID, before, e.gate.Version())
	}
	for _, u := range e.gate.Doc().Upstreams {
		if u.State == cell.Lost {
			e.leases.MarkLost(e.clock(), u.ID)
		} else {
			e.leases.MarkUsable(e.clock(), u.ID)
		}
	}
	e.core.OnDocument(e.clock(), doc, 0)
}

// sendHeartbeats sends a heartbeat to the entries of the cell and to its witnesses.
func (e *entryNode) sendHeartbeats() {
	doc := e.gate.Doc()
	for _, other := range e.sim.entries {
		if other != e && (other.self.Cell == e.self.Cell || doc != nil && doc.Quorum.HasWide(other.self.ID)) {
			e.sendHeartbeat(other, doc)
		}
	}
}

// sendHeartbeat sends a heartbeat to another entry. It carries the observations of
// upstreams and asks for a promise.
func (e *entryNode) sendHeartbeat(other *entryNode, doc *cell.Cell) {
	sim, sentAt, self, to := e.sim, e.clock(), e.self, other.self
	var version uint64
	nonVoter := true
	if doc != nil {
		version, nonVoter = doc.Version, !doc.Quorum.HasLocal(e.self.ID)
	}
	observations := e.leases.Observations(sentAt)
	sim.send(e.name, other.name, func() {
		if other.dead || other.paused || other.self.ID != to.ID {
			return
		}
		other.core.OnVersion(other.clock(), self, version)
		for _, s := range observations {
			if other.self.Cell == cellName {
				other.core.OnObservation(other.clock(), self.ID, s.Upstream, s.Observation)
			}
		}
		granted := false
		if doc != nil {
			granted = other.gate.Promise(cellName, version, nonVoter).Granted
		}
		otherVersion := other.gate.Version()
		sim.send(other.name, e.name, func() {
			if e.dead || e.paused || e.self.ID != self.ID {
				return
			}
			if granted {
				e.gate.RecordPromise(to.ID, sentAt)
			}
			e.core.OnVersion(e.clock(), to, otherVersion)
			if e.self.Cell == cellName && other.self.Cell == cellName && otherVersion > e.gate.Version() {
				e.fetchDocument(other)
			}
		}, func() {})
	}, func() {})
}

// fetchDocument fetches and applies the cell document of another entry.
func (e *entryNode) fetchDocument(other *entryNode) {
	id := e.self.ID
	e.sim.send(e.name, other.name, func() {
		doc := other.gate.Doc()
		if other.dead || other.paused || doc == nil {
			return
		}
		e.sim.send(other.name, e.name, func() {
			if !e.dead && !e.paused && e.self.ID == id {
				e.applyDocument(doc)
			}
		}, func() {})
	}, func() {})
}

// renewLeases sends a renewal to each upstream.
func (e *entryNode) renewLeases() {
	doc := e.gate.Doc()
	if doc == nil {
		return
	}
	for _, s := range e.leases.Observations(e.clock()) {
		e.core.OnObservation(e.clock(), e.self.ID, s.Upstream, s.Observation)
	}
	for _, up := range doc.Upstreams {
		u := e.sim.upstreamByID(up.ID)
		r, ok := e.leases.NextRenewal(e.clock(), e.gate.RightUntil(), up)
		if !ok {
			continue
		}
		leases, starts := e.leases, u.starts
		fail := func(refused bool) func() { return func() { leases.RecordFailure(e.clock(), u.id, refused) } }
		e.sim.send(e.name, u.id, func() {
			u.handle(starts, func() {
				u.ownership.Renew(r)
				st := u.ownership.Status()
				e.sim.send(u.id, e.name, func() { leases.RecordAnswer(e.clock(), u.id, st) }, fail(false))
			}, fail(u.dead))
		}, fail(false))
	}
}

// step performs the commands of the controller.
func (e *entryNode) step() {
	for _, cmd := range e.core.Step(e.clock()) {
		e.execute(cmd)
	}
}

// ifRunning wraps the callback that reports the result of a command to the core. It
// does nothing if the process that issued the command has ended.
func (e *entryNode) ifRunning(f func()) func() {
	starts := e.starts
	return func() {
		if !e.dead && e.starts == starts {
			f()
		}
	}
}

func (e *entryNode) execute(cmd controller.Command) {
	sim, core := e.sim, e.core
	switch cmd := cmd.(type) {
	case controller.WriteDocument:
		fail := e.ifRunning(func() { core.OnWritten(e.clock(), cmd, 0, errMessageLost) })
		sim.send(e.name, "platform", func() { sim.put(e, cmd) }, fail)
	case controller.Apply:
		fail := e.ifRunning(func() { core.OnApplied(e.clock(), cmd, controller.ApplyResult{}, errMessageLost) })
		sim.send(e.name, cmd.To.Peer, func() { sim.apply(e, cmd, fail) }, fail)
	case controller.RaiseFence:
		fail := e.ifRunning(func() { core.OnApplied(e.clock(), cmd, controller.ApplyResult{}, errMessageLost) })
		sim.send(e.name, cmd.To.Peer, func() {
			v := sim.entryByMember(cmd.To)
			if v.dead || v.paused || v.self.ID != cmd.To.ID {
				fail()
				return
			}
			ack := v.gate.RaiseFence(cellName, cmd.Fence)
			sim.send(v.name, e.name, e.ifRunning(func() {
				core.OnApplied(e.clock(), cmd, controller.ApplyResult{Ack: ack}, nil)
			}), fail)
		}, fail)
	case controller.SendGrants:
		sim.sendControl(e, cmd.Upstream.ID, func(u *upstreamNode) bool {
			return u.ownership.Grant(control.Grants{Boot: cmd.Upstream.Boot, Grants: cmd.Grants})
		}, func(_ string, err error) { core.OnGranted(e.clock(), cmd, err) })
	case controller.SendRevocations:
		sim.sendControl(e, cmd.Upstream.ID, func(u *upstreamNode) bool {
			u.ownership.Revoke(cmd.Revocations)
			return true
		}, func(_ string, err error) { core.OnRevoked(e.clock(), cmd, err) })
	case controller.ResetUpstream:
		sim.sendControl(e, cmd.Upstream.ID, func(u *upstreamNode) bool {
			u.ownership.Reset()
			return true
		}, func(boot string, err error) { core.OnReset(e.clock(), cmd, boot, err) })
	case controller.PublishRoster:
		core.OnRosterPublished(e.clock(), cmd, nil)
	}
}
