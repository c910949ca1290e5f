// Package controller decides what happens in one cell: who votes, which
// upstreams count, and how ranges pass from owner to owner.
//
// Core is deterministic: events and the time come in, commands go out. Any
// entry of the cell may run one. The conditional update of the cell document
// serializes them, so that two at once are wasteful but harmless, and all steps
// can be resumed from the document alone.
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

// Limits are the times and sizes a controller works with.
type Limits struct {
	Fence  fence.Limits
	Detect detect.Limits
	// LeaseTTL bounds the lease of an upstream.
	LeaseTTL time.Duration
	// DrainWait is how long one Apply waits for requests in flight before it
	// reports the ranges that are still busy.
	DrainWait time.Duration
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
	// WideAfter is how long the local voters have to acknowledge a fence
	// before the witnesses are asked too.
	WitnessDelay time.Duration
	// MemberTTL is the silence after which a voter is replaced.
	MemberTTL time.Duration
	// RetryAfter is the pause before a failed command is sent again.
	RetryAfter time.Duration
	// ReleasesPerFence bounds how many ranges are taken from their owners at
	// once by planned moves.
	ReleasesPerFence int
	// PartsPerUpstream is the number of ranges per upstream of a new span.
	RangesPerUpstream int
}

// DefaultLimits returns the limits for a budget of four seconds from the loss
// of an upstream to the next owner.
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

// Placer chooses owners for ranges that need one.
type Placer interface {
	// Place returns an active upstream of the cell for each span, or "" when
	// there is none. Avoid is never chosen.
	Place(doc *cell.Cell, service string, spans []keyspace.Span, avoid string) []string
}

// Services tells the core what it must know of a service's configuration.
type Services interface {
	// ChecksFences reports whether upstreams of the service refuse requests
	// without a valid lease and epoch.
	ChecksFences(service string) bool
}

// Core is the state of one controller. It is not safe for concurrent use.
type Core struct {
	self     cell.Member
	limits   Limits
	placer   Placer
	services Services
	newID    func() string

	doc     *cell.Cell
	version uint64

	settlement  *fence.Settlement
	fenceSeenAt time.Time
	settled     bool
	applied     map[string]ApplyResult
	leaseEnds   map[string]time.Time
	revoked     map[grantID]bool
	granted     map[grantID]bool
	prepared    map[prepareID]time.Time
	resetBoots  map[string]string

	detector        *detect.Detector
	contacts        map[string]contact
	rosters         map[string]*cell.Roster
	directories     map[string]*cell.Directory
	upstreams       map[string]cell.Upstream
	draining        map[string]bool
	evicted         map[string]bool
	dead            map[string]time.Time
	documentMissing bool
	pendingMoves    []handover.Move
	pendingSplits   []handover.Move
	inFlight        map[string]bool
	retryAt         map[string]time.Time
}

// rangeID names one grant of one range.
type grantID struct {
	service string
	span    keyspace.Span
	epoch   uint64
	holder  string
}

type prepareID struct {
	service string
	span    keyspace.Span
	to      string
}

type contact struct {
	member      cell.Member
	lastContact time.Time
	// version of the cell document that the member uses at least, as heard
	// first at versionAt. Zero when it told none.
	version   uint64
	versionAt time.Time
}

// NewCore returns a controller for the cell of self. NewID returns a fresh
// write id with each call.
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

// Doc returns the newest cell document known, or nil.
func (c *Core) Doc() *cell.Cell { return c.doc }

