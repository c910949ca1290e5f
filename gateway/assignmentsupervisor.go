package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/callslots"
	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// spansKind is the store kind of assignments, which are stored by service name.
const spansKind = "rockcroft-spans"

// assignmentSupervisor runs one keyAssigner for each keyed service while this process leads.
type assignmentSupervisor struct {
	view    *view
	cluster *cluster
	traffic *traffic
	store   *platform.Store
	calls   *storeCaller
	owners  *platform.Owners
	// grantSlots limits how many grant calls begin at the same time.
	grantSlots *callslots.Slots
	elector    *leaderElector
	maxHold    time.Duration
	now        func() time.Time
	log        *slog.Logger
	meters     *meters
	// placements are the operators' placement intents.
	placements *placements

	mu        sync.Mutex
	cancel    context.CancelFunc
	workers   sync.WaitGroup
	assigners map[string]*keyAssigner
	// lastReport is this process's last load report.
	lastReport *localReport
	// hotKeys are the limits of hot keys that this process has decided as the leader.
	hotKeys hotKeyLimits
	// rights are the rights to send to upstreams that warm up.
	rights *warmUpRights
	// workTimes are the work times of requests, as seen by all gateways.
	workTimes *workTimes
	// limits are the request limits that upstreams announce.
	limits *namedLimits
	quotas *teamQuotas
}

// start begins to assign the keys of all services, and runs inquire concurrently. It is called
// when this process becomes the leader.
func (s *assignmentSupervisor) start(term uint64, inquire func(context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.assigners = make(map[string]*keyAssigner)
	s.workTimes.reset(s.cluster.workTimesFromParent())
	s.rights.reset()
	s.quotas.lead()
	s.workers.Go(func() { s.run(ctx, term) })
	s.workers.Go(func() { inquire(ctx) })
	s.workers.Go(func() { s.placements.load(ctx) })
}

// stop ends the work without waiting for it.
func (s *assignmentSupervisor) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
	s.assigners = nil
	s.hotKeys.clear()
	s.placements.unload()
}

// assigner returns the keyAssigner of a service, or nil.
func (s *assignmentSupervisor) assigner(service string) *keyAssigner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assigners[service]
}

// stopAndWait stops the work and waits until it has ended.
func (s *assignmentSupervisor) stopAndWait() {
	s.stop()
	s.workers.Wait()
}

// finish stops the work, waits until it has ended and saves the completed moves.
func (s *assignmentSupervisor) finish(ctx context.Context) {
	s.mu.Lock()
	assigners := s.assigners
	s.mu.Unlock()
	s.stopAndWait()
	for _, k := range assigners {
		if k.table != nil {
			k.finish(ctx)
		}
	}
}

// run starts a keyAssigner for each keyed service of the configuration, and records this
// process's own load in the same way as the reports of other gateways.
func (s *assignmentSupervisor) run(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		table := s.view.table.Load()
		if table == nil {
			// This process leads before it has a view of the configuration. Nothing is served until
			// then.
			pause(ctx, assignerTick)
			continue
		}
		for name, service := range table.Services {
			if service.Keyed {
				s.startAssigner(ctx, name, term)
			}
		}
		s.recordOwnReport()
		pause(ctx, reportInterval(s.cluster.gatewayCount()))
	}
}

func (s *assignmentSupervisor) startAssigner(ctx context.Context, service string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assigners == nil || s.assigners[service] != nil {
		return
	}
	k := newKeyAssigner(s, service, term)
	s.assigners[service] = k
	s.workers.Go(func() { k.run(ctx) })
}

func (s *assignmentSupervisor) recordOwnReport() {
	own := s.traffic.takeReport()
	s.setOwnReport(own)
	s.workTimes.record(own.loads)
	s.workTimes.refresh()
	s.quotas.decide()
	s.mu.Lock()
	for name, list := range own.keys {
		if k := s.assigners[name]; k != nil {
			k.recordRequests(list)
		}
	}
	s.mu.Unlock()
	elsewhere := s.cluster.demandExcept(s.cluster.self.Node, nil)
	rights, named := s.rights.current()
	s.traffic.applyReport(dispatch.ClusterReport{
		InFlight: s.cluster.inFlightElsewhere(), Rejected: s.cluster.rejectedElsewhere(), WorkTimes: s.workTimes.estimates(), Gateways: s.cluster.gatewayCount(),
		Rights: heldRights(s.view.inst.Load(), rights, named, s.cluster.self.Node), Limits: s.limits.inForce(s.cluster.limitedDemandElsewhere),
		OwnerDemands: s.cluster.ownerDemandElsewhere(),
	}, elsewhere, decodeHotKeys(s.hotKeys.encode()))
}

// setOwnReport stores this process's last load report.
func (s *assignmentSupervisor) setOwnReport(own *localReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReport = own
}

// lastOwnReport returns this process's last load report, which is immutable.
func (s *assignmentSupervisor) lastOwnReport() *localReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastReport == nil {
		return &localReport{}
	}
	return s.lastReport
}

// recordRequests counts the requested keys that another gateway reported.
func (s *assignmentSupervisor) recordRequests(counts []*syncpb.KeyCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range counts {
		if k := s.assigners[c.Service]; k != nil {
			k.recordRequests(decodeKeys(c))
		}
	}
}

// load reads the stored assignment of a service. It returns nil when none is stored.
func (s *assignmentSupervisor) load(ctx context.Context, service string) (*spans.Table, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+relayTimeout)
	defer cancel()
	object, err := s.store.Get(ctx, spansKind, service)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	t := &spans.Table{}
	if err := platform.Decode(object, t); err != nil {
		return nil, 0, err
	}
	return t, object.Revision, t.Validate()
}

// save writes an assignment if the stored one still has the given revision, and returns the
// new revision. It recognizes an earlier write of its own whose response was lost.
func (s *assignmentSupervisor) save(ctx context.Context, t *spans.Table, revision uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+relayTimeout)
	defer cancel()
	var object platform.Object
	var err error
	if revision == 0 {
		object, err = s.store.Create(ctx, spansKind, t.Service, t)
	} else {
		object, err = s.store.Replace(ctx, spansKind, t.Service, revision, t)
	}
	if errors.Is(err, platform.ErrConflict) {
		there := &spans.Table{}
		if platform.Decode(object, there) == nil && there.Writer == t.Writer {
			return object.Revision, nil
		}
	}
	return object.Revision, err
}
