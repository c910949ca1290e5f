package ownership

import (
	"sort"

	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// overloadLimitFactor is the multiple of an owner's capacity that the requests for its keys are
	// limited to when they are more: limits cut off what is hopeless, and the shares of room,
	// which are sooner and see what the owner really ends, decide about the rest.
	overloadLimitFactor = 1.6
	// maxLimitedKeys bounds the keys of a service that are limited, the hottest first: the
	// list goes to all gateways four times a second.
	maxLimitedKeys = 256
)

// Limit is a key of which only a part of the requests can be run.
type Limit struct {
	Key uint16
	// AdmittedShare is that part, 0 to 1.
	AdmittedShare float64
}

// Limits returns the keys whose owners are asked for more than they can run, in their
// order. An owner's capacity is shared out by key: each gets the same rate at most, and what
// the cold ones leave goes to the hot ones. So a hot key takes nothing from its neighbours, and
// hundreds of gateways, each of which sees a few of its requests, together send about what its
// owner can run.
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

// limitsForOwner shares a capacity out to keys.
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
		// This one and all hotter ones get the same.
		var out []Limit
		for _, hot := range keys[i:] {
			out = append(out, Limit{Key: hot, AdmittedShare: max(keyLimit, 0) / load[hot]})
		}
		return out
	}
	return nil
}
