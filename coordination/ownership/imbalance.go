package ownership

import "github.com/rockcroft/rockcroft/state/spans"

// imbalanceFactor is how many times the mean utilization of all upstreams an owner has whose keys should
// have moved long ago.
const imbalanceFactor = 2

// OwnerUtilization is the owner that is utilized most, beside the mean.
type OwnerUtilization struct {
	Owner string
	// Utilization is the load of its keys over what it can run, Mean that of all upstreams
	// together, usable or not.
	Utilization, Mean float64
}

// Busiest returns the owner that is utilized most, and whether it has so much more than its share
// that keys should move.
func Busiest(table *spans.Table, owners []Owner, load map[uint16]float64) (u OwnerUtilization, imbalanced bool) {
	loads := make(map[string]float64, len(owners))
	sum, capacity := 0.0, 0.0
	for key, rate := range load {
		loads[futureOwner(table.Find(key))] += rate
		sum += rate
	}
	for _, o := range owners {
		capacity += o.Capacity
		if used := loads[o.ID] / max(o.Capacity, minCapacity); u.Owner == "" || used > u.Utilization {
			u.Owner, u.Utilization = o.ID, used
		}
	}
	u.Mean = sum / max(capacity, minCapacity)
	return u, u.Utilization > busyUtilization && u.Utilization > imbalanceFactor*u.Mean
}

// minCapacity keeps utilizations finite, in requests a second.
const minCapacity = 0.001
