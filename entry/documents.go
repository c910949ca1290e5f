package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/coordination/admission"
	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/docstore"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/service"
	"github.com/rockcroft/rockcroft/transport/platform"
	"github.com/rockcroft/rockcroft/transport/telemetry"
	"github.com/rockcroft/rockcroft/transport/upstreams"
)

// watchedKinds are the kinds of objects that the controller of a cell watches on
// the platform. The other entries receive changes from entry to entry.
var watchedKinds = []string{
	platform.KindService, platform.KindDirectory, platform.KindRoster, platform.KindIntent,
}

const (
	// watchTimeout bounds the wait of one watch call for a change.
	watchTimeout = 10 * time.Second
	// ownCellInterval is the time between two reads of the cell's own document.
	// Writes by another controller are noticed earlier, by a conflict or a heartbeat.
	ownCellInterval = 10 * time.Second
	// idleInterval is the time between two checks whether this entry has become
	// the controller or has received its first cell document.
	idleInterval = 200 * time.Millisecond
	// retryInterval is the time between two attempts while the platform fails.
	retryInterval = 300 * time.Millisecond
)

// addDocument adds a decoded shared document to the document store.
func (e *Entry) addDocument(doc any) {
	data, err := json.Marshal(doc)
	if err != nil {
		return
	}
	var kind docstore.Kind
	switch doc.(type) {
	case *cell.Directory:
		kind = docstore.Directory
	case *cell.Roster:
		kind = docstore.Roster
	case *service.Config:
		kind = docstore.Service
	}
	e.addEncodedDocument(kind, data)
}

// addEncodedDocument adds a shared document to the document store. Malformed ones
// are counted and ignored.
func (e *Entry) addEncodedDocument(kind docstore.Kind, data []byte) {
	d, err := docstore.Parse(kind, data)
	if err != nil {
		telemetry.Counter(e.registry, "documents.malformed").Inc(1)
		e.log.Warn("malformed document ignored", "kind", kind, "err", err)
		return
	}
	e.docs.Add(d)
}

// handleDocument applies a new version of a shared document.
func (e *Entry) handleDocument(d *docstore.Document) {
	switch d.Kind {
	case docstore.Directory:
		e.gate.ApplyDirectory(d.Directory)
		e.control.record(func(core *controller.Core, _ time.Time) { core.OnDirectory(d.Directory) })
	case docstore.Roster:
		e.control.record(func(core *controller.Core, now time.Time) { core.OnRoster(now, d.Roster) })
	case docstore.Service:
		e.log.Info("configuration in force", "service", d.Name, "version", d.Version)
	}
}

// applyCell applies a document of this entry's own cell to the gate, the
// controller, the lease tracker and the pool of upstream clients. It ignores
// versions that are not newer than the current one.
func (e *Entry) applyCell(doc *cell.Cell) {
	listed := make(map[string]bool, len(doc.Upstreams))
	for _, u := range doc.Upstreams {
		listed[u.ID] = true
		e.pool.GetOrCreate(u, e.upstreamOptions(u.Service, len(doc.Quorum.Local)))
	}
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	old := e.gate.Doc()
	if old != nil && doc.Version <= old.Version {
		return
	}
	e.gate.Apply(doc)
	e.outages.update(old, doc, e.clock(), e.leases.lastResponse, e.registry)
	e.leases.withLock(func(tracker *lease.Tracker) { e.updateLostUpstreams(tracker, doc) })
	e.pool.Retain(listed)
	e.control.record(func(core *controller.Core, now time.Time) { core.OnDocument(now, doc, 0) })
}

// updateLostUpstreams stops the lease renewals of lost upstreams and aborts the
// requests that are in flight to them.
func (e *Entry) updateLostUpstreams(tracker *lease.Tracker, doc *cell.Cell) {
	for _, u := range doc.Upstreams {
		if u.State != cell.Lost {
			tracker.MarkUsable(e.clock(), u.ID)
			continue
		}
		if tracker.MarkLost(e.clock(), u.ID) {
			e.pool.Get(u.ID).AbortRequests()
			e.log.Warn("upstream lost", "upstream", u.ID, "version", doc.Version)
		}
	}
}

