package poison

import "slices"

// Runs keeps at which upstreams suspects run that one gateway has sent, so that they do not meet: an
// upstream's end then tells which of them it was. It is not safe for concurrent use.
type Runs struct {
	at map[string][]*Run
}

// Run is one run of a suspect.
type Run struct {
	digest   Digest
	upstream string
	// telling says that the end of the upstream tells something of the suspect: it had enough ends
	// when it was sent, and no other suspect was there.
	telling bool
}

// NewRuns returns runs of which there are none.
func NewRuns() *Runs { return &Runs{at: make(map[string][]*Run)} }

// Begin notes that a suspect with so many ends is sent to an upstream.
func (r *Runs) Begin(upstream string, d Digest, ends int) *Run {
	run := &Run{digest: d, upstream: upstream, telling: ends >= ApartFrom}
	for _, other := range r.at[upstream] {
		if other.digest != d {
			other.telling, run.telling = false, false
		}
	}
	r.at[upstream] = append(r.at[upstream], run)
	return run
}

// End notes that the run has ended, and reports whether it ran apart from other suspects.
func (r *Runs) End(run *Run) (apart bool) {
	left := slices.DeleteFunc(r.at[run.upstream], func(other *Run) bool { return other == run })
	if len(left) == 0 {
		delete(r.at, run.upstream)
	} else {
		r.at[run.upstream] = left
	}
	return run.telling
}

// Occupied returns the upstreams at which other suspects run, in order.
func (r *Runs) Occupied(d Digest) []string {
	var out []string
	for upstream, list := range r.at {
		if slices.ContainsFunc(list, func(run *Run) bool { return run.digest != d }) {
			out = append(out, upstream)
		}
	}
	slices.Sort(out)
	return out
}
