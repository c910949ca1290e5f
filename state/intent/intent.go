// Package intent defines the documents with which operators request changes: the
// requested change, the plan that was computed for it, and its progress.
package intent

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
)

// Kind is the operation that an intent requests.
type Kind string

// Kinds of intents.
const (
	// CreateService adds a service with its first upstreams.
	CreateService Kind = "create-service"
	// Configure replaces the configuration of a service.
	Configure Kind = "configure"
	// Join adds upstreams to existing services.
	Join Kind = "join"
	// Leave drains upstreams before a planned stop.
	Leave Kind = "leave"
	// Evict declares that upstreams have terminated and will not return.
	Evict Kind = "evict"
	// Move moves a span to an upstream.
	Move Kind = "move"
	// EvictCell declares that an entire cell is lost and assigns its spans to
	// other cells.
	EvictCell Kind = "evict-cell"
)

// State is the progress of an intent.
type State string

// States of an intent.
const (
	// Planned: the plan is waiting for confirmation.
	Planned State = "planned"
	// Confirmed: the plan is being executed.
	Confirmed State = "confirmed"
	// Done: every cell has completed its part of the plan.
	Done State = "done"
	// Cancelled: the intent was withdrawn before confirmation.
	Cancelled State = "cancelled"
)

// Upstream describes an upstream to add.
type Upstream struct {
	ID      string     `json:"id"`
	Service string     `json:"service"`
	Addr    jsonc.Addr `json:"addr"`
	Cell    string     `json:"cell"`
}

// Spec is the change that the operator requests.
type Spec struct {
	Kind Kind `json:"kind"`
	// Service is the service configuration, for CreateService and Configure.
	Service *service.Config `json:"service,omitempty"`
	// Upstreams are the upstreams to add, for CreateService and Join.
	Upstreams []Upstream `json:"upstreams,omitempty"`
	// Names lists the upstreams for Leave and Evict, or the cell for EvictCell.
	Names []string `json:"names,omitempty"`
	// ServiceName, Span and To define a Move: To is the target upstream. Key can be
	// given in place of Span.
	ServiceName string         `json:"service_name,omitempty"`
	Span        *keyspace.Span `json:"span,omitempty"`
	Key         string         `json:"key,omitempty"`
	To          string         `json:"to,omitempty"`
}

// Check implements jsonc.Checker.
func (s *Spec) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	require := func(ok bool, path string) {
		if !ok {
			out = append(out, jsonc.Diagnostic{Path: path, Message: fmt.Sprintf("is required for %s", s.Kind)})
		}
	}
	switch s.Kind {
	case CreateService:
		require(s.Service != nil, "service")
		require(len(s.Upstreams) > 0, "upstreams")
	case Configure:
		require(s.Service != nil, "service")
	case Join:
		require(len(s.Upstreams) > 0, "upstreams")
	case Leave, Evict, EvictCell:
		require(len(s.Names) > 0, "names")
	case Move:
		require(s.ServiceName != "", "service_name")
		require(s.Span != nil || s.Key != "", "span")
		require(s.To != "", "to")
	default:
		out = append(out, jsonc.Diagnostic{Path: "kind", Message: fmt.Sprintf("unknown kind %q", s.Kind)})
	}
	if s.Service != nil {
		for _, d := range s.Service.Check() {
			d.Path = "service." + d.Path
			out = append(out, d)
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

// BasisDocument identifies the version of a document that a plan was computed from.
type BasisDocument struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Step is one change proposed by a plan.
type Step struct {
	// Cell is the cell that executes the step. If it is empty, the step is executed
	// when the intent is confirmed.
	Cell    string        `json:"cell"`
	Action  string        `json:"action"`
	Service string        `json:"service,omitempty"`
	Span    keyspace.Span `json:"span"`
	From    string        `json:"from,omitempty"`
	To      string        `json:"to,omitempty"`
	ToCell  string        `json:"to_cell,omitempty"`
}

// Cost estimates the cost and the benefit of a plan.
type Cost struct {
	// Ranges is the number of ranges that change owner.
	Ranges int `json:"ranges"`
	// Churn is the fraction of the load that changes owner. MinChurn is the
	// smallest fraction with which the intent can be fulfilled.
	Churn    float64 `json:"churn"`
	MinChurn float64 `json:"least_churn"`
	// ImbalanceBefore and ImbalanceAfter are the load of the busiest upstream
	// divided by the mean load, before and after the plan.
	ImbalanceBefore float64 `json:"imbalance_before"`
	ImbalanceAfter  float64 `json:"imbalance_after"`
	// Unavailable is the expected time for which each moved key has no owner.
	Unavailable jsonc.Duration `json:"unavailable"`
}

// Plan lists the steps that fulfill an intent, with their cost.
type Plan struct {
	Basis []BasisDocument `json:"basis"`
	Steps []Step          `json:"steps"`
	Cost  Cost            `json:"cost"`
	// Explanation gives the reason for the proposed steps in one sentence.
	Explanation string `json:"why"`
}

// Intent is the stored document of an operator's request.
type Intent struct {
	ID      string    `json:"id"`
	WriteID string    `json:"write_id"`
	Created time.Time `json:"created"`
	// Operator is the name of the operator who created the intent.
	Operator string `json:"by,omitempty"`
	State    State  `json:"state"`
	Spec     Spec   `json:"spec"`
	Plan     Plan   `json:"plan"`
	// CompletedCells lists the cells that have completed their part of the plan.
	CompletedCells []string `json:"progress,omitempty"`
}

// Cells returns the cells that have steps in the plan, without duplicates. Steps
// without a cell are executed when the intent is confirmed.
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

// Decode parses an intent document. The document must have an ID.
func Decode(data []byte) (*Intent, error) {
	var i Intent
	if err := json.Unmarshal(data, &i); err != nil {
		return nil, fmt.Errorf("decode intent document: %w", err)
	}
	if i.ID == "" {
		return nil, fmt.Errorf("decode intent document: missing id")
	}
	return &i, nil
}