// upstreamOptions returns the connection and admission limits for one upstream:
// this entry's share of the service's limits, given the number of entries in the
// cell.
func (e *Entry) upstreamOptions(name string, entries int) upstreams.Options {
	conf := e.docs.Service(name)
	if conf == nil {
		defaults := service.Default()
		conf = &defaults
	}
	entries = max(entries, 1)
	connections := max(conf.Connections/max(entries, 4), 2)
	return upstreams.Options{
		Connections: connections,
		Admission: admission.Limits{
			MinInflight:   1,
			MaxInflight:   min(2*conf.Slots, connections),
			StartInflight: max((conf.Slots+entries-1)/entries, 1),
			MaxWaiting:    conf.QueueLength,
		},
	}
}

// readOwnCell reads the document of the cell from the platform.
func (e *Entry) readOwnCell(ctx context.Context) {
	obj, err := e.store.Get(ctx, platform.KindCell, e.self.Cell)
	if errors.Is(err, platform.ErrNotFound) {
		e.control.dispatch(func(core *controller.Core, _ time.Time) { core.OnDocumentMissing() })
		return
	}
	if err != nil {
		telemetry.Counter(e.registry, "platform.reads_failed").Inc(1)
		return
	}
	doc, err := cell.Decode(obj.Value)
	if err != nil {
		telemetry.Counter(e.registry, "documents.malformed").Inc(1)
		return
	}
	e.applyCell(doc)
	e.control.dispatch(func(core *controller.Core, now time.Time) { core.OnDocument(now, doc, obj.Version) })
}

// ownCellLoop reads the document of the cell while this entry is the controller.
func (e *Entry) ownCellLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait := idleInterval
		if e.control.isLeader() {
			e.readOwnCell(ctx)
		}
		if e.control.isLeader() && e.gate.Version() > 0 {
			wait = ownCellInterval
		}
		sleep(ctx, wait)
	}
}

// watchLoop watches one kind of objects while this entry is the controller. Each
// term starts again at revision 0.
func (e *Entry) watchLoop(ctx context.Context, kind string) {
	var after uint64
	lastTerm := 0
	failing := false
	for ctx.Err() == nil {
		term, leads := e.control.leaderTerm()
		if !leads {
			sleep(ctx, idleInterval)
			continue
		}
		if term != lastTerm {
			lastTerm, after = term, 0
		}
		batch, err := e.store.Watch(ctx, kind, after, watchTimeout)
		if err != nil && ctx.Err() == nil {
			if !failing {
				e.log.Warn("platform watch failing", "kind", kind, "err", err)
			}
			failing = true
			telemetry.Counter(e.registry, "platform.watches_failed").Inc(1)
			sleep(ctx, retryInterval)
			continue
		}
		if failing {
			e.log.Info("platform watch recovered", "kind", kind)
			failing = false
		}
		after = batch.Revision
		for _, obj := range batch.Objects {
			e.handleObject(kind, obj)
		}
	}
}

func (e *Entry) handleObject(kind string, obj platform.Object) {
	switch kind {
	case platform.KindIntent:
		i, err := intent.Decode(obj.Value)
		if err != nil {
			telemetry.Counter(e.registry, "documents.malformed").Inc(1)
			return
		}
		e.control.recordIntent(i, obj.Version)
	default:
		e.addEncodedDocument(docstore.Kind(kind), obj.Value)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// cellToProto encodes a cell document for a message to another entry.
func cellToProto(doc *cell.Cell) (*peerpb.Document, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("cell document: %w", err)
	}
	return &peerpb.Document{Kind: platform.KindCell, Name: doc.Name, Version: doc.Version, Data: data}, nil
}

// applyDocuments applies the documents that another entry sent.
func (e *Entry) applyDocuments(docs []*peerpb.Document) {
	for _, d := range docs {
		if d.Kind != platform.KindCell {
			e.addEncodedDocument(docstore.Kind(d.Kind), d.Data)
			continue
		}
		doc, err := cell.Decode(d.Data)
		if err != nil {
			telemetry.Counter(e.registry, "documents.malformed").Inc(1)
			continue
		}
		if doc.Name == e.self.Cell {
			e.applyCell(doc)
		}
	}
}
