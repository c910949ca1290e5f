package controller

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/coordination/handover"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// prepareTTL is how long a prepared owner counts as warm before the release.
const prepareTTL = 30 * time.Second

// edit returns the next document, or nil when nothing is to change.
func (c *Core) edit(now time.Time) *cell.Cell {
	e := handover.Edit(c.doc, c.settled)
	c.editUpstreams(now, e)
	c.editDirectories(e)
	c.editReserved(e)
	if c.settled {
		c.editReleased(now, e)
	}
	if c.settled && len(c.doc.Previous) > 0 {
		// Written down, so that a successor need not hear from former voters
		// again, who may have ended by then.
		e.Touch()
	}
	if c.settled && !c.finishFirst(now, e.Doc()) {
		c.editMembers(now, e)
		c.wantDrains()
		c.editMoves(now, e)
	}
	for _, m := range c.splits {
		e.Split(m.Service, m.Span)
	}
	c.splits = nil
	c.editOrphans(e)
	return e.Finish(c.newID())
}

// handOverPatience is how long new fences wait for hand-overs under way.
const handOverPatience = 3 * time.Second

// finishFirst reports whether hand-overs are under way that a new fence would
// hold up: the next owners get their grants only while the fence is settled.
func (c *Core) finishFirst(now time.Time, doc *cell.Cell) bool {
	return handingOver(doc) && now.Sub(c.fenceSeen) < handOverPatience
}

func (c *Core) editMembers(now time.Time, e *handover.Editor) {
	want := c.wantedQuorum(now)
	if !sameQuorum(want, e.Doc().Quorum) {
		e.SetQuorum(want)
	}
}

func handingOver(doc *cell.Cell) bool {
	for _, s := range doc.Services {
		if slices.ContainsFunc(s.Ranges, func(r cell.Range) bool { return r.Phase == cell.Releasing }) {
			return true
		}
	}
	return false
}

func (c *Core) editUpstreams(now time.Time, e *handover.Editor) {
	for _, u := range sortedUpstreams(c.upstreams) {
		if e.Doc().Upstream(u.ID) == nil {
			e.Doc().Upstreams = append(e.Doc().Upstreams, cell.Upstream{
				ID: u.ID, Service: u.Service, Addr: u.Addr, State: cell.Active,
			})
			e.Touch()
		}
	}
	for _, u := range slices.Clone(e.Doc().Upstreams) {
		c.editUpstream(now, e, u)
	}
}

func (c *Core) editUpstream(now time.Time, e *handover.Editor, u cell.Upstream) {
	v := c.detector.Assess(now, u.ID, u.Boot, c.reportsNeeded(now))
	current := e.Doc().Upstream(u.ID)
	switch {
	case c.evicted[u.ID] && u.State != cell.Lost:
		e.Lose(u.ID)
	case u.State == cell.Lost && c.draining[u.ID] && !holds(e.Doc(), u.ID):
		c.removeUpstream(e, u.ID)
	case u.State == cell.Lost && v.Health == detect.Alive && c.reset[u.ID] != "":
		current.State = cell.Active
		current.Boot = c.reset[u.ID]
		e.Touch()
	case u.State == cell.Lost:
	case u.Boot == "" && c.reset[u.ID] != "":
		current.Boot = c.reset[u.ID]
		e.Touch()
	case u.Boot != "" && (v.Health == detect.Silent || v.Health == detect.Gone):
		e.Lose(u.ID)
	case u.State == cell.Active && (c.draining[u.ID] || v.Leaving):
		current.State = cell.Draining
		e.Touch()
	case u.State == cell.Draining && c.draining[u.ID] && !holds(e.Doc(), u.ID):
		c.removeUpstream(e, u.ID)
	}
}

func (c *Core) removeUpstream(e *handover.Editor, id string) {
	doc := e.Doc()
	doc.Upstreams = slices.DeleteFunc(doc.Upstreams, func(u cell.Upstream) bool { return u.ID == id })
	e.Touch()
}

// holds reports whether the upstream owns a range or is about to.
func holds(doc *cell.Cell, id string) bool {
	for _, s := range doc.Services {
		for _, r := range s.Ranges {
			if r.Owner == id && r.Phase != cell.Exported || r.Next == id {
				return true
			}
		}
	}
	return false
}

