package check

import (
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rockcroft/rockcroft/bench/load"
)

// Verdict is the result of a linearizability check.
type Verdict string

// Verdicts.
const (
	Linearizable Verdict = "linearizable"
	Violated     Verdict = "not linearizable"
	// Undecided: the check did not finish before its timeout.
	Undecided Verdict = "not decided"
)

// ownership is the state of one key in the sequential model: its owner and the epoch.
type ownership struct {
	epoch uint64
	owner string
}

// model requires that the owner of a key changes only with a higher epoch.
var model = porcupine.Model{
	Init: func() any { return ownership{} },
	Step: func(state, _, output any) (bool, any) {
		was, now := state.(ownership), output.(ownership)
		return now.epoch > was.epoch || now == was, now
	},
	Equal: func(a, b any) bool { return a.(ownership) == b.(ownership) },
}

// Owners checks what callers saw, without the logs of the upstreams: the answered requests for each
// key must be linearizable, that is, each takes effect at some time between its sending and its
// response, and in that order the owner changes only with a higher epoch.
func Owners(outcomes []load.Outcome, timeout time.Duration) Verdict {
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
	until := time.Now().Add(timeout)
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
