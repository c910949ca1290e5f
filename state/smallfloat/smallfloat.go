// Package smallfloat encodes approximate numbers in one or two bytes as small floating-point codes,
// with a constant relative precision.
package smallfloat

import "math"

// Byte codes have a 4-bit exponent: numbers from 1/256 to 1984 with a relative error of at most
// 1/30.
const (
	byteMantissa = 4
	byteBias     = 5
	maxByteCode  = math.MaxUint8
)

// Word codes have a 5-bit exponent: numbers from 1/10^9 to 4095 with a relative error of at most
// 1/4000.
const (
	wordMantissa = 11
	wordBias     = 20
	maxWordCode  = math.MaxUint16
)

// EncodeByte returns the one-byte code of a number. Negative numbers and NaN become zero, numbers
// above the maximum become the maximum.
func EncodeByte(x float64) byte { return byte(encode(x, byteMantissa, byteBias, maxByteCode)) }

// DecodeByte returns the number of a one-byte code.
func DecodeByte(code byte) float64 { return decode(uint32(code), byteMantissa, byteBias) }

// EncodeWord returns the two-byte code of a number, with the same rules as EncodeByte.
func EncodeWord(x float64) uint16 { return uint16(encode(x, wordMantissa, wordBias, maxWordCode)) }

// DecodeWord returns the number of a two-byte code.
func DecodeWord(code uint16) float64 { return decode(uint32(code), wordMantissa, wordBias) }

// encode rounds to the nearest code. A code consists of the biased exponent followed by the
// mantissa; codes with a zero exponent are subnormal.
func encode(x float64, mantissa, bias int, maxCode uint32) uint32 {
	if !(x > 0) {
		return 0
	}
	_, exponent := math.Frexp(x)
	// x = f * 2^exponent with f in [0.5, 1).
	e := max(exponent-1+bias, 1)
	steps := math.Round(math.Ldexp(x, mantissa-e+bias))
	code := float64(uint32(e-1)<<mantissa) + steps
	return uint32(min(code, float64(maxCode)))
}

func decode(code uint32, mantissa, bias int) float64 {
	e, m := int(code>>mantissa), float64(code&(1<<mantissa-1))
	if e == 0 {
		return math.Ldexp(m, 1-bias-mantissa)
	}
	return math.Ldexp(m+float64(int(1)<<mantissa), e-bias-mantissa)
}
