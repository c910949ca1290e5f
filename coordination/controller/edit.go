package controller

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/coordination/handover"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// prepareTTL is how long an upstream counts as prepared for a range before the
// current owner starts to release it.
const prepareTTL = 30 * time.Second

// edit returns the next version of the cell document, or nil if nothing changes.
func (c *Core) edit(now time.Time) *cell.Cell {
	e := handover.NewEditor(c.doc, c.settled)
	c.editUpstreams(now, e)
	c.editDirectories(e)
	c.editReserved(e)
	if c.settled {
		c.editReleased(now, e)
	}
	if c.settled && len(c.doc.Previous) > 0 {
		// Dropping the previous quorums is worth a write of its own: a later
		// controller then needs no answers from the former voters, which may
		// have ended by then.
		e.MarkChanged()
	}
	if c.settled && !c.deferToHandovers(now, e.Doc()) {
		c.editQuorum(now, e)
		c.planDrains()
		c.editMoves(now, e)
	}
	for _, m := range c.pendingSplits {
		e.Split(m.Service, m.Span)
	}
	c.pendingSplits = nil
	c.reserveOwners(e)
	return e.Finish(c.newID())
}

// maxHandoverDelay is how long a new fence waits for handovers in progress.
const maxHandoverDelay = 3 * time.Second

// deferToHandovers reports whether edits that raise the fence must wait for
// handovers in progress. A new fence would delay those, because next owners receive
// their grants only while the fence is settled.
func (c *Core) deferToHandovers(now time.Time, doc *cell.Cell) bool {
	return hasReleasing(doc) && now.Sub(c.fenceSeenAt) < maxHandoverDelay
}

func (c *Core) editQuorum(now time.Time, e *handover.Editor) {
	want := c.desiredQuorum(now)
	if !sameQuorum(want, e.Doc().Quorum) {
		e.SetQuorum(want)
	}
}

// hasReleasing reports whether any range is being released.
func hasReleasing(doc *cell.Cell) bool {
	for _, s := range doc.Services {
		if slices.ContainsFunc(s.Ranges, func(r cell.Range) bool { return r.Phase == cell.Releasing }) {
			return true
		}
	}
	return false
}

// editUpstreams adds the desired upstreams and updates the state of each upstream.
func (c *Core) editUpstreams(now time.Time, e *handover.Editor) {
	for _, u := range sortedUpstreams(c.upstreams) {
		if e.Doc().Upstream(u.ID) == nil {
			e.Doc().Upstreams = append(e.Doc().Upstreams, cell.Upstream{
				ID: u.ID, Service: u.Service, Addr: u.Addr, State: cell.Active,
			})
			e.MarkChanged()
		}
	}
	for _, u := range slices.Clone(e.Doc().Upstreams) {
		c.editUpstream(now, e, u)
	}
}

func (c *Core) editUpstream(now time.Time, e *handover.Editor, u cell.Upstream) {
	verdict := c.detector.Assess(now, u.ID, u.Boot, c.reportsNeeded(now))
	current := e.Doc().Upstream(u.ID)
	switch {
	case c.evicted[u.ID] && u.State != cell.Lost:
		e.MarkLost(u.ID)
	case u.State == cell.Lost && c.draining[u.ID] && !hasRanges(e.Doc(), u.ID):
		c.removeUpstream(e, u.ID)
	case u.State == cell.Lost && verdict.Health == detect.Alive && c.resetBoots[u.ID] != "":
		current.State = cell.Active
		current.Boot = c.resetBoots[u.ID]
		e.MarkChanged()
	case u.State == cell.Lost:
	case u.Boot == "" && c.resetBoots[u.ID] != "":
		current.Boot = c.resetBoots[u.ID]
		e.MarkChanged()
	case u.Boot != "" && (verdict.Health == detect.Silent || verdict.Health == detect.Gone):
		e.MarkLost(u.ID)
	case u.State == cell.Active && (c.draining[u.ID] || verdict.Leaving):
		current.State = cell.Draining
		e.MarkChanged()
	case u.State == cell.Draining && c.draining[u.ID] && !hasRanges(e.Doc(), u.ID):
		c.removeUpstream(e, u.ID)
	}
}

