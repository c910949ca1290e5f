package docstore

import (
	"fmt"
	"testing"
)

func roster(t testing.TB, name string, version int) *Document {
	t.Helper()
	d, err := Parse(Roster, fmt.Appendf(nil, `{"cell":%q,"version":%d}`, name, version))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestOlderVersionsAreIgnored adds versions out of order: the newest one stays, and changes
// are reported with increasing versions only.
func TestOlderVersionsAreIgnored(t *testing.T) {
	seen := uint64(0)
	s := New(func(d *Document) {
		if d.Version <= seen {
			t.Errorf("version %d reported after version %d", d.Version, seen)
		}
		seen = d.Version
	})
	for _, v := range []int{2, 1, 3, 3, 2, 5, 4} {
		s.Add(roster(t, "c", v))
	}
	if got := s.Roster("c").Version; got != 5 {
		t.Errorf("got version %d, want 5", got)
	}
}

// TestDiffering changes one of many documents: the digests differ, and only a
// small part of the documents is sent.
func TestDiffering(t *testing.T) {
	a, b := New(func(*Document) {}), New(func(*Document) {})
	const documents = 640
	for i := range documents {
		a.Add(roster(t, fmt.Sprint(i), 1))
		b.Add(roster(t, fmt.Sprint(documents-1-i), 1))
	}
	if a.Digest() != b.Digest() {
		t.Fatal("stores with equal documents have different digests")
	}
	a.Add(roster(t, "7", 2))
	if a.Digest() == b.Digest() {
		t.Fatal("a newer version does not change the digest")
	}
	docs := a.Differing(b.BucketDigests())
	if len(docs) == 0 || len(docs) > documents/10 {
		t.Fatalf("%d documents would be sent for one changed document", len(docs))
	}
	for _, d := range docs {
		b.Add(d)
	}
	if a.Digest() != b.Digest() {
		t.Error("digests still differ after the exchange")
	}
}

// TestReadersAreNotBlockedByOnChange guards against a deadlock: a controller reads documents
// while onChange reports a change to it.
func TestReadersAreNotBlockedByOnChange(t *testing.T) {
	var s *Store
	s = New(func(d *Document) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			if s.Roster("c") == nil {
				t.Error("the reported document is not in the store")
			}
		}()
		<-done
	})
	s.Add(roster(t, "c", 1))
}
