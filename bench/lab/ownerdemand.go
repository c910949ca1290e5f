package lab

// ownerDemands sums the demand for contended owners that the gateways report, in requests a second.
type ownerDemands struct {
	byGateway []map[string]float64
	total     map[string]float64
	reporters map[string]int
}

func newOwnerDemands(gateways int) *ownerDemands {
	return &ownerDemands{byGateway: make([]map[string]float64, gateways), total: make(map[string]float64), reporters: make(map[string]int)}
}

// set replaces the demand of one gateway.
func (o *ownerDemands) set(gateway int, demand map[string]float64) {
	for id, rate := range o.byGateway[gateway] {
		o.total[id] -= rate
		if o.reporters[id]--; o.reporters[id] == 0 {
			delete(o.reporters, id)
			delete(o.total, id)
		}
	}
	for id, rate := range demand {
		o.total[id] += rate
		o.reporters[id]++
	}
	o.byGateway[gateway] = demand
}

// othersThan returns the demand of all gateways except one, by upstream.
func (o *ownerDemands) othersThan(gateway int) map[string]float64 {
	out := make(map[string]float64, len(o.total))
	for id, rate := range o.total {
		out[id] = max(rate-o.byGateway[gateway][id], 0)
	}
	return out
}
