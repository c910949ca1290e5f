package lab

import "time"

// This file measures how evenly requests are spread over the upstreams of services without keys, and how
// many connections the gateways open for them.

const (
	// poolIdleTimeout is how long an idle connection to an upstream is kept, and maxIdleConns how many
	// to one upstream, the same as in the gateways.
	poolIdleTimeout = 6 * time.Second
	maxIdleConns    = 8
)

// PoolResult describes the placement of the requests for one service without keys.
type PoolResult struct {
	Service string `json:"service"`
	// Arrivals counts the requests that reached an upstream; Rejected is the share of them that found
	// neither a free slot nor a queue place.
	Arrivals int     `json:"arrivals"`
	Rejected float64 `json:"rejected"`
	// Busiest is the highest number of arrivals at one upstream, relative to its speed, divided by the
	// mean over all upstreams. Upstreams are compared by speed because a faster one may take more.
	Busiest float64 `json:"busiest"`
	// Connections is the number of connections that the gateways opened per arrival.
	Connections float64 `json:"connections"`
	// Subset is the mean number of upstreams to which a gateway has sent requests.
	Subset float64 `json:"subset"`
}

// connections are the idle connections of one gateway to upstreams, with the times since when they are
// idle, the latest last.
type connections map[*upstream][]time.Duration

// take takes an idle connection to the upstream and reports whether there was one.
func (c connections) take(u *upstream) bool {
	idle := c[u]
	last := len(idle) - 1
	reused := last >= 0 && u.sim.elapsed-idle[last] < poolIdleTimeout
	c[u] = idle[:max(last, 0)]
	return reused
}

// put returns a connection whose response was received.
func (c connections) put(u *upstream) {
	if idle := c[u]; len(idle) < maxIdleConns {
		c[u] = append(idle, u.sim.elapsed)
		return
	}
	copy(c[u], c[u][1:])
	c[u][maxIdleConns-1] = u.sim.elapsed
}

// poolResults returns the results of the services without keys.
func (sim *simulation) poolResults() []PoolResult {
	var out []PoolResult
	for i := range sim.sc.Services {
		s := &sim.sc.Services[i]
		if s.Keyed {
			continue
		}
		r := PoolResult{Service: s.Name}
		rejected, opened, speeds, busiest := 0, 0, 0.0, 0.0
		senders := 0
		for _, u := range sim.upstreams[s.Name] {
			r.Arrivals += u.arrived
			rejected += u.rejected
			opened += u.opened
			senders += len(u.senders)
			speeds += u.speed
			busiest = max(busiest, float64(u.arrived)/u.speed)
		}
		arrivals := float64(max(r.Arrivals, 1))
		r.Rejected, r.Connections = float64(rejected)/arrivals, float64(opened)/arrivals
		r.Busiest = busiest * speeds / arrivals
		r.Subset = float64(senders) / float64(sim.sc.Gateways)
		out = append(out, r)
	}
	return out
}
