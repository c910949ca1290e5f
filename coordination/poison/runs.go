package poison

import "slices"

// ActiveRuns records on which upstreams the suspects sent by one gateway are running, so that
// suspects can be kept apart. Otherwise a request that crashes upstreams would also implicate the
// suspects that run at the same time on the same upstream. It is not safe for concurrent use.
type ActiveRuns struct {
	running map[string][]Digest
}

// NewActiveRuns returns an empty set of runs.
func NewActiveRuns() *ActiveRuns { return &ActiveRuns{running: make(map[string][]Digest)} }

// Begin records that a suspect was sent to an upstream.
func (r *ActiveRuns) Begin(upstream string, d Digest) {
	r.running[upstream] = append(r.running[upstream], d)
}

// End records that a run has finished.
func (r *ActiveRuns) End(upstream string, d Digest) {
	list := r.running[upstream]
	i := slices.Index(list, d)
	if i < 0 {
		return
	}
	if len(list) == 1 {
		delete(r.running, upstream)
		return
	}
	r.running[upstream] = slices.Delete(list, i, i+1)
}

// UpstreamsToAvoid returns, in sorted order, the upstreams on which other suspects are running, if
// the suspect was present at enough ends to be kept apart.
func (r *ActiveRuns) UpstreamsToAvoid(d Digest, ends int) []string {
	if ends < isolationThreshold {
		return nil
	}
	var out []string
	for upstream, list := range r.running {
		if slices.ContainsFunc(list, func(other Digest) bool { return other != d }) {
			out = append(out, upstream)
		}
	}
	slices.Sort(out)
	return out
}
