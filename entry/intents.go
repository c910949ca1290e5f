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

// intentBook holds the unfinished intents that the controller carries out.
type intentSet struct {
	byID map[string]storedIntent
}

// storedIntent is an intent with the platform version of its object.
type storedIntent struct {
	intent  *intent.Intent
	version uint64
}

func (b *intentSet) add(i *intent.Intent, version uint64) {
	if known, ok := b.byID[i.ID]; ok && known.version >= version {
		return
	}
	if b.byID == nil {
		b.byID = make(map[string]storedIntent)
	}
	b.byID[i.ID] = storedIntent{i, version}
}

// open returns the confirmed intents with a part for the cell that is not
// carried out yet, the oldest first.
func (b *intentSet) unfinished(cellName string) []storedIntent {
	var out []storedIntent
	for _, s := range b.byID {
		i := s.intent
		if i.State == intent.Confirmed && slices.Contains(i.Cells(), cellName) && !slices.Contains(i.Progress, cellName) {
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

// pursue tells the core what the open intents ask, and reports those that are
// carried out.
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

// addWants adds what the intent still asks of this cell. It returns true when
// nothing is left.
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

// addMove wants a move unless it is carried out, or cannot be any more because
// its new owner has left.
func (c *controlLoop) addMove(desired *controller.DesiredState, i *intent.Intent, s intent.Step, doc *cell.Cell) bool {
	pending := false
	for _, r := range rangesOverlapping(doc, s) {
		pending = pending || s.ToCell != "" || r.Phase != cell.Owned || r.Owner != s.To
	}
	if s.ToCell == "" && len(rangesOverlapping(doc, s)) == 0 && doc.Upstream(s.To) != nil {
		// The range is on its way from another cell.
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

// finishIntent records that this cell has carried out its part.
func (c *controlLoop) recordProgress(s storedIntent) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	next := *s.intent
	next.WriteID = newID()
	next.Progress = append(slices.Clone(next.Progress), c.e.self.Cell)
	if len(next.Progress) >= len(next.Cells()) {
		next.State = intent.Done
	}
	version, err := platform.PutOwn(ctx, c.e.store, platform.KindIntent, next.ID, &next, s.version)
	if err != nil {
		// Another cell reported at the same time: take its version and try
		// again with the next look.
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
	c.e.log.Info("intent carried out here", "intent", next.ID, "kind", next.Spec.Kind, "state", next.State)
}

// listIntents reads all intents from the platform.
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

// pursueInterval is the time between looks at open intents.
const reconcileInterval = 200 * time.Millisecond

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}
