// Package intent holds the documents by which operators state what should
// hold, the plan that answers an intent, and its progress.
package intent

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
)

// Kind says what an intent asks for.
type Kind string

// The kinds of intents.
const (
	// CreateService brings a service with its first upstreams.
	CreateService Kind = "create-service"
	// Configure replaces the configuration of a service.
	Configure Kind = "configure"
	// Join adds upstreams.
	Join Kind = "join"
	// Leave drains upstreams for a planned stop.
	Leave Kind = "leave"
	// Evict declares that upstreams have ended and will not come back.
	Evict Kind = "evict"
	// Move places a span on an upstream.
	Move Kind = "move"
	// EvictCell declares that a whole cell is lost and gives its spans away.
	EvictCell Kind = "evict-cell"
)

// State is the progress of an intent.
type State string

// The states of an intent.
const (
	// Planned: the plan waits for a confirm.
	Planned State = "planned"
	// Confirmed: the plan is being carried out.
	Confirmed State = "confirmed"
	// Done: every cell has carried out its part.
	Done State = "done"
	// Cancelled: withdrawn before the confirm.
	Cancelled State = "cancelled"
)

// Upstream describes an upstream to add.
type Upstream struct {
	ID      string     `json:"id"`
	Service string     `json:"service"`
	Addr    jsonc.Addr `json:"addr"`
	Cell    string     `json:"cell"`
}

// Spec is what the operator states.
type Spec struct {
	Kind Kind `json:"kind"`
	// Service is the configuration for CreateService and Configure.
	Service *service.Config `json:"service,omitempty"`
	// Upstreams are those to add for CreateService and Join.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Names are the upstreams for Leave and Evict, or the cell for EvictCell.
	Names []string `json:"names,omitempty"`
	// ServiceName, Span and To describe a Move. Key may stand for Span.
	ServiceName string         `json:"service_name,omitempty"`
	Span        *keyspace.Span `json:"span,omitempty"`
	Key         string         `json:"key,omitempty"`
	To          string         `json:"to,omitempty"`
}

// Check implements jsonc.Checker.
func (s *Spec) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	need := func(ok bool, path string) {
		if !ok {
			out = append(out, jsonc.Diagnostic{Path: path, Message: fmt.Sprintf("is required for %s", s.Kind)})
		}
	}
	switch s.Kind {
	case CreateService:
		need(s.Service != nil, "service")
		need(len(s.Upstreams) > 0, "upstreams")
	case Configure:
		need(s.Service != nil, "service")
	case Join:
		need(len(s.Upstreams) > 0, "upstreams")
	case Leave, Evict, EvictCell:
		need(len(s.Names) > 0, "names")
	case Move:
		need(s.ServiceName != "", "service_name")
		need(s.Span != nil || s.Key != "", "span")
		need(s.To != "", "to")
	default:
		out = append(out, jsonc.Diagnostic{Path: "kind", Message: fmt.Sprintf("unknown kind %q", s.Kind)})
	}
	if s.Service != nil {
		for _, f := range s.Service.Check() {
			f.Path = "service." + f.Path
			out = append(out, f)
		}
	}
	for i, u := range s.Upstreams {
		if u.ID == "" || u.Service == "" || u.Cell == "" || !u.Addr.IsValid() {
			out = append(out, jsonc.Diagnostic{
				Path:    fmt.Sprintf("upstreams[%d]", i),
				Message: "needs id, service, addr and cell",
			})
		}
	}
	return out
}

// BasisDocument is a document that a plan was computed from.
type BasisDocument struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Step is one change that a plan proposes.
type Step struct {
	// Cell carries the step out.
	Cell    string        `json:"cell"`
	Action  string        `json:"action"`
	Service string        `json:"service,omitempty"`
	Span    keyspace.Span `json:"span"`
	From    string        `json:"from,omitempty"`
	To      string        `json:"to,omitempty"`
	ToCell  string        `json:"to_cell,omitempty"`
}

// Cost is what a plan costs and gains.
type Cost struct {
	// Ranges is the number of ranges that change owner.
	Ranges int `json:"ranges"`
	// Churn is the share of the load that changes owner, and LeastChurn the
	// least that the intent needs.
	Churn      float64 `json:"churn"`
	MinChurn float64 `json:"least_churn"`
	// ImbalanceBefore and ImbalanceAfter are busiest over mean.
	ImbalanceBefore float64 `json:"imbalance_before"`
	ImbalanceAfter  float64 `json:"imbalance_after"`
	// Unavailable is the expected time without an owner per moved key.
	Unavailable jsonc.Duration `json:"unavailable"`
}

// Plan answers an intent.
type Plan struct {
	Basis []BasisDocument `json:"basis"`
	Steps []Step  `json:"steps"`
	Cost  Cost    `json:"cost"`
	// Explanation explains the proposal in a sentence.
	Explanation string `json:"why"`
}

// Intent is the stored document.
type Intent struct {
	ID      string    `json:"id"`
	WriteID string    `json:"write_id"`
	Created time.Time `json:"created"`
	// Operator names the operator.
	Operator    string `json:"by,omitempty"`
	State State  `json:"state"`
	Spec  Spec   `json:"spec"`
	Plan  Plan   `json:"plan"`
	// CompletedCells names the cells that have carried out their part.
	CompletedCells []string `json:"progress,omitempty"`
}

// Cells returns the cells that have a part in the plan, each once. Steps without
// a cell are carried out by the confirm itself.
func (i *Intent) Cells() []string {
	var out []string
	seen := make(map[string]bool)
	for _, s := range i.Plan.Steps {
		if s.Cell != "" && !seen[s.Cell] {
			out = append(out, s.Cell)
		}
		seen[s.Cell] = true
	}
	return out
}

// Decode parses an intent document.
func Decode(data []byte) (*Intent, error) {
	var i Intent
	if err := json.Unmarshal(data, &i); err != nil {
		return nil, fmt.Errorf("intent document: %w", err)
	}
	if i.ID == "" {
		return nil, fmt.Errorf("intent document without id")
	}
	return &i, nil
}
