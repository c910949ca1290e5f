package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/handover"
	"github.com/rockcroft/rockcroft/coordination/planner"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/transport/platform"
)

// intentSet holds the latest known version of each intent, by ID.
type intentSet struct {
	byID map[string]storedIntent
}

// storedIntent is an intent with the version of its object on the platform.
type storedIntent struct {
	intent  *intent.Intent
	version uint64
}

// add stores an intent unless the known version is at least as new.
func (set *intentSet) add(i *intent.Intent, version uint64) {
	if known, ok := set.byID[i.ID]; ok && known.version >= version {
		return
	}
	if set.byID == nil {
		set.byID = make(map[string]storedIntent)
	}
	set.byID[i.ID] = storedIntent{i, version}
}

// unfinished returns the confirmed intents with steps in the cell that are not
// finished yet, the oldest first.
func (set *intentSet) unfinished(cellName string) []storedIntent {
	var out []storedIntent
	for _, s := range set.byID {
		i := s.intent
		if i.State == intent.Confirmed && slices.Contains(i.Cells(), cellName) && !slices.Contains(i.CompletedCells, cellName) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b storedIntent) int {
		if c := a.intent.Created.Compare(b.intent.Created); c != 0 {
			return c
		}
		return strings.Compare(a.intent.ID, b.intent.ID)
	})
	return out
}

func (c *controlLoop) recordIntent(i *intent.Intent, version uint64) {
	c.mu.Lock()
	c.intents.add(i, version)
	c.mu.Unlock()
	c.reconcileIntents()
}

// reconcileIntents sets the core's desired state from the unfinished intents, and
// records the progress of those that are finished in this cell.
func (c *controlLoop) reconcileIntents() {
	c.mu.Lock()
	unfinished := c.intents.unfinished(c.e.self.Cell)
	doc := c.core.Doc()
	leads := c.core.Leads(c.e.clock())
	if doc == nil || !leads {
		c.mu.Unlock()
		return
	}
	var desired controller.DesiredState
	var finished []storedIntent
	for _, s := range unfinished {
		if c.addDesired(&desired, s.intent, doc) {
			finished = append(finished, s)
		}
	}
	c.core.SetDesired(desired)
	c.mu.Unlock()
	for _, s := range finished {
		go c.recordProgress(s)
	}
}

// addDesired adds the unfinished steps of an intent in this cell to the desired
// state. It returns true if there are none.
func (c *controlLoop) addDesired(desired *controller.DesiredState, i *intent.Intent, doc *cell.Cell) bool {
	done := true
	for _, s := range i.Plan.Steps {
		if s.Cell != c.e.self.Cell {
			continue
		}
		done = c.addStep(desired, i, s, doc) && done
	}
	return done
}

// addStep adds one step to the desired state unless it is finished. It returns true
// if the step is finished.
func (c *controlLoop) addStep(desired *controller.DesiredState, i *intent.Intent, s intent.Step, doc *cell.Cell) bool {
	switch s.Action {
	case planner.ActionAdd:
		if u := doc.Upstream(s.To); u != nil {
			return u.State == cell.Active && u.Boot != ""
		}
		for _, u := range i.Spec.Upstreams {
			if u.ID == s.To {
				desired.Upstreams = append(desired.Upstreams, cell.Upstream{ID: u.ID, Service: u.Service, Addr: u.Addr.String()})
			}
		}
		return false
	case planner.ActionDrain:
		desired.Drain = append(desired.Drain, s.From)
		return doc.Upstream(s.From) == nil
	case planner.ActionEvict:
		desired.Evict = append(desired.Evict, s.From)
		return doc.Upstream(s.From) == nil
	case planner.ActionMove:
		return c.addMove(desired, i, s, doc)
	}
	return true
}

// addMove adds a move to the desired state unless it is finished or its new owner
// has left. It returns true if the move is finished or no longer possible.
func (c *controlLoop) addMove(desired *controller.DesiredState, i *intent.Intent, s intent.Step, doc *cell.Cell) bool {
	pending := false
	for _, r := range rangesOverlapping(doc, s) {
		pending = pending || s.ToCell != "" || r.Phase != cell.Owned || r.Owner != s.To
	}
	if s.ToCell == "" && len(rangesOverlapping(doc, s)) == 0 && doc.Upstream(s.To) != nil {
		// The range is still being moved here from another cell.
		return false
	}
	if !pending || s.To != "" && doc.Upstream(s.To) == nil && !addsUpstream(i, s.To) {
		return true
	}
	desired.Moves = append(desired.Moves, handover.Move{
		Service: s.Service, Span: s.Span, To: s.To, ToCell: s.ToCell, Intent: i.ID,
	})
	return false
}

// addsUpstream reports whether the intent itself adds the upstream.
func addsUpstream(i *intent.Intent, id string) bool {
	return slices.ContainsFunc(i.Spec.Upstreams, func(u intent.Upstream) bool { return u.ID == id })
}

func rangesOverlapping(doc *cell.Cell, s intent.Step) []cell.Range {
	var out []cell.Range
	if svc := doc.Service(s.Service); svc != nil {
		for _, r := range svc.Ranges {
			if r.Overlaps(s.Span) {
				out = append(out, r)
			}
		}
	}
	return out
}

// recordProgress records on the platform that this cell has finished its steps of
// the intent. The intent is done once all its cells have.
func (c *controlLoop) recordProgress(s storedIntent) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	next := *s.intent
	next.WriteID = newID()
	next.CompletedCells = append(slices.Clone(next.CompletedCells), c.e.self.Cell)
	if len(next.CompletedCells) >= len(next.Cells()) {
		next.State = intent.Done
	}
	version, err := platform.PutWithWriteID(ctx, c.e.store, platform.KindIntent, next.ID, &next, s.version)
	if err != nil {
		// Another cell may have recorded its progress at the same time: load its
		// version, and retry at the next reconciliation.
		if obj, err := c.e.store.Get(ctx, platform.KindIntent, next.ID); err == nil {
			if known, err := intent.Decode(obj.Value); err == nil {
				c.mu.Lock()
				c.intents.add(known, obj.Version)
				c.mu.Unlock()
			}
		}
		return
	}
	c.mu.Lock()
	c.intents.add(&next, version)
	c.mu.Unlock()
	c.e.log.Info("intent finished in this cell", "intent", next.ID, "kind", next.Spec.Kind, "state", next.State)
}

// listIntents reads all intents from the platform, the newest first.
func (e *Entry) listIntents(ctx context.Context) ([]storedIntent, error) {
	batch, err := e.store.List(ctx, platform.KindIntent)
	if err != nil {
		return nil, err
	}
	out := make([]storedIntent, 0, len(batch.Objects))
	for _, obj := range batch.Objects {
		i, err := intent.Decode(obj.Value)
		if err != nil {
			continue
		}
		out = append(out, storedIntent{i, obj.Version})
	}
	slices.SortFunc(out, func(a, b storedIntent) int { return b.intent.Created.Compare(a.intent.Created) })
	return out, nil
}

// reconcileInterval is the time between two reconciliations of the intents.
const reconcileInterval = 200 * time.Millisecond

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}
