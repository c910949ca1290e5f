// Package handover edits a cell document to change the owners of ranges. An edit
// takes one version of the document and produces the next, without side effects;
// the controller stores the result with a conditional update.
//
//	Owned --Release--> Releasing --Complete--> Owned by Next, epoch+1
//	                             \-----------> Exported to NextCell
//	                             \-----------> Vacant
//	Vacant --Reserve--> Vacant with Next --Complete--> Owned by Next, epoch+1
//
// The document names the next owner before the grant of the next epoch is sent,
// so two controllers never grant the same epoch to two upstreams.
package handover

import (
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Move requests that the owned ranges within Span pass to the upstream To or to
// the cell ToCell. If both are empty, the ranges become vacant.
type Move struct {
	Service string `json:"service"`
	keyspace.Span
	To     string `json:"to,omitempty"`
	ToCell string `json:"to_cell,omitempty"`
	// Intent is the ID of the intent that requested the move, if any.
	Intent string `json:"intent,omitempty"`
}

// Editor builds the next version of a cell document.
type Editor struct {
	doc         *cell.Cell
	raisesFence bool
	changed     bool
}

// NewEditor returns an editor for the version after doc, which is not modified.
// Settled reports that the fence of doc is settled, that is, no entry that knows
// only older versions may send any more; the previous quorums are then dropped.
func NewEditor(doc *cell.Cell, settled bool) *Editor {
	next := doc.Clone()
	next.Version++
	if settled {
		next.Previous = nil
	}
	return &Editor{doc: next}
}

// Doc returns the document being edited.
func (e *Editor) Doc() *cell.Cell { return e.doc }

// Changed reports whether any edit changed the document.
func (e *Editor) Changed() bool { return e.changed }

// Finish sets the write ID and returns the document, or returns nil if nothing
// changed.
func (e *Editor) Finish(writeID string) *cell.Cell {
	if !e.changed {
		return nil
	}
	if e.raisesFence {
		e.doc.Fence = e.doc.Version
	}
	e.doc.WriteID = writeID
	return e.doc
}

// MarkChanged records that the caller changed the document returned by Doc.
func (e *Editor) MarkChanged() { e.changed = true }

// SetQuorum replaces the voters and raises the fence. The replaced quorum is kept
// among the previous ones until the new fence is settled.
func (e *Editor) SetQuorum(q cell.Quorum) {
	e.doc.Previous = append(e.doc.Previous, e.doc.Quorum)
	e.doc.Quorum = q
	e.raisesFence = true
	e.changed = true
}

// Release starts to release the owned ranges within the span of the move, except
// those that m.To owns already. It returns the number of ranges it released.
func (e *Editor) Release(m Move) int {
	s := e.doc.Service(m.Service)
	if s == nil {
		return 0
	}
	s.SplitAround(m.Span)
	count := 0
	for i := range s.Ranges {
		r := &s.Ranges[i]
		if !m.Covers(r.Span) || r.Phase != cell.Owned || r.Owner == m.To {
			continue
		}
		r.Phase = cell.Releasing
		r.Next = m.To
		r.NextCell = m.ToCell
		r.Intent = m.Intent
		count++
	}
	if count > 0 {
		e.raisesFence = true
		e.changed = true
	}
	return count
}

// Reserve sets the next owner of a range that is vacant or being released and has
// no next owner or cell yet. It reports whether it did so.
func (e *Editor) Reserve(service string, span keyspace.Span, next string) bool {
	r := e.rangeAt(service, span)
	if r == nil || r.Next != "" || r.NextCell != "" || (r.Phase != cell.Vacant && r.Phase != cell.Releasing) {
		return false
	}
	r.Next = next
	e.changed = true
	return true
}

// Complete ends the handover of a range at the given epoch. The caller must know
// that the old owner has released the range and that the next owner, if any, has
// acknowledged its grant of epoch+1.
func (e *Editor) Complete(service string, span keyspace.Span, epoch uint64) bool {
	r := e.rangeAt(service, span)
	if r == nil || r.Epoch != epoch || (r.Phase != cell.Releasing && r.Phase != cell.Vacant) {
		return false
	}
	switch {
	case r.NextCell != "":
		// An export raises the epoch too, so that a range that another cell
		// returns can be distinguished from one whose export the directory
		// does not show yet.
		r.Phase = cell.Exported
		r.Owner = ""
		r.Epoch++
	case r.Next != "":
		r.Phase = cell.Owned
		r.Owner = r.Next
		r.Epoch++
	case r.Phase == cell.Releasing:
		r.Phase = cell.Vacant
		r.Owner = ""
	default:
		return false
	}
	r.Next = ""
	e.changed = true
	return true
}

// MarkLost marks an upstream as lost and starts to release its ranges. Ranges
// reserved for it are handled by SkipReserved once their old owner has released
// them. The fence rises even if the upstream owns nothing, because the
// acknowledgements of the fence state which of its leases are still valid.
func (e *Editor) MarkLost(id string) {
	u := e.doc.Upstream(id)
	if u == nil || u.State == cell.Lost {
		return
	}
	u.State = cell.Lost
	u.Boot = ""
	e.raisesFence = true
	e.changed = true
	s := e.doc.Service(u.Service)
	if s == nil {
		return
	}
	for i := range s.Ranges {
		r := &s.Ranges[i]
		if r.Owner == id && r.Phase == cell.Owned {
			r.Phase = cell.Releasing
		}
	}
}

// SkipReserved handles a next owner that was lost before its handover completed.
// It may have received the grant, so its epoch counts as used and the range must
// be released from it as well. The old owner must have released the range before.
func (e *Editor) SkipReserved(service string, span keyspace.Span) bool {
	r := e.rangeAt(service, span)
	if r == nil || r.Next == "" || (r.Phase != cell.Vacant && r.Phase != cell.Releasing) {
		return false
	}
	r.Owner = r.Next
	r.Epoch++
	r.Phase = cell.Releasing
	r.Next = ""
	e.raisesFence = true
	e.changed = true
	return true
}

// Adopt adds a span that the directory assigned to this cell, as the given number
// of vacant ranges.
func (e *Editor) Adopt(service string, span keyspace.Span, epoch uint64, parts int) {
	s := e.doc.EnsureService(service)
	for _, part := range span.Split(parts) {
		s.Insert(cell.Range{Span: part, Epoch: epoch, Phase: cell.Vacant})
	}
	e.changed = true
}

// Drop removes the ranges within span that are exported, or vacant without a next
// owner. The directory has assigned span to another cell, or has returned an
// exported span to this one.
func (e *Editor) Drop(service string, span keyspace.Span) {
	s := e.doc.Service(service)
	if s == nil {
		return
	}
	kept := s.Ranges[:0]
	for _, r := range s.Ranges {
		idle := r.Phase == cell.Exported || r.Phase == cell.Vacant && r.Next == ""
		if idle && span.Covers(r.Span) {
			e.changed = true
			continue
		}
		kept = append(kept, r)
	}
	s.Ranges = kept
}

// Split splits ranges at the bounds of span without changing owners.
func (e *Editor) Split(service string, span keyspace.Span) {
	s := e.doc.Service(service)
	if s == nil {
		return
	}
	before := len(s.Ranges)
	s.SplitAround(span)
	e.changed = e.changed || len(s.Ranges) != before
}

// rangeAt returns the range whose span equals the given one, or nil.
func (e *Editor) rangeAt(service string, span keyspace.Span) *cell.Range {
	s := e.doc.Service(service)
	if s == nil {
		return nil
	}
	i := s.Find(span.First)
	if i < 0 || s.Ranges[i].Span != span {
		return nil
	}
	return &s.Ranges[i]
}
