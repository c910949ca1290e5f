package routing

import "sync"

// Splitter distributes the requests of each route over its targets in proportion to
// their weights, using smooth weighted round robin. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*roundRobin
}

// roundRobin is the state of the smooth weighted round robin of one route.
type roundRobin struct {
	targets        []Target
	currentWeights []float64
}

// NewSplitter returns a splitter without any route state.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[string]*roundRobin)} }

// Pick returns the service for the next request of the route. If the targets of the
// route have changed, its round robin starts anew.
func (s *Splitter) Pick(r *Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rr := s.routes[r.Name]
	if rr == nil || !sameTargets(rr.targets, r.Targets) {
		rr = &roundRobin{targets: r.Targets, currentWeights: make([]float64, len(r.Targets))}
		s.routes[r.Name] = rr
	}
	return r.Targets[rr.next()].Service
}

// next returns the index of the next target.
func (rr *roundRobin) next() int {
	total, best := 0.0, 0
	for i, t := range rr.targets {
		rr.currentWeights[i] += t.Weight
		total += t.Weight
		if rr.currentWeights[i] > rr.currentWeights[best] {
			best = i
		}
	}
	rr.currentWeights[best] -= total
	return best
}

// sameTargets reports whether two target lists are equal.
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
