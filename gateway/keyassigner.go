package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// holdDuration is how long a grant lasts while the store is reachable: when an upstream fails
	// without warning, its keys become free after this time. It must outlast the loss of a leader:
	// a renewal interval, the term of the lease and the time for a successor to take over. A
	// shorter hold costs more renewals and moves keys away sooner from owners that come back, whose
	// keys then run cold for longer.
	holdDuration = 4 * time.Second
	// renewInterval is the time between renewals of a grant.
	renewInterval = 1000 * time.Millisecond
	// planInterval is the time between plans.
	planInterval = 250 * time.Millisecond
	// rebalanceInterval is the time between plans that rebalance load when nothing is urgent.
	// Each plan with moves costs a store write and an update to all gateways.
	rebalanceInterval = time.Second
	// saveInterval is how long completed moves are collected for one write. If the leader is lost
	// before the write, its successor learns of them from the assignment that was published to it, and
	// repeats every move whose completion it did not learn of.
	saveInterval = time.Second
	// assignerTick is the time between checks for due work.
	assignerTick = 25 * time.Millisecond
	// publishInterval is the minimum time between versions of the assignment. Each version is
	// copied, kept for computing differences and sent to all gateways at once. In a plan with a
	// hundred moves many complete within a few milliseconds.
	publishInterval = 20 * time.Millisecond
	// publishIntervalPerGateway times the number of gateways is the minimum in a large cluster,
	// because every gateway receives every version.
	publishIntervalPerGateway = 300 * time.Microsecond
	// registrationQuietTime is how long the set of upstreams must be unchanged before the
	// first assignment is made; registrationMaxWait is the longest wait for that.
	registrationQuietTime = 1200 * time.Millisecond
	registrationMaxWait   = 4 * time.Second
	// grantTimeout bounds one grant call, which takes a millisecond or two; the margin covers
	// machines that run several times slower. releaseTimeout bounds one release call, which is
	// answered only when the work on the keys has ended.
	grantTimeout   = 250 * time.Millisecond
	releaseTimeout = 2500 * time.Millisecond
	// controlRetryInterval is the time between attempts of a control call.
	controlRetryInterval = 80 * time.Millisecond
	// moveCooldown is how long a span that has moved is not moved again to balance load: the
	// load on its new owner must become visible first.
	moveCooldown = 2 * time.Second
	// probeInterval is the time between probe calls to an upstream whose control calls fail.
	// With timeouts of 250 ms, two probes are made before its keys are given to others.
	probeInterval = 200 * time.Millisecond
	// defaultSlotRate is the number of requests per second that one slot is assumed to run
	// before any were observed.
	defaultSlotRate = 15
	// fenceIncrement is how far the fence counter is raised when an upstream has seen a higher
	// fence from another source.
	fenceIncrement = 64
)

// keyAssigner assigns the keys of one service to its upstreams: it plans moves, carries them
// out, renews grants, and stores and publishes the assignment.
type keyAssigner struct {
	*assignmentSupervisor
	service string
	term    uint64
	log     *slog.Logger

	rateMu        sync.Mutex
	rateEstimator *ownership.RateEstimator

	mu    sync.Mutex
	table *spans.Table
	// revision is the store revision of the assignment; zero when none is stored.
	revision uint64
	unsaved  bool
	// superseded is set once a newer leader has taken over the assignment.
	superseded bool
	savedAt    time.Time
	// publishedAt is when the table was last published to the view; unpublished is set when it
	// has changed since.
	publishedAt time.Time
	unpublished bool
	// rebalancedAt is when a plan last rebalanced load.
	rebalancedAt time.Time
	writeCount   int
	// holds are the holds of keys by the grants that this leader made.
	holds *ownership.Holds
	// onlyGranter is set when no other leader has ever granted keys of the service.
	onlyGranter bool
	// movedAt is when the last move of a span ended, by the span's first key.
	movedAt map[uint16]time.Time
	// coldSince is the same, but also copied to the parts of a span that was split. tookOverAt
	// is when this leader took over the table.
	coldSince  map[uint16]time.Time
	tookOverAt time.Time
	// grantRenewedAt is when the grant of a span was last renewed.
	grantRenewedAt map[uint16]time.Time
	// activeMoves are the fences of the moves that this leader is carrying out.
	activeMoves map[uint64]bool
	// inheritedMoves are the fences of moves that a former leader began: their next owner may
	// already hold the keys.
	inheritedMoves map[uint64]bool
	// refused are the fences of grants that the owners of spans have refused, by the span's first key.
	refused map[uint16]uint64
	// callsInFlight are the upstreams to which renewals or probes are under way.
	callsInFlight map[string]bool
	// failing are the upstreams whose control calls fail; lastGranted is when a grant was last
	// answered by each upstream.
	failing     map[string]controlFailure
	lastGranted map[string]time.Time
	// terminated are the starts of upstreams that are known to have ended, by upstream ID.
	terminated map[string]upstreamStart
	// firstGrants records this leader's first grant of each span. withheld is set while the assignment is
	// not published because of them.
	firstGrants *ownership.FirstGrants
	withheld    bool
	// demand is the demand for the spans as of the last plan.
	demand *ownership.SpanDemand
	// lastStarts are the starts of the upstreams as of the last plan, by upstream ID.
	lastStarts map[string]upstreamStart
	// stuckLoggedAt is when it was last logged that keys cannot leave a busy owner.
	stuckLoggedAt time.Time
	tasks         sync.WaitGroup
}

