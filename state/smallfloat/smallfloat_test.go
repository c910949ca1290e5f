package smallfloat

import (
	"math"
	"testing"
)

func TestCodesRoundTrip(t *testing.T) {
	for code := range math.MaxUint8 + 1 {
		if got := EncodeByte(DecodeByte(byte(code))); got != byte(code) {
			t.Fatalf("byte %d is encoded again as %d", code, got)
		}
	}
	for code := range math.MaxUint16 + 1 {
		if got := EncodeWord(DecodeWord(uint16(code))); got != uint16(code) {
			t.Fatalf("word %d is encoded again as %d", code, got)
		}
	}
}

func TestPrecision(t *testing.T) {
	for x := 0.07; x < 1900; x *= 1.013 {
		if got := DecodeByte(EncodeByte(x)); math.Abs(got-x) > x/30 {
			t.Errorf("byte: %g for %g", got, x)
		}
		if got := DecodeWord(EncodeWord(x)); math.Abs(got-x) > x/4000 {
			t.Errorf("word: %g for %g", got, x)
		}
	}
}

func TestOutOfRangeValues(t *testing.T) {
	for _, x := range []float64{0, -1, math.NaN(), math.Inf(-1), 1e-12} {
		if EncodeByte(x) != 0 || EncodeWord(x) != 0 {
			t.Errorf("the code of %g is not zero", x)
		}
	}
	if EncodeByte(math.Inf(1)) != maxByteCode || EncodeWord(1e9) != maxWordCode {
		t.Error("a number above the maximum does not have the highest code")
	}
}