// editDirectories adopts spans that a directory gave to this cell and drops
// exported ranges that another cell has now.
func (c *Core) editDirectories(e *handover.Editor) {
	for _, name := range sortedKeys(c.directories) {
		for _, seg := range c.directories[name].Segments {
			if seg.Cell == c.self.Cell {
				c.adopt(e, name, seg)
				continue
			}
			// The directory may have moved on while this cell was cut off:
			// what it still owns there it has to give up.
			e.Release(handover.Move{Service: name, Span: seg.Span, ToCell: seg.Cell})
			e.Drop(name, seg.Span)
		}
	}
}

func (c *Core) adopt(e *handover.Editor, service string, seg cell.Segment) {
	s := e.Doc().Service(service)
	var gaps []keyspace.Span
	if s == nil {
		gaps = []keyspace.Span{seg.Span}
	} else {
		gaps = c.gapsOf(e, service, s, seg)
	}
	parts := c.limits.PartsPerUpstream * max(1, len(e.Doc().UpstreamsOf(service, cell.Active)))
	for _, g := range gaps {
		n := int(float64(parts) * g.Width() / seg.Width())
		e.Adopt(service, g, seg.Epoch, max(n, 1))
	}
}

// gapsOf returns the parts of the segment that no range covers. An exported
// range that came back by a newer directory is replaced.
func (c *Core) gapsOf(e *handover.Editor, service string, s *cell.Service, seg cell.Segment) []keyspace.Span {
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

// editReserved completes vacant ranges whose reserved owner has its grant. Their
// release was proven before, so that no fence has to be settled for them.
func (c *Core) editReserved(e *handover.Editor) {
	for _, s := range c.doc.Services {
		for _, r := range s.Ranges {
			if r.Phase == cell.Vacant && r.Next != "" {
				c.finish(e, s.Name, r)
			}
		}
	}
}

// editReleased completes or passes on every range whose release is proven.
func (c *Core) editReleased(now time.Time, e *handover.Editor) {
	for _, s := range c.doc.Services {
		for _, r := range s.Ranges {
			if r.Phase == cell.Releasing && c.released(now, s.Name, r) {
				c.finish(e, s.Name, r)
			}
		}
	}
}

func (c *Core) finish(e *handover.Editor, service string, r cell.Range) {
	if r.Next != "" {
		next := e.Doc().Upstream(r.Next)
		if next == nil || next.State == cell.Lost {
			e.Skip(service, r.Span)
			return
		}
		if !c.granted[rangeID{service, r.Span, r.Epoch + 1, r.Next}] {
			return
		}
	}
	e.Complete(service, r.Span, r.Epoch)
}

// wantDrains plans moves for the ranges of draining upstreams.
func (c *Core) wantDrains() {
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
				c.moves = append(c.moves, handover.Move{Service: u.Service, Span: spans[i], To: to})
			}
		}
	}
}

func (c *Core) hasMove(service string, span keyspace.Span) bool {
	return slices.ContainsFunc(c.moves, func(m handover.Move) bool {
		return m.Service == service && m.Covers(span)
	})
}

// editMoves starts the wanted moves whose new owner is prepared.
func (c *Core) editMoves(now time.Time, e *handover.Editor) {
	kept := c.moves[:0]
	started := 0
	for _, m := range c.moves {
		switch {
		case m.To != "" && !c.usable(m.To):
		case m.To != "" && !c.isPrepared(now, m) || started >= c.limits.ReleasesPerFence:
			kept = append(kept, m)
		default:
			started += e.Release(m)
		}
	}
	c.moves = kept
}

func (c *Core) usable(id string) bool {
	u := c.doc.Upstream(id)
	return u != nil && u.State == cell.Active && u.Boot != ""
}

func (c *Core) isPrepared(now time.Time, m handover.Move) bool {
	at, ok := c.prepared[prepareID{m.Service, m.Span, m.To}]
	return ok && now.Sub(at) < prepareTTL
}

// editOrphans reserves an owner for ranges that have none to come: vacant ones,
// and those of lost upstreams as soon as the loss is written, so that the grant
// follows the release without another write.
func (c *Core) editOrphans(e *handover.Editor) {
	for _, s := range slices.Clone(e.Doc().Services) {
		var spans []keyspace.Span
		for _, r := range s.Ranges {
			if orphaned(e.Doc(), r) {
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

func orphaned(doc *cell.Cell, r cell.Range) bool {
	if r.Next != "" || r.NextCell != "" {
		return false
	}
	owner := doc.Upstream(r.Owner)
	return r.Phase == cell.Vacant || r.Phase == cell.Releasing && (owner == nil || owner.State == cell.Lost)
}