func newKeyAssigner(s *assignmentSupervisor, service string, term uint64) *keyAssigner {
	return &keyAssigner{
		assignmentSupervisor: s, service: service, term: term, log: s.log.With("service", service),
		rateEstimator: ownership.NewRateEstimator(s.now()), holds: ownership.NewHolds(s.now()), demand: &ownership.SpanDemand{},
		grantRenewedAt: make(map[uint16]time.Time), movedAt: make(map[uint16]time.Time), coldSince: make(map[uint16]time.Time),
		activeMoves: make(map[uint64]bool), inheritedMoves: make(map[uint64]bool), callsInFlight: make(map[string]bool),
		failing: make(map[string]controlFailure), lastGranted: make(map[string]time.Time), terminated: make(map[string]upstreamStart),
		lastStarts: make(map[string]upstreamStart), refused: make(map[uint16]uint64),
	}
}

// recordRequests counts requests for keys.
func (k *keyAssigner) recordRequests(requests []keyRequest) {
	k.rateMu.Lock()
	defer k.rateMu.Unlock()
	for _, r := range requests {
		k.rateEstimator.Add(r.key, r.work)
	}
}

func (k *keyAssigner) rates() map[uint16]float64 {
	k.rateMu.Lock()
	defer k.rateMu.Unlock()
	return k.rateEstimator.Rates(k.now())
}

// run manages the assignment of the service until ctx ends or a newer leader takes over.
func (k *keyAssigner) run(ctx context.Context) {
	if !k.initialize(ctx) {
		return
	}
	planned := time.Time{}
	for ctx.Err() == nil && !k.isSuperseded() {
		// Without a list of the upstreams no owner can be called, which must not count as a failure of the
		// owners.
		if k.elector.mayAct() && k.view.inst.Load() != nil {
			// Owners may have lost their keys while no gateway ran, and a plan may wait for the store.
			// While no upstream can be reached, silence says nothing of the owners.
			planDue := k.now().Sub(planned) >= planInterval && !k.elector.cutOff()
			if planDue {
				planned = k.now()
				k.measureDemand()
			}
			k.startRenewals(ctx)
			if planDue {
				k.plan(ctx)
				k.clearColdMarks()
			}
			k.startMoves(ctx)
			k.startProbes(ctx)
			k.saveEndedMoves(ctx)
		}
		k.publishPending()
		pause(ctx, assignerTick)
	}
}

// finish waits for the work under way and saves the moves that have completed.
func (k *keyAssigner) finish(ctx context.Context) {
	k.tasks.Wait()
	k.mu.Lock()
	if k.unpublished {
		k.publishLocked()
	}
	unsaved := k.unsaved && k.revision > 0
	next, revision := k.table.Clone(), k.revision
	k.mu.Unlock()
	if !unsaved || !k.elector.mayAct() {
		return
	}
	if _, err := k.save(ctx, next, revision); err != nil {
		k.log.Warn("assignment not saved before leadership ended", "error", err)
	}
}

// initialize loads and claims the stored assignment, or creates the first one.
func (k *keyAssigner) initialize(ctx context.Context) bool {
	backoff := initialBackoff
	for ctx.Err() == nil {
		table, revision, err := k.load(ctx, k.service)
		switch {
		case err != nil:
			k.log.Warn("assignment could not be loaded", "error", err)
			pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		case table == nil:
			if table = k.initialTable(ctx); table == nil {
				return false
			}
		}
		if k.claim(ctx, k.newestTable(table), revision) {
			// Keys are granted only after the assignment is stored, so without a stored one there
			// are no earlier grants.
			k.setOnlyGranter(revision == 0)
			return true
		}
		pause(ctx, initialBackoff)
	}
	return false
}

// newestTable returns the stored assignment with the results of the moves that have ended by the one that the
// former leader published to this gateway, as completed moves are stored with a delay. Nothing else is taken
// from a published assignment, even one with a higher version: while a plan is being stored, versions without
// it are published, and its moves begin as soon as it is stored.
func (k *keyAssigner) newestTable(stored *spans.Table) *spans.Table {
	published := k.view.spansOf(k.service)
	if published == nil || published.Version <= stored.Version || published.Version>>termShift != stored.Version>>termShift {
		return stored
	}
	next := stored.Clone()
	ownership.CopyEndedMoves(next, published)
	return next
}

// claim writes the assignment in this leader's name before it is used in any other way.
// Later writes of a former leader are then refused by the store, and its earlier writes are
// contained in this table.
func (k *keyAssigner) claim(ctx context.Context, table *spans.Table, revision uint64) bool {
	k.stamp(table)
	got, err := k.save(ctx, table, revision)
	if err != nil {
		k.log.Warn("assignment could not be claimed", "error", err)
		return false
	}
	k.adopt(table, got)
	return true
}

