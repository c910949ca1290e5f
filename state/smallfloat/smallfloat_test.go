package smallfloat

import (
	"math"
	"testing"
)

func TestCodesAreExact(t *testing.T) {
	for code := range math.MaxUint8 + 1 {
		if got := Byte(FromByte(byte(code))); got != byte(code) {
			t.Fatalf("byte %d comes back as %d", code, got)
		}
	}
	for code := range math.MaxUint16 + 1 {
		if got := Word(FromWord(uint16(code))); got != uint16(code) {
			t.Fatalf("word %d comes back as %d", code, got)
		}
	}
}

func TestPrecision(t *testing.T) {
	for x := 0.07; x < 1900; x *= 1.013 {
		if got := FromByte(Byte(x)); math.Abs(got-x) > x/30 {
			t.Errorf("byte: %g for %g", got, x)
		}
		if got := FromWord(Word(x)); math.Abs(got-x) > x/4000 {
			t.Errorf("word: %g for %g", got, x)
		}
	}
}

func TestBounds(t *testing.T) {
	for _, x := range []float64{0, -1, math.NaN(), math.Inf(-1), 1e-12} {
		if Byte(x) != 0 || Word(x) != 0 {
			t.Errorf("%g is not zero", x)
		}
	}
	if Byte(math.Inf(1)) != byteMost || Word(1e9) != wordMost {
		t.Error("beyond the highest is not the highest")
	}
}