func (c *Core) removeUpstream(e *handover.Editor, id string) {
	doc := e.Doc()
	doc.Upstreams = slices.DeleteFunc(doc.Upstreams, func(u cell.Upstream) bool { return u.ID == id })
	e.MarkChanged()
}

// hasRanges reports whether the upstream owns a range or is the next owner of one.
func hasRanges(doc *cell.Cell, id string) bool {
	for _, s := range doc.Services {
		for _, r := range s.Ranges {
			if r.Owner == id && r.Phase != cell.Exported || r.Next == id {
				return true
			}
		}
	}
	return false
}

// editDirectories adopts the spans that a directory assigned to this cell, and
// releases and drops those that it assigned to other cells.
func (c *Core) editDirectories(e *handover.Editor) {
	for _, name := range sortedKeys(c.directories) {
		for _, seg := range c.directories[name].Segments {
			if seg.Cell == c.self.Cell {
				c.adoptSegment(e, name, seg)
				continue
			}
			// The directory may have changed while this cell was cut off
			// from the platform, so ranges that it still owns within the
			// segment must be released.
			e.Release(handover.Move{Service: name, Span: seg.Span, ToCell: seg.Cell})
			e.Drop(name, seg.Span)
		}
	}
}

// adoptSegment adds vacant ranges for the parts of the segment that have none.
func (c *Core) adoptSegment(e *handover.Editor, service string, seg cell.Segment) {
	s := e.Doc().Service(service)
	var gaps []keyspace.Span
	if s == nil {
		gaps = []keyspace.Span{seg.Span}
	} else {
		gaps = c.uncoveredSpans(e, service, s, seg)
	}
	parts := c.limits.RangesPerUpstream * max(1, len(e.Doc().UpstreamsOf(service, cell.Active)))
	for _, g := range gaps {
		n := int(float64(parts) * g.Fraction() / seg.Fraction())
		e.Adopt(service, g, seg.Epoch, max(n, 1))
	}
}

// uncoveredSpans returns the parts of the segment that no range covers. It first
// drops exported ranges that a newer directory has returned to this cell.
func (c *Core) uncoveredSpans(e *handover.Editor, service string, s *cell.Service, seg cell.Segment) []keyspace.Span {
	var returned []keyspace.Span
	for _, r := range s.Ranges {
		if r.Phase == cell.Exported && seg.Covers(r.Span) && seg.Epoch > r.Epoch {
			returned = append(returned, r.Span)
		}
	}
	for _, span := range returned {
		e.Drop(service, span)
	}
	var gaps []keyspace.Span
	next, open := seg.First, true
	for _, r := range e.Doc().Service(service).Ranges {
		if !r.Overlaps(seg.Span) {
			continue
		}
		if r.First > next {
			gaps = append(gaps, keyspace.Span{First: next, Last: r.First - 1})
		}
		open = r.Last < seg.Last
		next = r.Last + 1
	}
	if open {
		gaps = append(gaps, keyspace.Span{First: next, Last: seg.Last})
	}
	return gaps
}

// editReserved completes vacant ranges whose next owner has acknowledged its grant.
// Their release was proven earlier, so this does not need a settled fence.
func (c *Core) editReserved(e *handover.Editor) {
	for _, s := range c.doc.Services {
		for _, r := range s.Ranges {
			if r.Phase == cell.Vacant && r.Next != "" {
				c.completeRange(e, s.Name, r)
			}
		}
	}
}

