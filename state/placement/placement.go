// Package placement defines the operator's placement intents: pinning keys to an
// upstream, or draining an upstream before it stops. Each intent has a plan of the
// key moves that it causes.
package placement

import (
	"errors"
	"fmt"

	"github.com/rockcroft/rockcroft/state/spans"
)

// Kind is the operation that an intent requests.
type Kind string

// Kinds of intents.
const (
	// Drain moves all keys and new requests off an upstream before a planned
	// stop.
	Drain Kind = "drain"
	// Pin keeps keys on an upstream for as long as the upstream is alive.
	Pin Kind = "pin"
)

// State is the progress of an intent.
type State string

// States of an intent.
const (
	// Planned: the plan is waiting for confirmation.
	Planned State = "planned"
	// Confirmed: the intent is in effect.
	Confirmed State = "confirmed"
	// Cancelled: the intent was withdrawn.
	Cancelled State = "cancelled"
)

// Step moves a span of keys from one upstream to another.
type Step struct {
	spans.KeyRange
	From string `json:"from"`
	To   string `json:"to"`
}

// Intent is an operator's placement request with its plan.
type Intent struct {
	ID       string `json:"id"`
	Kind     Kind   `json:"kind"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// Keys is the span of keys to pin. It is used only for Pin.
	Keys  spans.KeyRange `json:"keys"`
	State State          `json:"state"`
	// Operator is the name of the operator who created the intent.
	Operator string `json:"by"`
	// Plan lists the moves that the intent causes, computed when it was created.
	// It is empty for a drain of an upstream without keys.
	Plan []Step `json:"plan"`
}

// Validate returns an error for the first problem in the intent.
func (i *Intent) Validate() error {
	switch {
	case i.Kind != Drain && i.Kind != Pin:
		return fmt.Errorf("unknown kind %q", i.Kind)
	case i.Service == "":
		return errors.New("the service is missing")
	case i.Upstream == "":
		return errors.New("the upstream is missing")
	case i.Kind == Pin && i.Keys.Last < i.Keys.First:
		return fmt.Errorf("the keys %d-%d are no span", i.Keys.First, i.Keys.Last)
	}
	return nil
}

// SamePlan reports whether two plans have the same moves in the same order.
func SamePlan(a, b []Step) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
