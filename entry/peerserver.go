package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/coordination/load"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/transport/peers"
	"github.com/rockcroft/rockcroft/transport/platform"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

// peerHandler serves the calls and forwarded requests of other entries.
func (e *Entry) peerHandler() http.Handler {
	r := mux.NewRouter().SkipClean(true).UseEncodedPath()
	rpc := peerpb.NewPeerServer(peerServer{e})
	r.PathPrefix(rpc.PathPrefix()).Handler(http.MaxBytesHandler(rpc, peers.MaxMessageBytes))
	r.PathPrefix(peers.ForwardPrefix + "/").Handler(e.proxy.Forwarded())
	return r
}

// peerServer implements peerpb.Peer.
type peerServer struct{ e *Entry }

// Beat implements peerpb.Peer.
func (s peerServer) Beat(_ context.Context, req *peerpb.BeatRequest) (*peerpb.BeatResponse, error) {
	e := s.e
	if req.Sender == nil || req.Sender.Id == "" {
		return nil, twirp.RequiredArgumentError("sender")
	}
	sender := memberFromProto(req.Sender)
	resp := &peerpb.BeatResponse{
		Version:   e.gate.Version(),
		Responder: memberToProto(e.self),
		Digest:    e.docs.Digest(),
	}
	e.recordContact(sender, req.Version)
	e.control.record(func(core *controller.Core, now time.Time) {
		if sender.Cell != e.self.Cell {
			return
		}
		for _, o := range req.Observations {
			core.OnObservation(now, sender.ID, o.Upstream, detect.Observation{
				Boot:    o.Boot,
				Silent:  time.Duration(o.SilentMs) * time.Millisecond,
				Refused: o.Refused,
				Leaving: o.Leaving,
			})
		}
	})
	if req.IntervalMs > 0 && sender.Cell == e.self.Cell {
		e.recordLoadReport(req)
	}
	if req.Cell == "" && req.IntervalMs == 0 {
		e.mergeCellLoads(req.Cells)
		resp.Cells = e.cellLoadsToProto()
	}
	// A heartbeat to an earlier incarnation of this entry asks for a promise that this
	// process must not give.
	if req.Cell != "" && req.To == e.self.ID {
		p := e.gate.Promise(req.Cell, req.Version, req.Guest)
		resp.Granted = p.Granted
		resp.Floor = p.Floor
	}
	return resp, nil
}

// recordLoadReport records the load report of an entry of the cell. It ignores a
// report made with another version of the cell document, which may list the ranges
// in another order.
func (e *Entry) recordLoadReport(req *peerpb.BeatRequest) {
	interval := time.Duration(req.IntervalMs) * time.Millisecond
	version, slots := e.gate.Slots()
	if req.Version != version || len(req.Requests) != len(slots) {
		return
	}
	ranges := make([]load.RangeRate, len(slots))
	for i, s := range slots {
		ranges[i] = load.RangeRate{
			Service: s.Service, Span: s.Span, Rate: float64(req.Requests[i]) / interval.Seconds(),
		}
	}
	keys := make([]load.KeyRate, 0, len(req.Keys))
	for _, k := range req.Keys {
		keys = append(keys, load.KeyRate{Service: k.Service, Hash: keyspace.Hash(k.Hash), Requests: k.Requests})
	}
	e.control.record(func(_ *controller.Core, now time.Time) {
		e.loads.Report(now, req.Sender.Id, ranges, keys, interval)
	})
}

// Apply implements peerpb.Peer.
func (s peerServer) Apply(ctx context.Context, req *peerpb.ApplyRequest) (*peerpb.ApplyResponse, error) {
	e := s.e
	if req.To != e.self.ID {
		return nil, twirp.NewErrorf(twirp.FailedPrecondition, "this is %s", e.self.ID)
	}
	for _, d := range req.Documents {
		if d.Kind != platform.KindCell {
			continue
		}
		doc, err := cell.Decode(d.Data)
		if err != nil {
			telemetry.Counter(e.registry, "documents.malformed").Inc(1)
			return nil, twirp.InvalidArgumentError("documents", err.Error())
		}
		if doc.Name != e.self.Cell {
			return nil, twirp.InvalidArgumentError("documents", "the document is of another cell")
		}
		e.recordContact(memberFromProto(req.Sender), doc.Version)
		result := e.applyAndDrain(ctx, doc, time.Duration(req.DrainWaitMs)*time.Millisecond)
		return applyResponse(result), nil
	}
	if req.Fence == 0 {
		return nil, twirp.RequiredArgumentError("fence")
	}
	return applyResponse(controller.ApplyResult{Ack: e.gate.RaiseFence(req.Cell, req.Fence)}), nil
}

func applyResponse(result controller.ApplyResult) *peerpb.ApplyResponse {
	resp := &peerpb.ApplyResponse{
		Voter:       result.Ack.Voter,
		Fence:       result.Ack.Fence,
		GuestWaitMs: ceilMillis(result.Ack.NonVoterWait),
	}
	for _, b := range result.Busy {
		resp.Busy = append(resp.Busy, &peerpb.BusyRange{
			Service: b.Service, First: uint64(b.First), Last: uint64(b.Last),
		})
	}
	for _, l := range result.Leases {
		resp.Leases = append(resp.Leases, &peerpb.Lease{Upstream: l.Upstream, RemainingMs: ceilMillis(l.Remaining)})
	}
	return resp
}

// ceilMillis returns d in milliseconds, rounded up.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// State implements peerpb.Peer.
func (s peerServer) State(_ context.Context, req *peerpb.StateRequest) (*peerpb.StateResponse, error) {
	e := s.e
	resp := &peerpb.StateResponse{}
	for _, d := range e.docs.Differing(req.Buckets) {
		resp.Documents = append(resp.Documents, &peerpb.Document{
			Kind: string(d.Kind), Name: d.Name, Version: d.Version, Data: d.Data,
		})
	}
	doc := e.gate.Doc()
	if doc != nil && req.Cell == doc.Name && req.Version < doc.Version {
		d, err := cellToProto(doc)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		resp.Documents = append(resp.Documents, d)
	}
	return resp, nil
}
