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

// TestVersionsNeverGoBack adds documents in every order.
func TestVersionsNeverGoBack(t *testing.T) {
	seen := uint64(0)
	l := New(func(d *Document) {
		if d.Version <= seen {
			t.Errorf("version %d after %d", d.Version, seen)
		}
		seen = d.Version
	})
	for _, v := range []int{2, 1, 3, 3, 2, 5, 4} {
		l.Add(roster(t, "c", v))
	}
	if got := l.Roster("c").Version; got != 5 {
		t.Errorf("version %d", got)
	}
}

// TestDiffering changes one of many documents: the digests differ, and only a
// few documents are sent.
func TestDiffering(t *testing.T) {
	a, b := New(func(*Document) {}), New(func(*Document) {})
	const many = 640
	for i := range many {
		a.Add(roster(t, fmt.Sprint(i), 1))
		b.Add(roster(t, fmt.Sprint(many-1-i), 1))
	}
	if a.Digest() != b.Digest() {
		t.Fatal("equal stores differ")
	}
	a.Add(roster(t, "7", 2))
	if a.Digest() == b.Digest() {
		t.Fatal("a newer version does not show")
	}
	docs := a.Differing(b.BucketDigests())
	if len(docs) == 0 || len(docs) > many/10 {
		t.Fatalf("%d documents are sent for one", len(docs))
	}
	for _, d := range docs {
		b.Add(d)
	}
	if a.Digest() != b.Digest() {
		t.Error("still different after the exchange")
	}
}

// TestReadersAreNotHeldUpByReports reads documents while a change is being
// reported, as a controller does that is told of the change.
func TestReadersAreNotHeldUpByReports(t *testing.T) {
	var l *Store
	l = New(func(d *Document) {
		done := make(chan struct{})
		go func() {
			defer close(done)
			if l.Roster("c") == nil {
				t.Error("the reported document is not there")
			}
		}()
		<-done
	})
	l.Add(roster(t, "c", 1))
}
