// Package planner computes plans for intents. A plan depends only on the intent and on the
// documents that it names as its basis.
package planner

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/coordination/placement"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
)

// Actions of plan steps.
const (
	ActionConfigure = "configure"
	ActionDirect    = "direct"
	ActionAdd       = "add-upstream"
	ActionDrain     = "drain-upstream"
	ActionEvict     = "evict-upstream"
	ActionMove      = "move"
)

// expectedUnavailable is the time without an owner that a planned move causes for each moved key,
// as measured by the handover benchmark.
const expectedUnavailable = 20 * time.Millisecond

// View is the state that a plan is computed from.
type View struct {
	Cells       map[string]*cell.Cell
	Directories map[string]*cell.Directory
	Services    map[string]*service.Config
	// Rate returns the requests a second to a span, or zero if unknown. It may be nil.
	Rate func(service string, span keyspace.Span) float64
}

func (v View) rate(service string, span keyspace.Span) float64 {
	if v.Rate == nil {
		return 0
	}
	return v.Rate(service, span)
}

// Plan computes the plan for the specification of an intent.
func Plan(spec intent.Spec, v View) (intent.Plan, error) {
	switch spec.Kind {
	case intent.CreateService:
		return planCreate(spec, v)
	case intent.Configure:
		return planConfigure(spec, v)
	case intent.Join:
		return planJoin(spec, v)
	case intent.Leave:
		return planLeave(spec, v, ActionDrain)
	case intent.Evict:
		return planLeave(spec, v, ActionEvict)
	case intent.Move:
		return planMove(spec, v)
	case intent.EvictCell:
		return planEvictCell(spec, v)
	}
	return intent.Plan{}, answer.New(answer.BadRequest, "unknown kind of intent %q", spec.Kind)
}

func planCreate(spec intent.Spec, v View) (intent.Plan, error) {
	name := spec.Service.Name
	if v.Services[name] != nil || v.Directories[name] != nil {
		return intent.Plan{}, answer.New(answer.Conflict, "service %s exists", name)
	}
	p := intent.Plan{Steps: []intent.Step{{Action: ActionConfigure, Service: name, Span: keyspace.FullSpan()}}}
	counts := make(map[string]int)
	for _, u := range spec.Upstreams {
		if u.Service != name {
			return p, answer.New(answer.BadRequest, "upstream %s is of service %s", u.ID, u.Service)
		}
		c := v.Cells[u.Cell]
		if c == nil {
			return p, answer.New(answer.NotFound, "no cell %q", u.Cell)
		}
		if c.Upstream(u.ID) != nil {
			return p, answer.New(answer.Conflict, "upstream %s exists in cell %s", u.ID, u.Cell)
		}
		counts[u.Cell]++
		p.Steps = append(p.Steps, intent.Step{Cell: u.Cell, Action: ActionAdd, Service: name, To: u.ID})
	}
	for _, seg := range DivideByWeight(counts) {
		p.Steps = append(p.Steps, intent.Step{Action: ActionDirect, Service: name, Span: seg.Span, ToCell: seg.Cell})
	}
	p.Basis = basis(v, sortedNames(counts)...)
	p.Cost.ImbalanceBefore, p.Cost.ImbalanceAfter = 1, 1
	p.Explanation = fmt.Sprintf("the hash space of %s is divided among its cells by their number of upstreams", name)
	return p, nil
}

// DivideByWeight divides the whole hash space among cells in proportion to their weights, in the
// order of their names.
func DivideByWeight(weights map[string]int) []cell.Segment {
	total := 0
	for _, n := range weights {
		total += n
	}
	if total == 0 {
		return nil
	}
	parts := keyspace.FullSpan().Split(total)
	var out []cell.Segment
	next := 0
	for _, name := range sortedNames(weights) {
		n := weights[name]
		if n == 0 {
			continue
		}
		span := keyspace.Span{First: parts[next].First, Last: parts[next+n-1].Last}
		out = append(out, cell.Segment{Span: span, Cell: name})
		next += n
	}
	return out
}

