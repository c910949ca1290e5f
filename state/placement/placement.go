// Package placement holds what operators state about upstreams on the platform:
// where keys should live and which upstreams are about to stop, with the plan
// that answers it.
package placement

import (
	"errors"
	"fmt"

	"github.com/rockcroft/rockcroft/state/spans"
)

// Kind says what an intent asks for.
type Kind string

// The kinds of intents.
const (
	// Drain takes all keys and new requests away from an upstream before a
	// planned stop.
	Drain Kind = "drain"
	// Pin keeps keys on an upstream as long as it lives.
	Pin Kind = "pin"
)

// State is the progress of an intent.
type State string

// The states of an intent.
const (
	// Planned: the plan waits for a confirm.
	Planned State = "planned"
	// Confirmed: it is in force.
	Confirmed State = "confirmed"
	// Cancelled: it is withdrawn.
	Cancelled State = "cancelled"
)

// Step is one move of a plan.
type Step struct {
	spans.KeyRange
	From string `json:"from"`
	To   string `json:"to"`
}

// Intent is one statement with its plan.
type Intent struct {
	ID       string `json:"id"`
	Kind     Kind   `json:"kind"`
	Service  string `json:"service"`
	Upstream string `json:"upstream"`
	// Keys are those of a Pin.
	Keys  spans.KeyRange `json:"keys"`
	State State          `json:"state"`
	// By names the operator.
	By string `json:"by"`
	// Plan are the moves that the intent causes, computed when it was stated.
	// A drain of an upstream without keys has none.
	Plan []Step `json:"plan"`
}

// Check reports what is wrong with an intent, or nil.
func (i *Intent) Check() error {
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

// SamePlan reports whether two plans make the same moves.
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
