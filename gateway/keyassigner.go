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
	// holdTime is how long a grant lasts while the store is reached: keys of an
	// upstream that is lost without a word are free after it.
	// It must outlast the loss of a leader: a renewal interval, the term of its
	// lease and the time to take over. Shorter ones cost more renewals, and keys taken sooner
	// from owners that come back run cold for longer.
	holdDuration = 4 * time.Second
	// renewInterval is the time between renewals of a grant.
	renewInterval = 1000 * time.Millisecond
	// clockSlowness is how much slower than ours an upstream's clock may run
	// that measures a grant.
	maxClockSlowdown = 1.02
	// arrivalMargin is added to the end of a grant for calls on their way.
	grantTransitMargin = 200 * time.Millisecond
	// planInterval is the time between plans.
	planInterval = 250 * time.Millisecond
	// balanceInterval is the time between plans that even loads out, where nothing is
	// urgent. Each plan with moves is a write to the store and news to all gateways.
	rebalanceInterval = time.Second
	// saveInterval is how long moves that have ended are collected for one write. If
	// the leader is lost before that, its successor goes by what the other gateways
	// were told; a move whose end it was not told it makes again.
	saveInterval = time.Second
	// keepInterval is the time between looks at what is due.
	assignerTick = 25 * time.Millisecond
	// publishInterval is the least time between versions of the assignment. Each is copied,
	// kept for differences and told to all gateways at once: of a hundred moves of one plan
	// many end within a few milliseconds.
	publishInterval = 20 * time.Millisecond
	// publishPause is the same for each gateway: each version is an answer to each of them.
	publishIntervalPerGateway = 300 * time.Microsecond
	// gatherTime is how long the set of upstreams must be unchanged before the
	// first assignment, gatherMost the longest wait for that.
	registrationQuietTime = 1200 * time.Millisecond
	registrationMaxWait   = 4 * time.Second
	// grantTimeout bounds one grant, which takes a millisecond or two, also on a
	// machine that runs some times slower; releaseTimeout one release, which is
	// answered when the work on the keys has ended.
	grantTimeout   = 250 * time.Millisecond
	releaseTimeout = 2500 * time.Millisecond
	// callPause is the time between tries of a call.
	controlRetryInterval = 80 * time.Millisecond
	// restTime is how long a span that has moved is not moved again for
	// balance: its load on the new owner must show first.
	moveCooldown = 2 * time.Second
	// trialInterval is the time between trial calls to an upstream whose calls fail:
	// with a timeout of 250 ms each two are made before its keys are given to others.
	probeInterval = 200 * time.Millisecond
	// defaultRate is the assumed number of requests a second that one slot
	// runs, before any were seen.
	defaultSlotRate = 15
	// fenceLeap is how far the fence is raised beyond one that an upstream
	// has seen from elsewhere.
	fenceIncrement = 64
)

// keeper keeps the assignment of one service.
type keyAssigner struct {
	*assignmentSupervisor
	service string
	term    uint64
	log     *slog.Logger

	rateMu        sync.Mutex
	rateEstimator *ownership.RateEstimator

	mu    sync.Mutex
	table *spans.Table
	// revision is that of the stored assignment; zero when there is none.
	revision uint64
	unsaved  bool
	// deposed says that a later leader keeps the service.
	superseded bool
	savedAt    time.Time
	// published is when the table was last given to the view, pending that it has changed
	// since.
	publishedAt time.Time
	unpublished bool
	// balanced is when a plan last evened loads out.
	rebalancedAt time.Time
	writeCount   int
	// holds is until when an upstream may hold keys by the grants known here.
	holdDeadlines map[grantID]time.Time
	// sole says that no other leader has ever granted keys of the service.
	onlyGranter bool
	// settled is when a span's last move ended.
	movedAt map[uint16]time.Time
	// coldAt is the same for parts of it too, began when this leader took over the table.
	coldSince  map[uint16]time.Time
	tookOverAt time.Time
	// renewed is when a span's grant was last renewed.
	grantRenewedAt map[uint16]time.Time
	// moving are the fences of moves under way here.
	activeMoves map[uint64]bool
	// inherited are the fences of moves that a leader before began: their next
	// owner may hold the keys already.
	inheritedMoves map[uint64]bool
	// renewing are owners whose grants are being renewed.
	callsInFlight map[string]bool
	// failing are upstreams to which calls fail, granted is when grants to upstreams were last
	// answered.
	failing     map[string]controlFailure
	lastGranted map[string]time.Time
	// dead are upstreams known to have ended, as they were then.
	terminated map[string]upstreamStart
	// starts are the upstreams as of the last plan.
	lastStarts map[string]upstreamStart
	// toldStuck is when it was last logged that keys stay on a busy owner.
	stuckLoggedAt time.Time
	tasks         sync.WaitGroup
}

