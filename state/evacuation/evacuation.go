// Package evacuation is the view of the failure domains that operators have evacuated: to
// upstreams there nothing more is sent until the evacuation has ended.
package evacuation

import (
	"cmp"
	"slices"
)

const (
	// mostDomains bounds the failure domains that are known, ended evacuations among them:
	// some times what a deployment has, as anyone who writes to the store can name others.
	mostDomains = 256
	// mostName bounds the name of a failure domain, in bytes.
	mostName = 256
)

// Mark is the newest that is known of the evacuation of one failure domain.
type Mark struct {
	Domain string
	// Revision is the store's: that of the entry, or one at which it was gone.
	Revision uint64
	// Ended says that the entry was gone.
	Ended bool
}

// sound reports whether the mark can be.
func (m Mark) sound() bool {
	return m.Domain != "" && len(m.Domain) <= mostName && m.Revision > 0
}

// newerThan reports whether the mark tells something later than the other one of the same
// domain. The end of an entry may bear the revision of its last change, and a new entry
// always bears a higher one.
func (m Mark) newerThan(other Mark) bool {
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Ended && !other.Ended
}

// Set is what is known of all evacuations. It is immutable; the zero value and nil know of
// none. Whoever tells what, in whichever order, the same marks make the same set: so nothing
// goes back to an older view.
type Set struct{ marks map[string]Mark }

// Merge returns the set with newer marks taken over, or itself when there are none, and the
// number of marks that were dropped as they cannot be or exceed the bound.
func (s *Set) Merge(marks []Mark) (next *Set, dropped int) {
	next = s
	for _, m := range marks {
		known, ok := next.mark(m.Domain)
		switch {
		case !m.sound() || !ok && next.count() >= mostDomains:
			dropped++
		case !ok || m.newerThan(known):
			next = next.with(m)
		}
	}
	return next, dropped
}

// Listed returns the marks that follow from a list of all entries at a revision: those
// that are known and not listed have ended.
func (s *Set) Listed(entries []Mark, at uint64) []Mark {
	listed := make(map[string]bool, len(entries))
	for _, m := range entries {
		listed[m.Domain] = true
	}
	out := slices.Clone(entries)
	for _, m := range s.Marks() {
		if !listed[m.Domain] && !m.Ended && m.Revision <= at {
			out = append(out, Mark{Domain: m.Domain, Revision: at, Ended: true})
		}
	}
	return out
}

// Active reports whether the failure domain is evacuated.
func (s *Set) Active(domain string) bool {
	m, ok := s.mark(domain)
	return ok && !m.Ended
}

// Domains returns the failure domains that are evacuated, in their order.
func (s *Set) Domains() []string {
	var out []string
	for _, m := range s.Marks() {
		if !m.Ended {
			out = append(out, m.Domain)
		}
	}
	return out
}

// Covers reports whether the set has all that the marks tell.
func (s *Set) Covers(marks []Mark) bool {
	for _, m := range marks {
		if known, ok := s.mark(m.Domain); m.sound() && (!ok || m.newerThan(known)) {
			return false
		}
	}
	return true
}

// Marks returns all marks in the order of their domains.
func (s *Set) Marks() []Mark {
	if s == nil {
		return nil
	}
	out := make([]Mark, 0, len(s.marks))
	for _, m := range s.marks {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Mark) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// Revision returns the highest revision of all marks; zero when there are none.
func (s *Set) Revision() uint64 {
	newest := uint64(0)
	for _, m := range s.Marks() {
		newest = max(newest, m.Revision)
	}
	return newest
}

func (s *Set) mark(domain string) (Mark, bool) {
	if s == nil {
		return Mark{}, false
	}
	m, ok := s.marks[domain]
	return m, ok
}

func (s *Set) count() int {
	if s == nil {
		return 0
	}
	return len(s.marks)
}

func (s *Set) with(m Mark) *Set {
	next := &Set{marks: make(map[string]Mark, s.count()+1)}
	for _, known := range s.Marks() {
		next.marks[known.Domain] = known
	}
	next.marks[m.Domain] = m
	return next
}