// editReleased completes the handover of every range that is proven to be released,
// or skips a next owner that was lost.
func (c *Core) editReleased(now time.Time, e *handover.Editor) {
	for _, s := range c.doc.Services {
		for _, r := range s.Ranges {
			if r.Phase == cell.Releasing && c.released(now, s.Name, r) {
				c.completeRange(e, s.Name, r)
			}
		}
	}
}

// completeRange completes the handover of a released range if its next owner has
// acknowledged the grant, and skips the next owner if it was lost.
func (c *Core) completeRange(e *handover.Editor, service string, r cell.Range) {
	if r.Next != "" {
		next := e.Doc().Upstream(r.Next)
		if next == nil || next.State == cell.Lost {
			e.SkipReserved(service, r.Span)
			return
		}
		if !c.granted[grantID{service, r.Span, r.Epoch + 1, r.Next}] {
			return
		}
	}
	e.Complete(service, r.Span, r.Epoch)
}

// planDrains adds moves for the ranges of draining upstreams.
func (c *Core) planDrains() {
	for _, u := range c.doc.Upstreams {
		if u.State != cell.Draining {
			continue
		}
		var spans []keyspace.Span
		for _, r := range rangesOf(c.doc, u.Service) {
			if r.Owner == u.ID && r.Phase == cell.Owned && !c.hasMove(u.Service, r.Span) {
				spans = append(spans, r.Span)
			}
		}
		for i, to := range c.placer.Place(c.doc, u.Service, spans, u.ID) {
			if to != "" {
				c.pendingMoves = append(c.pendingMoves, handover.Move{Service: u.Service, Span: spans[i], To: to})
			}
		}
	}
}

// hasMove reports whether a pending move covers the span.
func (c *Core) hasMove(service string, span keyspace.Span) bool {
	return slices.ContainsFunc(c.pendingMoves, func(m handover.Move) bool {
		return m.Service == service && m.Covers(span)
	})
}

// editMoves starts the pending moves whose new owner is prepared, up to the limit
// of releases per fence.
func (c *Core) editMoves(now time.Time, e *handover.Editor) {
	kept := c.pendingMoves[:0]
	started := 0
	for _, m := range c.pendingMoves {
		switch {
		case m.To != "" && !c.usable(m.To):
		case m.To != "" && !c.isPrepared(now, m) || started >= c.limits.ReleasesPerFence:
			kept = append(kept, m)
		default:
			started += e.Release(m)
		}
	}
	c.pendingMoves = kept
}

// usable reports whether an upstream may be granted ranges.
func (c *Core) usable(id string) bool {
	u := c.doc.Upstream(id)
	return u != nil && u.State == cell.Active && u.Boot != ""
}

func (c *Core) isPrepared(now time.Time, m handover.Move) bool {
	at, ok := c.prepared[prepareID{m.Service, m.Span, m.To}]
	return ok && now.Sub(at) < prepareTTL
}

// reserveOwners sets the next owner of ranges that need one: vacant ranges, and
// those of lost upstreams. The latter get theirs in the same write that records the
// loss, so that the grant can follow the release without another write.
func (c *Core) reserveOwners(e *handover.Editor) {
	for _, s := range slices.Clone(e.Doc().Services) {
		var spans []keyspace.Span
		for _, r := range s.Ranges {
			if needsOwner(e.Doc(), r) {
				spans = append(spans, r.Span)
			}
		}
		if len(spans) == 0 {
			continue
		}
		for i, to := range c.placer.Place(e.Doc(), s.Name, spans, "") {
			if to != "" {
				e.Reserve(s.Name, spans[i], to)
			}
		}
	}
}

// needsOwner reports whether a range is vacant or being released by a lost owner, and has
// no next owner or cell.
func needsOwner(doc *cell.Cell, r cell.Range) bool {
	if r.Next != "" || r.NextCell != "" {
		return false
	}
	owner := doc.Upstream(r.Owner)
	return r.Phase == cell.Vacant || r.Phase == cell.Releasing && (owner == nil || owner.State == cell.Lost)
}