// grantID names the grants of a span to one owner: the next owner's have another fence.
type grantID struct {
	first uint16
	fence uint64
}

// owned names the grants to the owner of a span.
func ownerGrant(s spans.Span) grantID { return grantID{first: s.First, fence: s.Fence} }

func newKeyAssigner(s *assignmentSupervisor, service string, term uint64) *keyAssigner {
	return &keyAssigner{
		assignmentSupervisor: s, service: service, term: term, log: s.log.With("service", service),
		rateEstimator: ownership.NewRateEstimator(s.now()), holdDeadlines: make(map[grantID]time.Time), grantRenewedAt: make(map[uint16]time.Time), movedAt: make(map[uint16]time.Time),
		coldSince:   make(map[uint16]time.Time),
		activeMoves: make(map[uint64]bool), inheritedMoves: make(map[uint64]bool), callsInFlight: make(map[string]bool),
		failing: make(map[string]controlFailure), lastGranted: make(map[string]time.Time), terminated: make(map[string]upstreamStart), lastStarts: make(map[string]upstreamStart),
	}
}

// asked counts one request for a key.
func (k *keyAssigner) recordRequest(key uint16) {
	k.rateMu.Lock()
	defer k.rateMu.Unlock()
	k.rateEstimator.Add(key)
}

func (k *keyAssigner) rates() map[uint16]float64 {
	k.rateMu.Lock()
	defer k.rateMu.Unlock()
	return k.rateEstimator.Rates(k.now())
}

// run keeps the service until ctx ends.
func (k *keyAssigner) run(ctx context.Context) {
	if !k.initialize(ctx) {
		return
	}
	planned := time.Time{}
	for ctx.Err() == nil && !k.isSuperseded() {
		if k.elector.mayAct() {
			if k.now().Sub(planned) >= planInterval {
				planned = k.now()
				k.plan(ctx)
				k.warmUp()
			}
			k.startMoves(ctx)
			k.startRenewals(ctx)
			k.startTrials(ctx)
			k.saveEndedMoves(ctx)
		}
		k.publishPending()
		pause(ctx, assignerTick)
	}
}

// finish waits for the moves under way and saves what has ended.
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
		k.log.Warn("owners not saved at the end of the lead", "error", err)
	}
}

// begin loads the assignment, or makes the first one.
func (k *keyAssigner) initialize(ctx context.Context) bool {
	backoff := firstBackoff
	for ctx.Err() == nil {
		table, revision, err := k.load(ctx, k.service)
		switch {
		case err != nil:
			k.log.Warn("owners not loaded", "error", err)
			pause(ctx, backoff)
			backoff = min(2*backoff, longestBackoff)
			continue
		case table == nil:
			if table = k.initialTable(ctx); table == nil {
				return false
			}
		}
		if k.claim(ctx, k.newestTable(table), revision) {
			// Nobody grants keys before the assignment is in the store.
			k.setOnlyGranter(revision == 0)
			return true
		}
		pause(ctx, firstBackoff)
	}
	return false
}

// newest returns what the former leader has told this gateway of its assignment, when
// that is newer than the stored one: moves that have ended are saved some time later.
// Whatever it told, its fences are reserved in the store.
func (k *keyAssigner) newestTable(stored *spans.Table) *spans.Table {
	told := k.view.spansOf(k.service)
	if told == nil || told.Version <= stored.Version || told.Version>>termShift != stored.Version>>termShift {
		return stored
	}
	next := told.Clone()
	next.LastFence = max(told.LastFence, stored.LastFence)
	return next
}

