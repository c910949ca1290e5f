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
	maxDomains = 256
	// mostName bounds the name of a failure domain, in bytes.
	maxNameLength = 256
)

// Mark is the newest that is known of the evacuation of one failure domain.
type Record struct {
	Domain string
	// Revision is the store's: that of the entry, or one at which it was gone.
	Revision uint64
	// Ended says that the entry was gone.
	Ended bool
}

// sound reports whether the mark can be.
func (m Record) valid() bool {
	return m.Domain != "" && len(m.Domain) <= maxNameLength && m.Revision > 0
}

// newerThan reports whether the mark tells something later than the other one of the same
// domain. The end of an entry may bear the revision of its last change, and a new entry
// always bears a higher one.
func (m Record) newerThan(other Record) bool {
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Ended && !other.Ended
}

// Set is what is known of all evacuations. It is immutable; the zero value and nil know of
// none. Whoever tells what, in whichever order, the same marks make the same set: so nothing
// goes back to an older view.
type Set struct{ records map[string]Record }

// Merge returns the set with newer marks taken over, or itself when there are none, and the
// number of marks that were dropped as they cannot be or exceed the bound.
func (s *Set) Merge(marks []Record) (next *Set, dropped int) {
	next = s
	for _, m := range marks {
		known, ok := next.record(m.Domain)
		switch {
		case !m.valid() || !ok && next.count() >= maxDomains:
			dropped++
		case !ok || m.newerThan(known):
			next = next.with(m)
		}
	}
	return next, dropped
}

// Listed returns the marks that follow from a list of all entries at a revision: those
// that are known and not listed have ended.
func (s *Set) RecordsOfList(entries []Record, at uint64) []Record {
	listed := make(map[string]bool, len(entries))
	for _, m := range entries {
		listed[m.Domain] = true
	}
	out := slices.Clone(entries)
	for _, m := range s.Records() {
		if !listed[m.Domain] && !m.Ended && m.Revision <= at {
			out = append(out, Record{Domain: m.Domain, Revision: at, Ended: true})
		}
	}
	return out
}

// Active reports whether the failure domain is evacuated.
func (s *Set) Active(domain string) bool {
	m, ok := s.record(domain)
	return ok && !m.Ended
}

// Domains returns the failure domains that are evacuated, in their order.
func (s *Set) Domains() []string {
	var out []string
	for _, m := range s.Records() {
		if !m.Ended {
			out = append(out, m.Domain)
		}
	}
	return out
}

// Covers reports whether the set has all that the marks tell.
func (s *Set) Covers(marks []Record) bool {
	for _, m := range marks {
		if known, ok := s.record(m.Domain); m.valid() && (!ok || m.newerThan(known)) {
			return false
		}
	}
	return true
}

// Marks returns all marks in the order of their domains.
func (s *Set) Records() []Record {
	if s == nil {
		return nil
	}
	out := make([]Record, 0, len(s.records))
	for _, m := range s.records {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// Revision returns the highest revision of all marks; zero when there are none.
func (s *Set) Revision() uint64 {
	newest := uint64(0)
	for _, m := range s.Records() {
		newest = max(newest, m.Revision)
	}
	return newest
}

func (s *Set) record(domain string) (Record, bool) {
	if s == nil {
		return Record{}, false
	}
	m, ok := s.records[domain]
	return m, ok
}

func (s *Set) count() int {
	if s == nil {
		return 0
	}
	return len(s.records)
}

func (s *Set) with(m Record) *Set {
	next := &Set{records: make(map[string]Record, s.count()+1)}
	for _, known := range s.Records() {
		next.records[known.Domain] = known
	}
	next.records[m.Domain] = m
	return next
}
