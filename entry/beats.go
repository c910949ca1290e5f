package entry

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/load"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

// gossipInterval is the time between two comparisons of documents with a random
// entry of any cell.
const gossipInterval = time.Second

// beatTimeout bounds one Beat call. It is short enough that a second attempt can
// still succeed before a promise expires.
const beatTimeout = 400 * time.Millisecond

// beatLoop sends heartbeats to the voters of the cell, which respond with the promises
// that give this entry the right to send.
func (e *Entry) beatLoop(ctx context.Context) {
	e.every(ctx, e.conf.HeartbeatInterval.D(), func(ctx context.Context) {
		for _, t := range e.beatTargets() {
			go e.beat(ctx, t)
		}
	})
}

// beatTarget is an entry to send heartbeats to. The id is empty if only the address is
// known.
type beatTarget struct {
	id   string
	addr string
}

// beatTargets returns the local voters. It adds the witnesses in other cells while
// the local voters alone do not keep up the right to send, that is, while the right
// lasts for less than half the lifetime of a promise. It adds the members of the
// roster and the seeds while this entry is not a voter.
func (e *Entry) beatTargets() []beatTarget {
	doc := e.gate.Doc()
	var out []beatTarget
	add := func(m cell.Member) {
		known := slices.ContainsFunc(out, func(t beatTarget) bool { return t.addr == m.Peer })
		if m.ID != e.self.ID && m.Peer != e.self.Peer && !known {
			out = append(out, beatTarget{id: m.ID, addr: m.Peer})
		}
	}
	if doc != nil {
		for _, m := range doc.Quorum.Local {
			add(m)
		}
		if e.gate.RightUntil().Sub(e.clock()) < e.limits.Fence.TTL/2 {
			for _, m := range doc.Quorum.Wide {
				add(m)
			}
		}
	}
	if doc == nil || !doc.Quorum.HasLocal(e.self.ID) {
		if r := e.docs.Roster(e.self.Cell); r != nil {
			for _, m := range r.Members {
				add(m)
			}
		}
		for _, s := range e.conf.Seeds {
			add(cell.Member{Peer: s.String()})
		}
	}
	return out
}

// beat sends one heartbeat and records the promise if the voter granted one.
func (e *Entry) beat(ctx context.Context, t beatTarget) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	req := e.beatRequest(t)
	askedAt := e.clock()
	version := e.gate.Version()
	resp, err := e.peers.Client(t.addr).Beat(ctx, req)
	if err != nil {
		telemetry.Counter(e.registry, "beats.failed").Inc(1)
		return
	}
	telemetry.Counter(e.registry, "beats.answered").Inc(1)
	if resp.Granted && version == req.Version {
		e.gate.RecordPromise(resp.Responder.GetId(), askedAt)
	}
	e.recordContact(memberFromProto(resp.Responder), resp.Version)
	if e.shouldPull(resp) {
		e.pullDocuments(ctx, t.addr)
	}
}

func (e *Entry) beatRequest(t beatTarget) *peerpb.BeatRequest {
	req := &peerpb.BeatRequest{
		To:     t.id,
		Cell:   e.self.Cell,
		Sender: memberToProto(e.self),
		Digest: e.docs.Digest(),
	}
	doc := e.gate.Doc()
	if doc == nil {
		return req
	}
	req.Version = doc.Version
	req.Guest = !doc.Quorum.HasLocal(e.self.ID)
	// Only the controller and its successor need the observations: they decide
	// which upstreams are lost.
	if slices.ContainsFunc(e.control.leaders(), func(m cell.Member) bool { return m.ID == t.id }) {
		req.Observations = e.leases.observationsToProto(e.clock())
	}
	return req
}

// shouldPull reports whether the responder has a newer document of this cell or a
// different set of shared documents.
func (e *Entry) shouldPull(resp *peerpb.BeatResponse) bool {
	if resp.Responder.GetCell() == e.self.Cell && max(resp.Version, resp.Floor) > e.gate.Version() {
		return true
	}
	return resp.Digest != e.docs.Digest()
}

// pullDocuments fetches the documents in which another entry differs from this
// one. Older versions are ignored, so the order of pulls does not matter.
func (e *Entry) pullDocuments(ctx context.Context, peer string) {
	resp, err := e.peers.Client(peer).State(ctx, &peerpb.StateRequest{
		From: e.self.ID, Cell: e.self.Cell, Version: e.gate.Version(), Buckets: e.docs.BucketDigests(),
	})
	if err == nil {
		e.applyDocuments(resp.Documents)
	}
}

// recordContact records that an entry is alive and which version of its cell's
// document it uses; the version is zero if the entry did not report one. If the
// entry supersedes this one, this process stops.
func (e *Entry) recordContact(m cell.Member, version uint64) {
	if m.ID == "" || m.ID == e.self.ID {
		return
	}
	if controller.Supersedes(m.ID, e.self.ID) {
		e.stopSuperseded(m.ID)
		return
	}
	e.control.record(func(core *controller.Core, now time.Time) { core.OnVersion(now, m, version) })
}