// claim writes the assignment in this leader's name before anything else is
// done with it: what a former leader writes later is refused by the store, and
// what it wrote before is in this table.
func (k *keyAssigner) claim(ctx context.Context, table *spans.Table, revision uint64) bool {
	k.stamp(table)
	got, err := k.save(ctx, table, revision)
	if err != nil {
		k.log.Warn("owners not claimed", "error", err)
		return false
	}
	k.adopt(table, got)
	return true
}

// stamp gives a table the next version and writer of this leader.
func (k *keyAssigner) stamp(t *spans.Table) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stampLocked(t)
}

// stampLocked is stamp with the lock held. The term is in the name of the writer, as a
// process that leads again counts its writes anew: a write of its former term is not the
// one whose answer was lost.
func (k *keyAssigner) stampLocked(t *spans.Table) {
	k.writeCount++
	t.Version = k.term<<termShift | uint64(k.writeCount)
	t.Writer = fmt.Sprintf("%s/%d/%d", k.cluster.self.Incarnation, k.term, k.writeCount)
}

// termShift is where the leader's term lies in the version of an assignment:
// versions of a later leader are higher.
const termShift = 32

// adopt takes over an assignment at the begin of this leader's term.
func (k *keyAssigner) adopt(table *spans.Table, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table = table.Clone()
	k.revision = revision
	k.tookOverAt = k.now()
	for _, s := range k.table.Spans {
		if s.Moving() {
			k.inheritedMoves[s.NextFence] = true
		}
	}
	k.publish()
	k.log.Info("owners known", "spans", len(table.Spans), "last_fence", table.LastFence)
}

// heldFor is how long an upstream may hold keys after a grant for the time has
// arrived, by this process's clock.
func holdWithMargin(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*maxClockSlowdown) + grantTransitMargin
}

// first waits until the upstreams have registered and assigns the keys to them.
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

// publish gives the present table to the view, and so to the other gateways, at once if
// none was given for a while, else soon. The lock is held.
func (k *keyAssigner) publish() {
	k.stampLocked(k.table)
	k.unpublished = true
	if k.publishDue() {
		k.publishLocked()
	}
}

// publishDue reports whether the last version was given long enough ago. The lock is held.
func (k *keyAssigner) publishDue() bool {
	pause := max(publishInterval, time.Duration(k.cluster.gateways())*publishIntervalPerGateway)
	return k.now().Sub(k.publishedAt) >= pause
}

func (k *keyAssigner) publishLocked() {
	k.publishedAt, k.unpublished = k.now(), false
	k.view.setSpans(k.table.Clone())
}

// publishPending gives the table to the view if it has changed since and it is time.
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
	for _, one := range v.Service(k.service) {
		o := ownership.Owner{ID: one.ID, Incarnation: one.Incarnation(), Capacity: k.capacity(one)}
		k.recordStart(one)
		control := k.controlHealth(one.ID)
		o.MayKeep = !one.Leaving && !k.view.evacuated(one.Domain) && !k.hasTerminated(one) && !k.rests(one.ID) && control.MayKeep(k.now(), k.hold())
		o.Usable = o.MayKeep && !control.Failing()
		o.Warming = warming[one.ID]
		out = append(out, o)
	}
	k.forgetRemovedUpstreams(v)
	return ownership.PreferWarm(out)
}

// capacity is how many requests a second the upstream can run, by what was seen of its runs and
// by the limit that it may name: else its keys stay where most of their requests are refused.
func (k *keyAssigner) capacity(one *instances.Instance) float64 {
	work := k.workTimes.of(k.service, one.ID)
	if work <= 0 {
		work = time.Second / defaultSlotRate
	}
	capacity := float64(one.Slots) / work.Seconds()
	if limit, ok := k.limits.of(one); ok {
		return min(capacity, quota.Used*limit)
	}
	return capacity
}

// warming returns the upstreams that warm up and whose requests are bounded, by ID.
func (k *keyAssigner) warming() map[string]bool {
	out := make(map[string]bool)
	for _, one := range k.traffic.get(k.service).warming(k.now()) {
		out[one.ID] = true
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
