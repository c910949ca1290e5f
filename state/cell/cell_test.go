package cell

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

// FuzzDecode checks that Find returns every range of a document that Decode accepts.
func FuzzDecode(f *testing.F) {
	valid := Cell{
		Name: "c", Version: 3, Fence: 2, Upstreams: []Upstream{{ID: "u", Service: "s"}},
		Services: []Service{{Name: "s", Ranges: []Range{{Span: keyspace.FullSpan(), Epoch: 1, Phase: Owned, Owner: "u"}}}},
	}
	data, err := json.Marshal(valid)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte(`{"name":"c","version":1,"services":[{"name":"s","ranges":[{"first":"1","last":"0"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		for _, s := range c.Services {
			for _, r := range s.Ranges {
				if i := s.Find(r.First); i < 0 || !s.Ranges[i].Contains(r.Last) {
					t.Errorf("Find does not return range %s", r.Span)
				}
			}
		}
	})
}

// FuzzDecodeDirectory checks that Assign keeps a directory valid and assigns the span.
func FuzzDecodeDirectory(f *testing.F) {
	f.Add([]byte(`{"service":"s","version":1,"segments":[{"first":"0","last":"ffffffffffffffff","cell":"a"}]}`), uint64(5), uint64(9))
	f.Fuzz(func(t *testing.T, data []byte, first, last uint64) {
		d, err := DecodeDirectory(data)
		if err != nil || first > last {
			return
		}
		d.Assign(keyspace.Span{First: keyspace.Hash(first), Last: keyspace.Hash(last)}, "new", 4)
		if err := d.Validate(); err != nil {
			t.Error(err)
		}
		if seg := d.Find(keyspace.Hash(first)); seg.Cell != "new" {
			t.Errorf("point %x is assigned to cell %s, want new", first, seg.Cell)
		}
	})
}

// TestSplitAroundKeepsGrants checks that the parts of a split range keep its epoch and owner.
func TestSplitAroundKeepsGrants(t *testing.T) {
	s := Service{Ranges: []Range{
		{Span: keyspace.Span{First: 0, Last: 99}, Epoch: 3, Phase: Owned, Owner: "u"},
		{Span: keyspace.Span{First: 100, Last: keyspace.Max}, Epoch: 4, Phase: Owned, Owner: "v"},
	}}
	s.SplitAround(keyspace.Span{First: 50, Last: 149})
	want := []keyspace.Span{{First: 0, Last: 49}, {First: 50, Last: 99}, {First: 100, Last: 149}, {First: 150, Last: keyspace.Max}}
	var got []keyspace.Span
	for _, r := range s.Ranges {
		got = append(got, r.Span)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if s.Ranges[1].Epoch != 3 || s.Ranges[2].Owner != "v" {
		t.Errorf("SplitAround changed grants: %+v", s.Ranges)
	}
}
