// Package smallfloat keeps numbers that are estimates anyway in one or two bytes, at a
// precision that does not change with their size.
package smallfloat

import "math"

// Of a byte, 4 bits are the exponent: numbers from 1/256 to 1984 within a thirtieth.
const (
	byteMantissa = 4
	byteBias     = 5
	maxByteCode  = math.MaxUint8
)

// Of two bytes, 5 bits are the exponent: numbers from 1/10^9 to 4095 within a 4000th.
const (
	wordMantissa = 11
	wordBias     = 20
	maxWordCode  = math.MaxUint16
)

// Byte returns the code of a number. Those below zero and no numbers count as zero, those
// beyond the highest as the highest.
func EncodeByte(x float64) byte { return byte(encode(x, byteMantissa, byteBias, maxByteCode)) }

// FromByte returns the number of a code.
func DecodeByte(code byte) float64 { return decode(uint32(code), byteMantissa, byteBias) }

// Word is Byte in two bytes.
func EncodeWord(x float64) uint16 { return uint16(encode(x, wordMantissa, wordBias, maxWordCode)) }

// FromWord returns the number of a code.
func DecodeWord(code uint16) float64 { return decode(uint32(code), wordMantissa, wordBias) }

// encode rounds to the nearest code. A code is the exponent, raised by the bias, before the
// mantissa; with the exponent zero the mantissa counts from zero.
func encode(x float64, mantissa, bias int, most uint32) uint32 {
	if !(x > 0) {
		return 0
	}
	_, exponent := math.Frexp(x)
	// x = f * 2^exponent with f in [0.5, 1).
	e := max(exponent-1+bias, 1)
	steps := math.Round(math.Ldexp(x, mantissa-e+bias))
	code := float64(uint32(e-1)<<mantissa) + steps
	return uint32(min(code, float64(most)))
}

func decode(code uint32, mantissa, bias int) float64 {
	e, m := int(code>>mantissa), float64(code&(1<<mantissa-1))
	if e == 0 {
		return math.Ldexp(m, 1-bias-mantissa)
	}
	return math.Ldexp(m+float64(int(1)<<mantissa), e-bias-mantissa)
}
