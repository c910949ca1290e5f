package check

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rockcroft/rockcroft/bench/load"
)

// Verdict is the result of a linearizability check.
type Verdict string

// The verdicts.
const (
	Linearizable Verdict = "linearizable"
	Violated     Verdict = "not linearizable"
	// Undecided: the check took too long.
	Undecided Verdict = "not decided"
)

// ownership is the state of one key in the sequential model: who owns it under
// which epoch.
type ownership struct {
	epoch uint64
	owner string
}

// model says that the owner of a key may only change to a higher epoch.
var model = porcupine.Model{
	Init: func() any { return ownership{} },
	Step: func(state, _, output any) (bool, any) {
		was, now := state.(ownership), output.(ownership)
		return now.epoch > was.epoch || now == was, now
	},
	Equal: func(a, b any) bool { return a.(ownership) == b.(ownership) },
}

// Owners checks what callers saw, without the upstreams' logs: for each key
// there must be an order of the answered requests, each at a moment between its
// send and its answer, in which the owner changes only to higher epochs.
func Owners(outcomes []load.Outcome, limit time.Duration) Verdict {
	byKey := make(map[string][]porcupine.Operation)
	for i, o := range outcomes {
		if !o.OK() || o.Epoch == 0 {
			continue
		}
		key := o.Service + "/" + o.Key
		byKey[key] = append(byKey[key], porcupine.Operation{
			ClientId: i,
			Call:     o.Start,
			Output:   ownership{o.Epoch, o.Owner},
			Return:   o.End,
		})
	}
	until := time.Now().Add(limit)
	verdict := Linearizable
	for _, history := range byKey {
		switch porcupine.CheckOperationsTimeout(model, history, max(time.Until(until), time.Millisecond)) {
		case porcupine.Illegal:
			return Violated
		case porcupine.Unknown:
			verdict = Undecided
		}
	}
	return verdict
}
