package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// spansKind is the kind under which assignments lie in the store, by service.
const spansKind = "rockcroft-spans"

// steward runs, in the leader, one keeper for each keyed service: it plans who
// owns which keys, makes the moves and renews the grants.
type steward struct {
	view    *view
	cluster *cluster
	traffic *traffic
	store   *platform.Store
	calls   *storeCaller
	owners  *platform.Owners
	// turns bounds the grants under way.
	turns   callSlots
	leading *leading
	longest time.Duration
	now     func() time.Time
	log     *slog.Logger
	meters  *meters
	// placements are the operators' intents.
	placements *placements

	mu      sync.Mutex
	cancel  context.CancelFunc
	running sync.WaitGroup
	keepers map[string]*keeper
	// own is this process's last report.
	own *ownReport
	// hotKeys are those of the services that this process keeps.
	hotKeys hotKeyLimits
	// rights are those to send to upstreams that warm up.
	rights *warmUpRights
	// workTimes are the times of runs as all gateways see them.
	workTimes *workTimes
	// limits are those that upstreams name.
	limits *namedLimits
}

// start begins to keep the services, and runs inquire beside that. It is called
// when this process takes the lead.
func (s *steward) start(term uint64, inquire func(context.Context)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.keepers = make(map[string]*keeper)
	s.workTimes.reset(s.cluster.parentWorkTimes())
	s.rights.reset()
	s.running.Go(func() { s.run(ctx, term) })
	s.running.Go(func() { inquire(ctx) })
	s.running.Go(func() { s.placements.load(ctx) })
}

// stop ends the work. It does not wait for it.
func (s *steward) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
	s.keepers = nil
	s.hotKeys.clear()
	s.placements.forget()
}

// keeper returns the keeper of a service, or nil.
func (s *steward) keeper(service string) *keeper {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keepers[service]
}

// end stops and waits until all work has ended.
func (s *steward) end() {
	s.stop()
	s.running.Wait()
}

// finish ends the work and saves what it changed.
func (s *steward) finish(ctx context.Context) {
	s.mu.Lock()
	keepers := s.keepers
	s.mu.Unlock()
	s.end()
	for _, k := range keepers {
		if k.table != nil {
			k.finish(ctx)
		}
	}
}

// run starts a keeper for each keyed service of the configuration, and notes
// this process's own load as the other gateways report theirs.
func (s *steward) run(ctx context.Context, term uint64) {
	for ctx.Err() == nil {
		table := s.view.table.Load()
		if table == nil {
			// It leads before it has any view: nothing is served until it has.
			pause(ctx, keepInterval)
			continue
		}
		for name, service := range table.Services {
			if service.Keyed {
				s.keep(ctx, name, term)
			}
		}
		s.noteOwn()
		pause(ctx, reportInterval(s.cluster.gatewayCount()))
	}
}

func (s *steward) keep(ctx context.Context, service string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keepers == nil || s.keepers[service] != nil {
		return
	}
	k := newKeeper(s, service, term)
	s.keepers[service] = k
	s.running.Go(func() { k.run(ctx) })
}

func (s *steward) noteOwn() {
	own := s.traffic.report()
	s.setOwn(own)
	s.workTimes.record(own.loads)
	s.workTimes.refresh()
	s.mu.Lock()
	for name, list := range own.keys {
		if k := s.keepers[name]; k != nil {
			for _, key := range list {
				k.asked(key)
			}
		}
	}
	s.mu.Unlock()
	elsewhere := s.cluster.demandExcept(s.cluster.self.Node, nil)
	rights, named := s.rights.current()
	s.traffic.reported(dispatch.ClusterReport{
		InFlight: s.cluster.inFlightElsewhere(), WorkTimes: s.workTimes.estimates(), Gateways: s.cluster.gatewayCount(),
		Rights: heldRights(s.view.inst.Load(), rights, named, s.cluster.self.Node), Limits: s.limits.inForce(s.cluster.wantedByOthers),
	}, elsewhere, decodeHotKeys(s.hotKeys.encode()))
}

// setOwn keeps this process's last report.
func (s *steward) setOwn(own *ownReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = own
}

// lastOwn returns this process's last report. It is not changed any more.
func (s *steward) lastOwn() *ownReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.own == nil {
		return &ownReport{}
	}
	return s.own
}

// asked notes the keys that another gateway was asked for.
func (s *steward) asked(counts []*syncpb.KeyCounts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range counts {
		k := s.keepers[c.Service]
		if k == nil {
			continue
		}
		for _, key := range c.Keys {
			k.asked(uint16(min(key, spans.MaxKey)))
		}
	}
}

// load reads the stored assignment of a service. Without one it returns nil.
func (s *steward) load(ctx context.Context, service string) (*spans.Table, uint64, error) {
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

// save writes an assignment if the stored one still has the revision, and
// returns the new revision. A write whose answer was lost is recognized.
func (s *steward) save(ctx context.Context, t *spans.Table, revision uint64) (uint64, error) {
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
