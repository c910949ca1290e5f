package routing

import "sync"

// Splitter deals the requests of routes over their targets in the proportions
// of the weights, by smooth weighted round robin. It is safe for concurrent
// use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the state of one route's round robin.
type roundRobin struct {
	targets []Target
	currentWeights  []float64
}

// NewSplitter returns a splitter. Offset, between 0 and 1, shifts where a
// route's round begins, so that many processes do not begin alike.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*roundRobin)} }

// Pick returns the service for the next request of the route.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.routes[r.Name]
	if d == nil || !sameTargets(d.targets, r.Targets) {
		d = &roundRobin{targets: r.Targets, currentWeights: make([]float64, len(r.Targets))}
		s.routes[r.Name] = d
	}
	return r.Targets[d.next()].Service
}

func (d *roundRobin) next() int {
	total, best := 0.0, 0
	for i, t := range d.targets {
		d.currentWeights[i] += t.Weight
		total += t.Weight
		if d.currentWeights[i] > d.currentWeights[best] {
			best = i
		}
	}
	d.currentWeights[best] -= total
	return best
}

func sameTargets(a, b []Target) bool {
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