// stopSuperseded stops this process because a newer process with the same
// configured ID has appeared. The other entries already treat this one as ended.
func (e *Entry) stopSuperseded(by string) {
	err := answer.New(answer.Conflict, "%s takes the place of %s; an id belongs to one VM", by, e.self.ID)
	select {
	case e.superseded <- err:
	default:
	}
}

// gossipLoop compares documents with a random entry of any cell, so that changes
// also reach cells whose controller cannot reach the platform. It exchanges the
// loads of the cells as well.
func (e *Entry) gossipLoop(ctx context.Context) {
	e.every(ctx, gossipInterval, func(ctx context.Context) {
		peer := e.randomPeer()
		if peer == "" {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, beatTimeout)
		defer cancel()
		resp, err := e.peers.Client(peer).Beat(ctx, &peerpb.BeatRequest{
			Sender: memberToProto(e.self), Digest: e.docs.Digest(), Cells: e.cellLoadsToProto(),
		})
		if err != nil {
			e.peers.MarkFailed(peer)
			return
		}
		e.recordContact(memberFromProto(resp.Responder), resp.Version)
		e.mergeCellLoads(resp.Cells)
		if e.shouldPull(resp) {
			e.pullDocuments(ctx, peer)
		}
	})
}

// cellLoadsToProto returns the known loads of all cells.
func (e *Entry) cellLoadsToProto() []*peerpb.CellLoad {
	e.control.mu.Lock()
	defer e.control.mu.Unlock()
	var out []*peerpb.CellLoad
	for _, c := range e.cellLoads.All(e.clock()) {
		out = append(out, &peerpb.CellLoad{
			Cell: c.Cell, Service: c.Service, Rate: c.Rate, Upstreams: int32(c.Upstreams), At: c.At,
		})
	}
	return out
}

// mergeCellLoads adds the cell loads that another entry sent.
func (e *Entry) mergeCellLoads(list []*peerpb.CellLoad) {
	e.control.record(func(_ *controller.Core, now time.Time) {
		for _, c := range list {
			e.cellLoads.Add(now, load.CellLoad{
				Cell: c.Cell, Service: c.Service, Rate: c.Rate, Upstreams: int(c.Upstreams), At: c.At,
			})
		}
	})
}

func (e *Entry) randomPeer() string {
	var addrs []string
	for _, d := range e.docs.All() {
		if d.Roster == nil {
			continue
		}
		for _, m := range d.Roster.Members {
			if m.Peer != e.self.Peer {
				addrs = append(addrs, m.Peer)
			}
		}
	}
	for _, s := range e.conf.Seeds {
		if s.String() != e.self.Peer && !slices.Contains(addrs, s.String()) {
			addrs = append(addrs, s.String())
		}
	}
	if len(addrs) == 0 {
		return ""
	}
	e.rngMu.Lock()
	defer e.rngMu.Unlock()
	return addrs[e.rng.IntN(len(addrs))]
}

func memberToProto(m cell.Member) *peerpb.Member {
	return &peerpb.Member{Id: m.ID, Domain: m.Domain, Cell: m.Cell, Peer: m.Peer}
}

func memberFromProto(m *peerpb.Member) cell.Member {
	return cell.Member{ID: m.GetId(), Domain: m.GetDomain(), Cell: m.GetCell(), Peer: m.GetPeer()}
}

// loadReportInterval is the time that one load report covers.
const loadReportInterval = 2 * time.Second

// loadReportLoop reports the traffic of this entry to the controller of its cell
// and to the entry that would succeed it.
func (e *Entry) loadReportLoop(ctx context.Context) {
	e.every(ctx, loadReportInterval, func(ctx context.Context) {
		e.updateGauges()
		req := e.loadReport()
		for _, m := range e.control.leaders() {
			if m.ID == e.self.ID {
				e.recordLoadReport(req)
				continue
			}
			go func() {
				ctx, cancel := context.WithTimeout(ctx, beatTimeout)
				defer cancel()
				if _, err := e.peers.Client(m.Peer).Beat(ctx, req); err != nil {
					// The counts of this interval are lost; the next report covers its own.
					e.log.Debug("load report not sent", "leader", m.ID, "error", err)
				}
			}()
		}
	})
}

// loadReport builds a load report and resets the counters it is built from. The
// requests are listed by range, in the order of the cell document.
func (e *Entry) loadReport() *peerpb.BeatRequest {
	version, slots := e.gate.Slots()
	req := &peerpb.BeatRequest{
		Sender:     memberToProto(e.self),
		IntervalMs: loadReportInterval.Milliseconds(),
		Digest:     e.docs.Digest(),
		Version:    version,
		Requests:   make([]uint32, len(slots)),
	}
	for i, s := range slots {
		requests, _ := s.TakeTraffic()
		req.Requests[i] = uint32(min(requests, math.MaxUint32))
	}
	for _, k := range e.hotKeys.Take() {
		req.Keys = append(req.Keys, &peerpb.KeyLoad{Service: k.Service, Hash: uint64(k.Hash), Requests: k.Requests})
	}
	return req
}
