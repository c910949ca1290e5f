// Package evacuation holds the view of the failure domains that operators have evacuated. Upstreams
// in an evacuated domain receive no requests until the evacuation ends.
package evacuation

import (
	"cmp"
	"slices"
)

const (
	// maxDomains bounds the number of failure domains in a set, including those whose evacuation
	// has ended. It is several times the number in a deployment, because anyone who can write to
	// the store can add further names.
	maxDomains = 256
	// maxNameLength bounds the name of a failure domain, in bytes.
	maxNameLength = 256
)

// Record is the latest known state of the evacuation of one failure domain.
type Record struct {
	Domain string
	// Revision is the store revision of the entry, or a revision at which the entry did not exist.
	Revision uint64
	// Ended is set if the entry did not exist at Revision.
	Ended bool
}

// valid reports whether the record can come from a correct store.
func (m Record) valid() bool {
	return m.Domain != "" && len(m.Domain) <= maxNameLength && m.Revision > 0
}

// newerThan reports whether the record is newer than another one of the same domain. The removal of
// an entry may carry the revision of the entry's last change; a new entry always has a higher one.
func (m Record) newerThan(other Record) bool {
	if m.Revision != other.Revision {
		return m.Revision > other.Revision
	}
	return m.Ended && !other.Ended
}

// Set holds what is known of all evacuations. It is immutable; the zero value and nil are empty
// sets. Merging the same records in any order and from any source gives the same set, so a view
// never goes back to an older state.
type Set struct{ records map[string]Record }

// Merge returns a set that includes the newer ones of the given records, or s itself if none is
// newer. It also returns the number of records that were dropped because they are invalid or exceed
// the bound.
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

// RecordsOfList returns the records that follow from a list of all entries at the given revision:
// evacuations that are known but not listed have ended.
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

// Active reports whether the failure domain is currently evacuated.
func (s *Set) Active(domain string) bool {
	m, ok := s.record(domain)
	return ok && !m.Ended
}

// Domains returns the evacuated failure domains in ascending order.
func (s *Set) Domains() []string {
	var out []string
	for _, m := range s.Records() {
		if !m.Ended {
			out = append(out, m.Domain)
		}
	}
	return out
}

// Covers reports whether the set includes all given records or newer ones.
func (s *Set) Covers(marks []Record) bool {
	for _, m := range marks {
		if known, ok := s.record(m.Domain); m.valid() && (!ok || m.newerThan(known)) {
			return false
		}
	}
	return true
}

// Records returns all records, ordered by domain.
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

// Revision returns the highest revision of all records; zero if there are none.
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
