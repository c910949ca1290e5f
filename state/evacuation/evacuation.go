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
func (r Record) valid() bool {
	return r.Domain != "" && len(r.Domain) <= maxNameLength && r.Revision > 0
}

// newerThan reports whether the record is newer than another one of the same domain. The removal of
// an entry may carry the revision of the entry's last change; a new entry always has a higher one.
func (r Record) newerThan(other Record) bool {
	if r.Revision != other.Revision {
		return r.Revision > other.Revision
	}
	return r.Ended && !other.Ended
}

// Set holds what is known of all evacuations. It is immutable; the zero value and nil are empty
// sets. Merging the same records in any order and from any source gives the same set, so a view
// never goes back to an older state.
type Set struct{ records map[string]Record }

// Merge returns a set that includes the newer ones of the given records, or s itself if none is
// newer. It also returns the number of records that were dropped because they are invalid or exceed
// the bound.
func (s *Set) Merge(records []Record) (next *Set, dropped int) {
	next = s
	for _, r := range records {
		known, ok := next.record(r.Domain)
		switch {
		case !r.valid() || !ok && next.count() >= maxDomains:
			dropped++
		case !ok || r.newerThan(known):
			next = next.with(r)
		}
	}
	return next, dropped
}

// RecordsOfList returns the records that follow from a list of all entries at the given revision:
// evacuations that are known but not listed have ended.
func (s *Set) RecordsOfList(entries []Record, at uint64) []Record {
	listed := make(map[string]bool, len(entries))
	for _, r := range entries {
		listed[r.Domain] = true
	}
	out := slices.Clone(entries)
	for _, r := range s.Records() {
		if !listed[r.Domain] && !r.Ended && r.Revision <= at {
			out = append(out, Record{Domain: r.Domain, Revision: at, Ended: true})
		}
	}
	return out
}

// Active reports whether the failure domain is currently evacuated.
func (s *Set) Active(domain string) bool {
	r, ok := s.record(domain)
	return ok && !r.Ended
}

// Domains returns the evacuated failure domains in ascending order.
func (s *Set) Domains() []string {
	var out []string
	for _, r := range s.Records() {
		if !r.Ended {
			out = append(out, r.Domain)
		}
	}
	return out
}

// Covers reports whether the set includes all given records or newer ones.
func (s *Set) Covers(records []Record) bool {
	for _, r := range records {
		if known, ok := s.record(r.Domain); r.valid() && (!ok || r.newerThan(known)) {
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
	for _, r := range s.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// Revision returns the highest revision of all records; zero if there are none.
func (s *Set) Revision() uint64 {
	newest := uint64(0)
	for _, r := range s.Records() {
		newest = max(newest, r.Revision)
	}
	return newest
}

func (s *Set) record(domain string) (Record, bool) {
	if s == nil {
		return Record{}, false
	}
	r, ok := s.records[domain]
	return r, ok
}

func (s *Set) count() int {
	if s == nil {
		return 0
	}
	return len(s.records)
}

func (s *Set) with(r Record) *Set {
	next := &Set{records: make(map[string]Record, s.count()+1)}
	for _, known := range s.Records() {
		next.records[known.Domain] = known
	}
	next.records[r.Domain] = r
	return next
}
