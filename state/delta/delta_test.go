package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// document has so many lines of random names; the first ones are the same for the
// same seed.
func document(lines int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&b, `"r-%x":{"host":"h.example","path":"/%x/","timeout":%d},`, rng.Uint64(), rng.Uint64(), i%3)
	}
	return b.Bytes()
}

// TestDifference: a document comes back from its difference, which is about as large
// as what has changed, and not from one to another base.
func TestDecodeWithBase(t *testing.T) {
	const unchanged, added = 8000, 100
	base, next := document(unchanged), document(unchanged+added)
	if len(base) < 1<<19 {
		t.Fatalf("the base has %d bytes only", len(base))
	}
	data, err := Encode(base, next)
	if err != nil {
		t.Fatal(err)
	}
	if most := 2 * (len(next) - len(base)); len(data) > most {
		t.Errorf("the difference has %d bytes, %d were added", len(data), len(next)-len(base))
	}
	back, err := Decode(base, data)
	if err != nil || !bytes.Equal(back, next) {
		t.Fatalf("another document came back: %v", err)
	}
	again, err := Encode(base, next)
	if err != nil || !bytes.Equal(again, data) {
		t.Errorf("the same difference has other bytes: %v", err)
	}
	other := document(unchanged + 1)
	if back, err := Decode(other, data); err == nil && Digest(back) == Digest(next) {
		t.Error("a difference to another base gave the document")
	}
}

// TestWhole: without a base the document is compressed, and damage is noticed.
func TestDecodeWithoutBase(t *testing.T) {
	whole := document(3000)
	data, err := Encode(nil, whole)
	if err != nil {
		t.Fatal(err)
	}
	if len(data) >= len(whole) {
		t.Errorf("%d bytes from %d", len(data), len(whole))
	}
	back, err := Decode(nil, data)
	if err != nil || Digest(back) != Digest(whole) {
		t.Fatalf("another document came back: %v", err)
	}
	data[len(data)/2] ^= 0xff
	if back, err := Decode(nil, data); err == nil && bytes.Equal(back, whole) {
		t.Error("damage gave the document")
	}
	if Digest(nil) != 0 || Digest(whole) == 0 {
		t.Error("digest of nothing, or of something, is wrong")
	}
}
