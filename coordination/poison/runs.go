package poison

import "slices"

// ActiveRuns keeps at which upstreams suspects run that one gateway has sent, so that they do not meet: one
// that ends upstreams else brings the others to the ends that it causes. It is not safe for
// concurrent use.
type ActiveRuns struct {
	at map[string][]Digest
}

// NewActiveRuns returns runs of which there are none.
func NewActiveRuns() *ActiveRuns { return &ActiveRuns{at: make(map[string][]Digest)} }

// Begin notes that a suspect is sent to an upstream.
func (r *ActiveRuns) Begin(upstream string, d Digest) {
	r.at[upstream] = append(r.at[upstream], d)
}

// End notes that a run which began has ended.
func (r *ActiveRuns) End(upstream string, d Digest) {
	list := r.at[upstream]
	i := slices.Index(list, d)
	if i < 0 {
		return
	}
	if len(list) == 1 {
		delete(r.at, upstream)
		return
	}
	r.at[upstream] = slices.Delete(list, i, i+1)
}

// UpstreamsToAvoid returns the upstreams at which a suspect with so many ends is not to run, in order: those
// where others run, if it has enough of them.
func (r *ActiveRuns) UpstreamsToAvoid(d Digest, ends int) []string {
	if ends < apartFrom {
		return nil
	}
	var out []string
	for upstream, list := range r.at {
		if slices.ContainsFunc(list, func(other Digest) bool { return other != d }) {
			out = append(out, upstream)
		}
	}
	slices.Sort(out)
	return out
}
