package ownership

import (
	"sort"

	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// overloadLimitFactor is the multiple of an owner's capacity to which the requests for its keys
	// are limited. These limits cut off only what is certain to fail. The gateways' shares of each
	// upstream's slots decide about the rest: they react sooner, and to the requests that the owner
	// really completes.
	overloadLimitFactor = 1.6
	// maxLimitedKeys bounds the limited keys of a service; the hottest ones are kept. The list is
	// sent to all gateways four times a second.
	maxLimitedKeys = 256
)

// Limit is a key for which only a share of the requests is admitted.
type Limit struct {
	Key uint16
	// AdmittedShare is the share of the requests that is admitted, from 0 to 1.
	AdmittedShare float64
}

// Limits returns the limits for keys of overloaded owners, in the order of the keys. Each owner's
// capacity is divided among its keys by max-min fairness: all keys get the same maximum rate, and
// what the cold keys leave unused goes to the hot ones. A hot key therefore takes nothing from the
// other keys of its owner, and hundreds of gateways, each of which sees only a few of its requests,
// together send about as many as the owner can run.
func Limits(table *spans.Table, owners []Owner, load map[uint16]float64) []Limit {
	byOwner := make(map[string][]uint16)
	for key := range load {
		if owner := futureOwner(table.Find(key)); owner != "" {
			byOwner[owner] = append(byOwner[owner], key)
		}
	}
	var out []Limit
	for _, o := range owners {
		out = append(out, limitsForOwner(byOwner[o.ID], load, overloadLimitFactor*o.Capacity)...)
	}
	if len(out) > maxLimitedKeys {
		sort.Slice(out, func(i, j int) bool { return load[out[i].Key] > load[out[j].Key] })
		out = out[:maxLimitedKeys]
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// limitsForOwner divides a capacity among keys and returns the limits of those that exceed it.
func limitsForOwner(keys []uint16, load map[uint16]float64, capacity float64) []Limit {
	sort.Slice(keys, func(i, j int) bool {
		if load[keys[i]] != load[keys[j]] {
			return load[keys[i]] < load[keys[j]]
		}
		return keys[i] < keys[j]
	})
	remaining := capacity
	for i, key := range keys {
		keyLimit := remaining / float64(len(keys)-i)
		if load[key] <= keyLimit {
			remaining -= load[key]
			continue
		}
		// All remaining keys are at least as hot and get the same rate.
		var out []Limit
		for _, hot := range keys[i:] {
			out = append(out, Limit{Key: hot, AdmittedShare: max(keyLimit, 0) / load[hot]})
		}
		return out
	}
	return nil
}
