// Package controller manages one cell: it decides which entries vote, which
// upstreams may own ranges, and how ranges pass from one owner to the next.
//
// Core is deterministic: it takes events and the time, and returns commands. Every
// entry of the cell may run one. Conditional updates of the cell document serialize
// their decisions, so two active controllers waste work but do no harm. A new
// controller can resume every step from the document alone.
package controller

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/coordination/handover"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Limits configures the timing and sizes of a controller.
type Limits struct {
	Fence  fence.Limits
	Detect detect.Limits
	// LeaseTTL is the maximum duration of an upstream's lease.
	LeaseTTL time.Duration
	// DrainWait is how long a voter that handles one Apply waits for requests in
	// flight before it reports the ranges that are still busy.
	DrainWait time.Duration
	// MaxDeadline is the longest allowed request deadline.
	MaxDeadline time.Duration
	// WitnessDelay is how long the controller waits for the local voters to
	// acknowledge a fence before it asks the witnesses too.
	WitnessDelay time.Duration
	// MemberTTL is how long a voter may be silent before it is replaced.
	MemberTTL time.Duration
	// RetryAfter is the delay before a failed command is issued again.
	RetryAfter time.Duration
	// ReleasesPerFence limits how many ranges the planned moves may start to
	// release with one fence.
	ReleasesPerFence int
	// RangesPerUpstream is the number of ranges per active upstream into which a
	// span is split when the cell takes it over.
	RangesPerUpstream int
}

// DefaultLimits returns limits that let a range of a lost upstream have its next
// owner within four seconds of the loss.
func DefaultLimits() Limits {
	return Limits{
		Fence: fence.Limits{TTL: 1200 * time.Millisecond, DriftPercent: 2},
		Detect: detect.Limits{
			SuspectAfter: 1000 * time.Millisecond,
			RefusedAfter: 400 * time.Millisecond,
			ReportTTL:    1500 * time.Millisecond,
		},
		LeaseTTL:          1200 * time.Millisecond,
		DrainWait:         10 * time.Millisecond,
		MaxDeadline:       10 * time.Second,
		WitnessDelay:      150 * time.Millisecond,
		MemberTTL:         1200 * time.Millisecond,
		RetryAfter:        100 * time.Millisecond,
		ReleasesPerFence:  16,
		RangesPerUpstream: 16,
	}
}

// Placer chooses the owners of ranges.
type Placer interface {
	// Place returns an active upstream of the cell for each span, or "" if there
	// is none. It never chooses the upstream avoid.
	Place(doc *cell.Cell, service string, spans []keyspace.Span, avoid string) []string
}

// Services gives access to the configuration of services.
type Services interface {
	// ChecksFences reports whether the upstreams of the service refuse requests
	// for which they have no valid lease at the request's epoch.
	ChecksFences(service string) bool
}

// Core holds the state of one controller. It is not safe for concurrent use.
type Core struct {
	self     cell.Member
	limits   Limits
	placer   Placer
	services Services
	newID    func() string

	// doc is the newest known cell document, and version its platform version,
	// zero if unknown.
	doc     *cell.Cell
	version uint64

	// settlement tracks the fence of doc, which was first seen at fenceSeenAt.
	settlement  *fence.Settlement
	fenceSeenAt time.Time
	settled     bool
	// applied holds the last answer of each voter to an Apply with this fence.
	applied map[string]ApplyResult
	// leaseEnds holds, by upstream, when all its reported leases will have expired.
	leaseEnds map[string]time.Time
	// revoked and granted hold what the upstreams have acknowledged.
	revoked map[grantID]bool
	granted map[grantID]bool
	// prepared holds when an upstream acknowledged that it prepares for a span.
	prepared map[prepareID]time.Time
	// resetBoots holds, by upstream, the boot ID after a reset that the document
	// does not show yet.
	resetBoots map[string]string

	detector    *detect.Detector
	contacts    map[string]contact
	rosters     map[string]*cell.Roster
	directories map[string]*cell.Directory
	upstreams   map[string]cell.Upstream
	draining    map[string]bool
	evicted     map[string]bool
	// dead holds the members whose processes have ended, and since when that is
	// known.
	dead            map[string]time.Time
	documentMissing bool
	pendingMoves    []handover.Move
	pendingSplits   []handover.Move
	// inFlight and retryAt are keyed by command: those not ended yet, and when
	// failed ones may be issued again.
	inFlight map[string]bool
	retryAt  map[string]time.Time
}

// grantID identifies one grant of one range.
type grantID struct {
	service string
	span    keyspace.Span
	epoch   uint64
	holder  string
}

// prepareID identifies the preparation of an upstream for a span.
type prepareID struct {
	service string
	span    keyspace.Span
	to      string
}

