package evacuation

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The newest record of a domain wins, in whichever order and from whichever source the records
// arrive.
func TestMergeKeepsNewestRecord(t *testing.T) {
	history := []Record{
		{"a", 10, false}, {"a", 12, false}, {"a", 12, true}, {"a", 20, false}, {"a", 31, true},
		{"b", 11, false}, {"b", 15, true}, {"b", 18, false},
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var s *Set
		for _, i := range rng.Perm(len(history)) {
			s, _ = s.Merge(history[i : i+1])
		}
		if s.Active("a") || !s.Active("b") || s.Revision() != 31 {
			t.Fatalf("a %v, b %v, revision %d", s.Active("a"), s.Active("b"), s.Revision())
		}
		if !s.Covers(history) {
			t.Fatal("the set lacks a record that was merged")
		}
	}
}

// An entry that is missing from a list has ended, unless it was created after the list.
func TestRecordsOfListEndUnlistedEvacuations(t *testing.T) {
	s, _ := (*Set)(nil).Merge([]Record{{"gone", 5, false}, {"kept", 6, false}, {"young", 40, false}})
	s, _ = s.Merge(s.RecordsOfList([]Record{{"kept", 6, false}}, 30))
	want := []Record{{"gone", 30, true}, {"kept", 6, false}, {"young", 40, false}}
	if d := cmp.Diff(want, s.Records()); d != "" {
		t.Error(d)
	}
	// A delayed record of a removed entry changes nothing.
	if s, _ = s.Merge([]Record{{"gone", 12, false}}); s.Active("gone") {
		t.Error("a delayed record reactivated an ended evacuation")
	}
}

// Records without a name or a revision, with too long a name, or beyond the bound are dropped and
// counted.
func TestMergeDropsInvalidAndExcessRecords(t *testing.T) {
	s, dropped := (*Set)(nil).Merge([]Record{{"", 3, false}, {"a", 0, false}, {string(make([]byte, maxNameLength+1)), 4, false}, {"b", 5, false}})
	if dropped != 3 || len(s.Records()) != 1 {
		t.Errorf("dropped %d, kept %v", dropped, s.Records())
	}
	for i := range 2 * maxDomains {
		s, _ = s.Merge([]Record{{fmt.Sprint("d", i), 7, false}})
	}
	if len(s.Records()) != maxDomains || !s.Active("b") {
		t.Errorf("%d domains", len(s.Records()))
	}
}

// A nil set is empty.
func TestNilSet(t *testing.T) {
	var s *Set
	if s.Active("a") || s.Records() != nil || s.Revision() != 0 || !s.Covers(nil) {
		t.Error("a nil set is not empty")
	}
}
