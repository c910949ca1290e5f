package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// document returns a document with the given number of lines of random names. Documents of
// different lengths share their first lines.
func document(lines int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for i := range lines {
		fmt.Fprintf(&b, `"r-%x":{"host":"h.example","path":"/%x/","timeout":%d},`, rng.Uint64(), rng.Uint64(), i%3)
	}
	return b.Bytes()
}

// A document is restored from its difference, which is about as large as the change, but not with
// another base.
func TestDecodeWithBase(t *testing.T) {
	const unchanged, added = 8000, 100
	base, next := document(unchanged), document(unchanged+added)
	if len(base) < 1<<19 {
		t.Fatalf("the base has only %d bytes", len(base))
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
		t.Fatalf("decoded document differs: %v", err)
	}
	again, err := Encode(base, next)
	if err != nil || !bytes.Equal(again, data) {
		t.Errorf("encoding is not deterministic: %v", err)
	}
	other := document(unchanged + 1)
	if back, err := Decode(other, data); err == nil && Digest(back) == Digest(next) {
		t.Error("decoding with another base gave the document")
	}
}

// Without a base the document is compressed, and corruption is detected.
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
		t.Fatalf("decoded document differs: %v", err)
	}
	data[len(data)/2] ^= 0xff
	if back, err := Decode(nil, data); err == nil && bytes.Equal(back, whole) {
		t.Error("decoding corrupt data gave the document")
	}
	if Digest(nil) != 0 || Digest(whole) == 0 {
		t.Error("the digest of an empty document is not zero, or that of another document is")
	}
}