// OnDocument takes a cell document read from the platform at the given object
// version. Older documents than the one known are ignored.
func (c *Core) OnDocument(now time.Time, doc *cell.Cell, version uint64) {
	if doc.Name != c.self.Cell || c.doc != nil && doc.Version < c.doc.Version {
		return
	}
	// A document from a peer comes without its platform version; the first
	// write then conflicts and the document is read again.
	if version != 0 || c.doc == nil || doc.Version > c.doc.Version {
		c.version = version
	}
	if c.doc != nil && doc.Version == c.doc.Version {
		return
	}
	c.trimAcks()
	for _, u := range doc.Upstreams {
		// Kept until the document shows a boot id: a second reset would make
		// the first one look like a process that has ended. Once it does, by
		// whichever controller, the upstream may hold grants again and the
		// reset proves nothing any more.
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

// maxRemembered bounds the acknowledgements kept. Forgotten ones are asked for
// again, which is harmless: grants and revocations are idempotent.
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

// OnMissing notes that the platform has no document of the cell yet.
func (c *Core) OnDocumentMissing() { c.documentMissing = c.doc == nil }

// OnDead notes that an entry process has certainly ended: a later incarnation
// of it was heard, or the platform no longer lists its VM.
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

// silentGrace is added to the wait for silent entries when some service in the
// cell has upstreams that do not check epochs.
func (c *Core) silentGrace() time.Duration {
	for _, s := range c.doc.Services {
		if !c.services.ChecksFences(s.Name) {
			return c.limits.MaxDeadline
		}
	}
	return 0
}

// OnDirectory takes a directory document.
func (c *Core) OnDirectory(d *cell.Directory) {
	if known := c.directories[d.Service]; known == nil || known.Version < d.Version {
		c.directories[d.Service] = d
	}
}

// OnRoster takes the member list of a cell.
func (c *Core) OnRoster(now time.Time, r *cell.Roster) {
	if known := c.rosters[r.Cell]; known != nil && known.Version >= r.Version {
		return
	}
	c.rosters[r.Cell] = r
	for _, m := range r.Members {
		c.recordPredecessorsDead(now, m.ID)
	}
}

// OnBeat notes that a member of any cell is alive.
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

// OnVersion notes that a member of the cell uses the cell document of the given
// version or a later one. A process never goes back to an older document.
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

// follow tells the settler of a member that uses the document of its fence. It
// may end before it acknowledges, and nobody else could tell then that a quorum
// of which it was the only voter is over.
func (c *Core) recordAdopted(h contact) {
	if c.settlement != nil && h.version >= c.settlement.Fence() {
		c.settlement.RecordAdopted(h.versionAt, h.member.ID)
	}
}

// succeed notes that earlier incarnations of the member have ended.
func (c *Core) recordPredecessorsDead(now time.Time, id string) {
	for _, old := range c.voters() {
		if Supersedes(id, old.ID) {
			c.OnMemberDead(now, old.ID)
		}
	}
}

func (c *Core) isWide(id string) bool {
	if c.doc.Quorum.HasWide(id) {
		return true
	}
	return slices.ContainsFunc(c.doc.Previous, func(q cell.Quorum) bool { return q.HasWide(id) })
}

// OnObservation notes what an entry saw of an upstream.
func (c *Core) OnObservation(now time.Time, entry, upstream string, o detect.Observation) {
	c.detector.Report(now, entry, upstream, o)
}

// Wants is what the unfinished intents ask of the cell.
type DesiredState struct {
	// Upstreams are to be active.
	Upstreams []cell.Upstream
	// Drain names upstreams that give up their ranges and leave.
	Drain []string
	// Evict names upstreams that have ended on an operator's word. For those
	// that do not check epochs nothing else proves it when they are silent.
	Evict []string
	// Moves are changes of owner.
	Moves []handover.Move
}

// SetWants replaces what is asked of the cell. Moves that are pending already
// are kept.
func (c *Core) SetDesired(w DesiredState) {
	clear(c.upstreams)
	clear(c.draining)
	clear(c.evicted)
	for _, u := range w.Upstreams {
		c.upstreams[u.ID] = u
	}
	for _, id := range append(slices.Clone(w.Drain), w.Evict...) {
		c.draining[id] = true
		delete(c.upstreams, id)
	}
	for _, id := range w.Evict {
		c.evicted[id] = true
	}
	c.AddMoves(w.Moves)
}

// AddMoves asks for changes of owner once. A move that is pending already is
// not added again.
func (c *Core) AddMoves(moves []handover.Move) {
	for _, m := range moves {
		if !slices.Contains(c.pendingMoves, m) {
			c.pendingMoves = append(c.pendingMoves, m)
		}
	}
}

// AddSplits asks that ranges are cut at the ends of spans.
func (c *Core) AddSplits(service string, spans []keyspace.Span) {
	for _, s := range spans {
		c.pendingSplits = append(c.pendingSplits, handover.Move{Service: service, Span: s})
	}
}

// PendingMoves returns the moves that have not been started.
func (c *Core) PendingMoves() []handover.Move { return slices.Clone(c.pendingMoves) }