// contact is the last contact with a member.
type contact struct {
	member      cell.Member
	lastContact time.Time
	// version is the newest cell version that the member is known to use, zero
	// if none, and versionAt is when that became known.
	version   uint64
	versionAt time.Time
}

// NewCore returns a controller for the cell of self. NewID must return a unique
// write ID on each call.
func NewCore(self cell.Member, limits Limits, placer Placer, services Services, newID func() string) *Core {
	return &Core{
		self:        self,
		limits:      limits,
		placer:      placer,
		services:    services,
		newID:       newID,
		applied:     make(map[string]ApplyResult),
		leaseEnds:   make(map[string]time.Time),
		revoked:     make(map[grantID]bool),
		granted:     make(map[grantID]bool),
		prepared:    make(map[prepareID]time.Time),
		resetBoots:  make(map[string]string),
		detector:    detect.New(limits.Detect),
		contacts:    make(map[string]contact),
		rosters:     make(map[string]*cell.Roster),
		directories: make(map[string]*cell.Directory),
		upstreams:   make(map[string]cell.Upstream),
		draining:    make(map[string]bool),
		evicted:     make(map[string]bool),
		dead:        make(map[string]time.Time),
		inFlight:    make(map[string]bool),
		retryAt:     make(map[string]time.Time),
	}
}

// Doc returns the newest known cell document, or nil.
func (c *Core) Doc() *cell.Cell { return c.doc }

// OnDocument handles a cell document that was read from the platform at the given
// object version, or received from a peer with version zero. Documents older than
// the known one are ignored.
func (c *Core) OnDocument(now time.Time, doc *cell.Cell, version uint64) {
	if doc.Name != c.self.Cell || c.doc != nil && doc.Version < c.doc.Version {
		return
	}
	// The platform version of a document from a peer is unknown. The next write
	// then conflicts, and the document is read from the platform again.
	if version != 0 || c.doc == nil || doc.Version > c.doc.Version {
		c.version = version
	}
	if c.doc != nil && doc.Version == c.doc.Version {
		return
	}
	c.trimAcks()
	for _, u := range doc.Upstreams {
		// The boot ID of a reset is kept until the document shows a boot ID,
		// so that the upstream is not reset again: the boot ID of the first
		// reset would then look like that of a process that has ended. Once
		// any controller has written a boot ID, the upstream may hold new
		// grants, so the reset no longer proves that it holds none.
		if u.Boot != "" {
			delete(c.resetBoots, u.ID)
		}
	}
	sameFence := c.doc != nil && c.doc.Fence == doc.Fence
	c.doc = doc
	if sameFence {
		c.settlement.SetQuorums(doc)
		return
	}
	c.settlement = fence.NewSettlement(doc, c.limits.Fence)
	c.fenceSeenAt = now
	c.settled = false
	c.applied = make(map[string]ApplyResult)
	for id, at := range c.dead {
		c.settlement.RecordDead(at, id)
	}
	for _, h := range c.contacts {
		c.recordAdopted(h)
	}
	c.recordPredecessorsDead(now, c.self.ID)
	for _, id := range sortedKeys(c.contacts) {
		c.recordPredecessorsDead(now, id)
	}
	for _, r := range c.rosters {
		for _, m := range r.Members {
			c.recordPredecessorsDead(now, m.ID)
		}
	}
}

// maxRememberedAcks limits the number of acknowledgements kept of each kind. Those
// dropped are requested again, which is harmless because grants and revocations are
// idempotent.
const maxRememberedAcks = 1 << 16

func (c *Core) trimAcks() {
	if len(c.granted) > maxRememberedAcks {
		clear(c.granted)
	}
	if len(c.revoked) > maxRememberedAcks {
		clear(c.revoked)
	}
	if len(c.prepared) > maxRememberedAcks {
		clear(c.prepared)
	}
}

// OnDocumentMissing records that the platform holds no document of the cell yet.
func (c *Core) OnDocumentMissing() { c.documentMissing = c.doc == nil }

// OnMemberDead records that an entry process has certainly ended: a later
// incarnation of it is known, or the platform no longer lists its VM.
func (c *Core) OnMemberDead(now time.Time, id string) {
	if c.isDead(id) {
		return
	}
	c.dead[id] = now
	delete(c.contacts, id)
	if c.settlement != nil {
		c.settlement.RecordDead(now, id)
	}
}

func (c *Core) isDead(id string) bool {
	_, ok := c.dead[id]
	return ok
}

// silentGrace returns the additional wait for entries that do not answer. It is
// needed if a service of the cell has upstreams that do not check epochs: requests
// of such an entry may still be in flight to them.
func (c *Core) silentGrace() time.Duration {
	for _, s := range c.doc.Services {
		if !c.services.ChecksFences(s.Name) {
			return c.limits.MaxDeadline
		}
	}
	return 0
}

