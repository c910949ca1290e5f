package dispatch

// Mechanisms disables parts of the decisions, so that experiments can measure the effect of each.
// In production all of them are enabled.
type Mechanisms struct {
	// NoShares lets each gateway use all the capacity that the last report shows.
	NoShares bool `json:"no_shares"`
	// NoLikelihood lets requests wait even if a timely response is unlikely.
	NoLikelihood bool `json:"no_likelihood"`
	// NoHung counts requests that an upstream has lost as in flight until they time out.
	NoHung bool `json:"no_hung"`
	// NoCold treats requests for cold keys like all others.
	NoCold bool `json:"no_cold"`
	// NoLimits admits all requests for hot keys.
	NoLimits bool `json:"no_limits"`
	// NoNamedLimits ignores the rate limits that upstreams announce.
	NoNamedLimits bool `json:"no_named_limits"`
	// NoKinds orders waiting requests strictly by priority and lets each fill upstreams by its own
	// objective.
	NoKinds bool `json:"no_kinds"`
	// NoRoutes treats all routes of a service as equally long.
	NoRoutes bool `json:"no_routes"`
	// NoCallers divides room without regard to callers.
	NoCallers bool `json:"no_callers"`
}