func sortedNames(m map[string]int) []string {
	out := make([]string, 0, len(m))
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func basis(v View, cells ...string) []intent.BasisDocument {
	var out []intent.BasisDocument
	for _, name := range cells {
		if c := v.Cells[name]; c != nil {
			out = append(out, intent.BasisDocument{Kind: "cell", Name: name, Version: c.Version})
		}
	}
	return out
}

func planConfigure(spec intent.Spec, v View) (intent.Plan, error) {
	current := v.Services[spec.Service.Name]
	if current == nil {
		return intent.Plan{}, answer.New(answer.NotFound, "no service %q", spec.Service.Name)
	}
	return intent.Plan{
		Basis:       []intent.BasisDocument{{Kind: "service", Name: current.Name, Version: current.Version}},
		Steps:       []intent.Step{{Action: ActionConfigure, Service: current.Name, Span: keyspace.FullSpan()}},
		Explanation: fmt.Sprintf("version %d of the configuration takes the place of version %d", current.Version+1, current.Version),
	}, nil
}

// nodesOf returns the active upstreams of a service in a cell.
func nodesOf(c *cell.Cell, service string) []placement.Node {
	var out []placement.Node
	for _, u := range c.UpstreamsOf(service, cell.Active) {
		out = append(out, placement.Node{ID: u.ID, Weight: 1})
	}
	return out
}

// itemsOf returns the ranges of a service in a cell with their present or next owners. If no load
// is known, the width of a range stands in for its load.
func itemsOf(c *cell.Cell, name string, v View) []placement.Item {
	s := c.Service(name)
	if s == nil {
		return nil
	}
	out := make([]placement.Item, 0, len(s.Ranges))
	total := 0.0
	for _, r := range s.Ranges {
		if r.Phase == cell.Exported {
			continue
		}
		rate := v.rate(name, r.Span)
		total += rate
		owner := r.Owner
		if r.Next != "" {
			owner = r.Next
		}
		out = append(out, placement.Item{Span: r.Span, Owner: owner, Load: rate})
	}
	if total > 0 {
		return out
	}
	for i := range out {
		out[i].Load = out[i].Fraction()
	}
	return out
}

func planJoin(spec intent.Spec, v View) (intent.Plan, error) {
	var p intent.Plan
	for _, u := range spec.Upstreams {
		c := v.Cells[u.Cell]
		if c == nil {
			return p, answer.New(answer.NotFound, "no cell %q", u.Cell)
		}
		if v.Services[u.Service] == nil {
			return p, answer.New(answer.NotFound, "no service %q", u.Service)
		}
		if c.Upstream(u.ID) != nil {
			return p, answer.New(answer.Conflict, "upstream %s exists in cell %s", u.ID, u.Cell)
		}
		p.Steps = append(p.Steps, intent.Step{Cell: u.Cell, Action: ActionAdd, Service: u.Service, To: u.ID})
		joinMoves(&p, c, u, v)
		p.Basis = append(p.Basis, basis(v, u.Cell)...)
	}
	p.Explanation = "each joining upstream takes its share from those that carry most in its cell"
	return p, nil
}

func joinMoves(p *intent.Plan, c *cell.Cell, u intent.Upstream, v View) {
	nodes := append(nodesOf(c, u.Service), placement.Node{ID: u.ID, Weight: 1})
	items := itemsOf(c, u.Service, v)
	moves := placement.Join(nodes, items, u.ID)
	addMoves(p, c, u.Service, moves)
	addCost(p, nodes, items, moves, 1/float64(len(nodes)))
}

func addMoves(p *intent.Plan, c *cell.Cell, service string, moves []placement.Move) {
	for _, m := range moves {
		p.Steps = append(p.Steps, intent.Step{
			Cell: c.Name, Action: ActionMove, Service: service, Span: m.Span, From: m.From, To: m.To,
		})
	}
}

// addCost adds the cost of the moves to a plan. minChurn is the smallest share of the load that has
// to move.
func addCost(p *intent.Plan, nodes []placement.Node, items []placement.Item, moves []placement.Move, minChurn float64) {
	total, moved := 0.0, 0.0
	for _, it := range items {
		total += it.Load
	}
	after := slices.Clone(items)
	for _, m := range moves {
		moved += m.Load
		for i := range after {
			if after[i].Span == m.Span {
				after[i].Owner = m.To
			}
		}
	}
	p.Cost.Ranges += len(moves)
	if total > 0 {
		p.Cost.Churn += moved / total
	}
	p.Cost.MinChurn += minChurn
	p.Cost.ImbalanceBefore = max(p.Cost.ImbalanceBefore, placement.Imbalance(nodes, items))
	p.Cost.ImbalanceAfter = max(p.Cost.ImbalanceAfter, placement.Imbalance(nodes, after))
	if len(moves) > 0 {
		p.Cost.Unavailable = jsonc.Duration(expectedUnavailable)
	}
}

// findUpstream returns an upstream and the cell it belongs to, or nil if no cell has it.
func findUpstream(v View, id string) (*cell.Cell, *cell.Upstream) {
	for _, c := range v.Cells {
		if u := c.Upstream(id); u != nil {
			return c, u
		}
	}
	return nil, nil
}

func planLeave(spec intent.Spec, v View, action string) (intent.Plan, error) {
	var p intent.Plan
	for _, id := range spec.Names {
		c, u := findUpstream(v, id)
		if u == nil {
			return p, answer.New(answer.NotFound, "no upstream %q", id)
		}
		nodes := slices.DeleteFunc(nodesOf(c, u.Service), func(n placement.Node) bool {
			return slices.Contains(spec.Names, n.ID)
		})
		if len(nodes) == 0 {
			return p, answer.New(answer.Conflict, "%s is the last upstream of %s in cell %s", id, u.Service, c.Name)
		}
		p.Steps = append(p.Steps, intent.Step{Cell: c.Name, Action: action, Service: u.Service, From: id})
		leaveMoves(&p, c, u, nodes, v)
		p.Basis = append(p.Basis, basis(v, c.Name)...)
	}
	p.Explanation = "the ranges of " + strings.Join(spec.Names, ", ") + " go to those that carry least in the cell"
	return p, nil
}

func leaveMoves(p *intent.Plan, c *cell.Cell, u *cell.Upstream, nodes []placement.Node, v View) {
	items := itemsOf(c, u.Service, v)
	leaving := 0.0
	total := 0.0
	orphaned := slices.Clone(items)
	for i := range orphaned {
		total += orphaned[i].Load
		if orphaned[i].Owner == u.ID {
			orphaned[i].Owner = ""
			leaving += orphaned[i].Load
		}
	}
	moves := placement.Place(nodes, orphaned, u.ID)
	for i := range moves {
		moves[i].From = u.ID
	}
	minChurn := 0.0
	if total > 0 {
		minChurn = leaving / total
	}
	addCost(p, nodes, items, moves, minChurn)
}

func planMove(spec intent.Spec, v View) (intent.Plan, error) {
	span := keyspace.Span{First: keyspace.HashKey(spec.Key), Last: keyspace.HashKey(spec.Key)}
	if spec.Span != nil {
		span = *spec.Span
	}
	to, u := findUpstream(v, spec.To)
	if u == nil || u.Service != spec.ServiceName {
		return intent.Plan{}, answer.New(answer.NotFound, "no upstream %q of service %s", spec.To, spec.ServiceName)
	}
	if u.State != cell.Active {
		return intent.Plan{}, answer.New(answer.Conflict, "upstream %s is %s", u.ID, u.State)
	}
	d := v.Directories[spec.ServiceName]
	if d == nil {
		return intent.Plan{}, answer.New(answer.NotFound, "no service %q", spec.ServiceName)
	}
	var p intent.Plan
	cells := map[string]int{to.Name: 1}
	for _, seg := range d.Segments {
		if !seg.Overlaps(span) {
			continue
		}
		part := keyspace.Span{First: max(seg.First, span.First), Last: min(seg.Last, span.Last)}
		cells[seg.Cell] = 1
		step := intent.Step{Cell: seg.Cell, Action: ActionMove, Service: spec.ServiceName, Span: part, To: spec.To}
		if seg.Cell != to.Name {
			step.To, step.ToCell = "", to.Name
			p.Steps = append(p.Steps, step)
			// The receiving cell then places the range on the upstream by a step of its own.
			step = intent.Step{Cell: to.Name, Action: ActionMove, Service: spec.ServiceName, Span: part, To: spec.To}
		}
		p.Steps = append(p.Steps, step)
		p.Cost.Ranges++
		p.Cost.Churn += part.Fraction()
		p.Cost.MinChurn += part.Fraction()
	}
	p.Cost.Unavailable = jsonc.Duration(expectedUnavailable)
	p.Basis = basis(v, sortedNames(cells)...)
	p.Explanation = fmt.Sprintf("the span %s is given to %s as stated", span, spec.To)
	return p, nil
}

// planEvictCell divides the spans of lost cells among the remaining cells in proportion to their
// active upstreams. It relies on the operator's confirmation that nothing in the lost cells is
// running any more.
func planEvictCell(spec intent.Spec, v View) (intent.Plan, error) {
	var p intent.Plan
	for _, name := range sortedDirectories(v) {
		counts := make(map[string]int)
		for _, c := range v.Cells {
			if !slices.Contains(spec.Names, c.Name) {
				counts[c.Name] = len(c.UpstreamsOf(name, cell.Active))
			}
		}
		steps, err := reassignSegments(name, v.Directories[name], spec.Names, counts)
		if err != nil {
			return p, err
		}
		p.Steps = append(p.Steps, steps...)
	}
	if len(p.Steps) == 0 {
		return p, answer.New(answer.NotFound, "no directory names %s", strings.Join(spec.Names, ", "))
	}
	p.Basis = basis(v, spec.Names...)
	p.Explanation = "the spans of the lost cells go to the remaining ones by their number of upstreams; " +
		"confirm only when nothing of the lost cells runs any more"
	return p, nil
}

// sortedDirectories returns the names of the services that have a directory, in order.
func sortedDirectories(v View) []string {
	names := make(map[string]int, len(v.Directories))
	for name := range v.Directories {
		names[name] = 1
	}
	return sortedNames(names)
}

// reassignSegments returns the steps that divide the segments of the lost cells among the others in
// proportion to their number of upstreams.
func reassignSegments(service string, d *cell.Directory, lost []string, counts map[string]int) ([]intent.Step, error) {
	total := 0
	for _, n := range counts {
		total += n
	}
	var out []intent.Step
	for _, seg := range d.Segments {
		if !slices.Contains(lost, seg.Cell) {
			continue
		}
		if total == 0 {
			return nil, answer.New(answer.Conflict, "no other cell has an upstream of %s", service)
		}
		parts := seg.Split(total)
		next := 0
		for _, name := range sortedNames(counts) {
			n := min(counts[name], len(parts)-next)
			if n <= 0 {
				continue
			}
			span := keyspace.Span{First: parts[next].First, Last: parts[next+n-1].Last}
			out = append(out, intent.Step{Action: ActionDirect, Service: service, Span: span, From: seg.Cell, ToCell: name})
			next += n
		}
	}
	return out, nil
}
