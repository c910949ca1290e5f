// Package delta encodes documents for other processes: compressed, and as a
// difference where the receiver has an earlier version. It decides nothing.
package delta

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionary is the number under which the earlier version goes with the encoder
	// and the decoder; any but zero.
	dictionaryID = 1
	// leastWindow and mostWindow bound how far back, in bytes, an encoder looks for
	// what it has seen: an earlier version and the document, of a megabyte each.
	minWindow = 1 << 10
	maxWindow = 4 << 20
	// mostDecoder bounds the memory of a decoder in bytes.
	maxDecoderMemory = 16 << 20
)

// Digest tells documents apart by their bytes. It is zero only for no document.
func Digest(document []byte) uint64 {
	if len(document) == 0 {
		return 0
	}
	return max(xxhash.Sum64(document), 1)
}

// Encode returns the document compressed, as a difference from base unless that is
// empty. The same arguments give the same bytes.
func Encode(base, document []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(windowSize(len(base) + len(document))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: encode: %w", err)
	}
	data := encoder.EncodeAll(document, nil)
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("delta: encode: %w", err)
	}
	return data, nil
}

// Decode returns the document that was encoded with the same base. It fails when the
// data are damaged, or when the base is another one.
func Decode(base, data []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoderMemory)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("delta: decode: %w", err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("delta: decode: %w", err)
	}
	return document, nil
}

// window returns the power of two, within its bounds, that holds so many bytes.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), minWindow), maxWindow)
}