// stamp gives a table the next version and writer name of this leader.
func (k *keyAssigner) stamp(t *spans.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stampLocked(t)
}

// stampLocked is stamp for callers that hold k.mu. The writer name contains the term because
// a process that leads again restarts its write count: without the term, a write of its former
// term could be taken for one of its own writes whose response was lost.
func (k *keyAssigner) stampLocked(t *spans.Table) {
	k.writeCount++
	t.Version = k.term<<termShift | uint64(k.writeCount)
	t.Writer = fmt.Sprintf("%s/%d/%d", k.cluster.self.Incarnation, k.term, k.writeCount)
}

// termShift is the position of the leader's term in the version of an assignment, so that
// versions of later leaders are higher.
const termShift = 32

// adopt takes over a claimed assignment at the beginning of this leader's term.
func (k *keyAssigner) adopt(table *spans.Table, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = table.Clone()
	k.revision = revision
	k.tookOverAt = k.now()
	k.firstGrants = ownership.NewFirstGrants(k.tookOverAt, k.table)
	k.withheld = k.view.spansOf(k.service) == nil
	// The rates of the keys are not known yet, and by any others the load would be balanced anew.
	k.rebalancedAt = k.tookOverAt
	for _, s := range k.table.Spans {
		if s.Moving() {
			k.inheritedMoves[s.NextFence] = true
		}
	}
	k.publish()
	k.log.Info("assignment claimed", "spans", len(table.Spans), "last_fence", table.LastFence)
}

// initialTable waits until the upstreams have registered and assigns the keys to them.
func (k *keyAssigner) initialTable(ctx context.Context) *spans.Table {
	began := k.now()
	count, since := 0, began
	for ctx.Err() == nil {
		owners := k.candidates()
		if len(owners) != count {
			count, since = len(owners), k.now()
		}
		now := k.now()
		if count > 0 && (now.Sub(since) >= registrationQuietTime || now.Sub(began) >= registrationMaxWait) {
			return ownership.InitialTable(k.service, owners)
		}
		pause(ctx, assignerTick)
	}
	return nil
}

// publish gives the current table to the view, and thereby to the other gateways: at once if
// the last version is old enough, otherwise as soon as it is. The caller holds k.mu.
func (k *keyAssigner) publish() {
	k.stampLocked(k.table)
	k.unpublished = true
	if k.publishDue() {
		k.publishLocked()
	}
}

// publishDue reports whether the last version was published long enough ago. The caller
// holds k.mu.
func (k *keyAssigner) publishDue() bool {
	if k.withheld && !k.firstGrants.MayPublish(k.now()) {
		return false
	}
	pause := max(publishInterval, time.Duration(k.cluster.gatewayCount())*publishIntervalPerGateway)
	return k.now().Sub(k.publishedAt) >= pause
}

func (k *keyAssigner) publishLocked() {
	k.publishedAt, k.unpublished, k.withheld = k.now(), false, false
	k.view.setSpans(k.table.Clone())
}

// publishPending publishes the table if it has changed and the next version is due.
func (k *keyAssigner) publishPending() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.unpublished && k.publishDue() {
		k.publishLocked()
	}
}

// candidates describes the upstreams of the service for a plan.
func (k *keyAssigner) candidates() []ownership.Owner {
	v := k.view.inst.Load()
	if v == nil {
		return nil
	}
	warming := k.warming()
	var out []ownership.Owner
	for _, inst := range v.Service(k.service) {
		o := ownership.Owner{ID: inst.ID, Incarnation: inst.Incarnation(), Capacity: k.capacity(inst)}
		k.recordStart(inst)
		control := k.controlHealth(inst.ID)
		o.MayKeep = !inst.Leaving && !k.view.evacuated(inst.Domain) && !k.hasTerminated(inst) && !k.isResting(inst.ID) && control.MayKeep(k.now(), k.grantDuration())
		o.Usable = o.MayKeep && !control.Failing()
		o.Warming = warming[inst.ID]
		out = append(out, o)
	}
	k.forgetRemovedUpstreams(v)
	return ownership.PreferWarm(out)
}

// capacity returns how many requests per second the upstream can run, from its observed work
// times and from the limit that it may announce. Without that limit, keys would stay on an
// upstream that refuses most of their requests.
func (k *keyAssigner) capacity(inst *instances.Instance) float64 {
	work := k.workTimes.mean(k.service, inst.ID)
	if work <= 0 {
		work = time.Second / defaultSlotRate
	}
	capacity := float64(inst.Slots) / work.Seconds()
	if limit, ok := k.limits.limitOf(inst); ok {
		return min(capacity, quota.TargetUtilization*limit)
	}
	return capacity
}

// warming returns the IDs of the upstreams that warm up and whose requests are limited.
func (k *keyAssigner) warming() map[string]bool {
	out := make(map[string]bool)
	for _, inst := range k.traffic.get(k.service).warming(k.now()) {
		out[inst.ID] = true
	}
	return out
}

func (k *keyAssigner) setOnlyGranter(sole bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.onlyGranter = sole
}

func (k *keyAssigner) isSuperseded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.superseded
}