// OnDirectory handles a directory document.
func (c *Core) OnDirectory(d *cell.Directory) {
	if known := c.directories[d.Service]; known == nil || known.Version < d.Version {
		c.directories[d.Service] = d
	}
}

// OnRoster handles the member list of a cell.
func (c *Core) OnRoster(now time.Time, r *cell.Roster) {
	if known := c.rosters[r.Cell]; known != nil && known.Version >= r.Version {
		return
	}
	c.rosters[r.Cell] = r
	for _, m := range r.Members {
		c.recordPredecessorsDead(now, m.ID)
	}
}

// OnHeartbeat records that a member of any cell is alive.
func (c *Core) OnHeartbeat(now time.Time, m cell.Member) {
	if c.isDead(m.ID) {
		return
	}
	c.recordPredecessorsDead(now, m.ID)
	if m.Cell == c.self.Cell || c.doc != nil && c.isWide(m.ID) {
		h := c.contacts[m.ID]
		h.member, h.lastContact = m, now
		c.contacts[m.ID] = h
	}
}

// OnVersion records that a member of the cell uses the given version of the cell
// document or a later one. A process never returns to an older document.
func (c *Core) OnVersion(now time.Time, m cell.Member, version uint64) {
	c.OnHeartbeat(now, m)
	h, ok := c.contacts[m.ID]
	if !ok || m.Cell != c.self.Cell || version <= h.version {
		return
	}
	h.version, h.versionAt = version, now
	c.contacts[m.ID] = h
	c.recordAdopted(h)
}

// recordAdopted informs the settlement if a member uses a document of the current
// fence or a later one. If that member is the only voter of a previous quorum and
// ends before it acknowledges, nothing else shows that the quorum makes no more
// promises under older fences.
func (c *Core) recordAdopted(h contact) {
	if c.settlement != nil && h.version >= c.settlement.Fence() {
		c.settlement.RecordAdopted(h.versionAt, h.member.ID)
	}
}

// recordPredecessorsDead records that the earlier incarnations of a member have
// ended.
func (c *Core) recordPredecessorsDead(now time.Time, id string) {
	for _, old := range c.voters() {
		if Supersedes(id, old.ID) {
			c.OnMemberDead(now, old.ID)
		}
	}
}

// isWide reports whether the member is a wide voter of the current or a previous
// quorum.
func (c *Core) isWide(id string) bool {
	if c.doc.Quorum.HasWide(id) {
		return true
	}
	return slices.ContainsFunc(c.doc.Previous, func(q cell.Quorum) bool { return q.HasWide(id) })
}

// OnObservation records what an entry observed of an upstream.
func (c *Core) OnObservation(now time.Time, entry, upstream string, o detect.Observation) {
	c.detector.Report(now, entry, upstream, o)
}

// DesiredState is what the unfinished intents request of the cell.
type DesiredState struct {
	// Upstreams lists the upstreams that shall be active.
	Upstreams []cell.Upstream
	// Drain lists the upstreams that shall hand over their ranges and leave.
	Drain []string
	// Evict lists the upstreams that, as an operator confirms, have ended. If an
	// upstream that does not check epochs is silent, nothing else proves that it
	// has ended.
	Evict []string
	// Moves lists the requested changes of owner.
	Moves []handover.Move
}

// SetDesired replaces the desired state. Moves that are already pending are kept.
func (c *Core) SetDesired(desired DesiredState) {
	clear(c.upstreams)
	clear(c.draining)
	clear(c.evicted)
	for _, u := range desired.Upstreams {
		c.upstreams[u.ID] = u
	}
	for _, id := range append(slices.Clone(desired.Drain), desired.Evict...) {
		c.draining[id] = true
		delete(c.upstreams, id)
	}
	for _, id := range desired.Evict {
		c.evicted[id] = true
	}
	c.AddMoves(desired.Moves)
}

// AddMoves adds pending moves. A move that is already pending is not added again.
func (c *Core) AddMoves(moves []handover.Move) {
	for _, m := range moves {
		if !slices.Contains(c.pendingMoves, m) {
			c.pendingMoves = append(c.pendingMoves, m)
		}
	}
}

// AddSplits requests that ranges are split at the bounds of the spans.
func (c *Core) AddSplits(service string, spans []keyspace.Span) {
	for _, s := range spans {
		c.pendingSplits = append(c.pendingSplits, handover.Move{Service: service, Span: s})
	}
}

// PendingMoves returns the moves that have not started yet.
func (c *Core) PendingMoves() []handover.Move { return slices.Clone(c.pendingMoves) }
