// Package handover holds the edits of a cell document by which ranges change
// owner. Each edit is a pure function from one document to the next; the
// controller stores the result by a conditional update.
//
//	Owned --Release--> Releasing --Complete--> Owned by Next, epoch+1
//	                             \-----------> Exported to NextCell
//	                             \-----------> Vacant
//	Vacant --Reserve--> Vacant with Next --Complete--> Owned by Next, epoch+1
//
// A reserved epoch is durable before the grant is sent, so two controllers
// never grant one epoch to two upstreams.
package handover

import (
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Move asks that a range changes owner. An empty To and ToCell leave the range
// vacant.
type Move struct {
	Service string `json:"service"`
	keyspace.Span
	To     string `json:"to,omitempty"`
	ToCell string `json:"to_cell,omitempty"`
	// Intent names the intent behind the move, if any.
	Intent string `json:"intent,omitempty"`
}

// Editor prepares the next version of a document.
type Editor struct {
	doc         *cell.Cell
	raisesFence bool
	changed     bool
}

// Edit starts an edit of doc, which stays untouched. Settled says that the
// fence of doc is known to be settled, so earlier quorums can be forgotten.
func NewEditor(doc *cell.Cell, settled bool) *Editor {
	next := doc.Clone()
	next.Version++
	if settled {
		next.Previous = nil
	}
	return &Editor{doc: next}
}

// Doc returns the document being prepared.
func (e *Editor) Doc() *cell.Cell { return e.doc }

// Changed reports whether any edit had an effect.
func (e *Editor) Changed() bool { return e.changed }

// Finish returns the document with its write id, or nil when nothing changed.
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

// Touch marks the document as changed by an edit made through Doc.
func (e *Editor) MarkChanged() { e.changed = true }

// SetQuorum replaces the voters and raises the fence.
func (e *Editor) SetQuorum(q cell.Quorum) {
	e.doc.Previous = append(e.doc.Previous, e.doc.Quorum)
	e.doc.Quorum = q
	e.raisesFence = true
	e.changed = true
}

// Release takes the owned parts of the move's span from their owners. It
// returns how many ranges are being released by it.
func (e *Editor) Release(m Move) int {
	s := e.doc.Service(m.Service)
	if s == nil {
		return 0
	}
	s.Carve(m.Span)
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

// Reserve names the upstream that takes a vacant range, or one that is being
// released without a next owner.
func (e *Editor) Reserve(service string, span keyspace.Span, next string) bool {
	r := e.rangeAt(service, span)
	if r == nil || r.Next != "" || r.NextCell != "" || (r.Phase != cell.Vacant && r.Phase != cell.Releasing) {
		return false
	}
	r.Next = next
	e.changed = true
	return true
}

// Complete ends the hand-over of a range: the grant of Epoch+1 to Next is
// acknowledged, or there is no Next.
func (e *Editor) Complete(service string, span keyspace.Span, epoch uint64) bool {
	r := e.rangeAt(service, span)
	if r == nil || r.Epoch != epoch || (r.Phase != cell.Releasing && r.Phase != cell.Vacant) {
		return false
	}
	switch {
	case r.NextCell != "":
		// The epoch rises here too, so that a range that comes back is told
		// from one whose export is not recorded yet.
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

// Lose marks an upstream as lost and releases its ranges. Ranges reserved for
// it are passed over with Skip once their old owner has released them. The
// fence rises in any case: its acknowledgements tell which leases are left.
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

// Skip passes over a reserved owner that was lost before it served. The
// reservation may have been granted, so its epoch is used up and the range is
// released from the reserved owner in turn. The old owner must have released.
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

// Adopt inserts a span that the directory gave to this cell as vacant parts.
func (e *Editor) Adopt(service string, span keyspace.Span, epoch uint64, parts int) {
	s := e.doc.EnsureService(service)
	for _, part := range span.Split(parts) {
		s.Insert(cell.Range{Span: part, Epoch: epoch, Phase: cell.Vacant})
	}
	e.changed = true
}

// Drop removes exported ranges, and vacant ones that are not reserved, within
// span; the directory names another cell.
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

// Split cuts a range at the ends of span without a change of owner.
func (e *Editor) Split(service string, span keyspace.Span) {
	s := e.doc.Service(service)
	if s == nil {
		return
	}
	before := len(s.Ranges)
	s.Carve(span)
	e.changed = e.changed || len(s.Ranges) != before
}

// exact returns the range with just this span, or nil.
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
