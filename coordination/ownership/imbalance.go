package ownership

import "github.com/rockcroft/rockcroft/state/spans"

// imbalanceFactor is the multiple of the mean utilization above which an owner counts as
// imbalanced: balancing should have moved keys away from it long before.
const imbalanceFactor = 2

// OwnerUtilization compares the utilization of one owner with the mean.
type OwnerUtilization struct {
	Owner string
	// Utilization is the load of the owner's keys divided by its capacity. Mean is the total load
	// divided by the total capacity of all upstreams, usable or not.
	Utilization, Mean float64
}

// Busiest returns the owner with the highest utilization, and whether it is so far above the mean
// that keys should move away.
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

// minCapacity, in requests a second, is the lower bound of the divisor in utilizations.
const minCapacity = 0.001
