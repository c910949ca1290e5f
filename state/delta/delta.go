// Package delta encodes documents for other processes: compressed, and as a difference if the
// receiver has an earlier version.
package delta

import (
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID identifies the base document in the encoder and the decoder; any value except
	// zero works.
	dictionaryID = 1
	// minWindow and maxWindow bound the encoder's window in bytes. It must cover the base and the
	// document, of up to a megabyte each.
	minWindow = 1 << 10
	maxWindow = 4 << 20
	// maxDecoderMemory bounds the memory of a decoder, in bytes.
	maxDecoderMemory = 16 << 20
)

// Digest returns a hash of the document. It is zero only for an empty document.
func Digest(document []byte) uint64 {
	if len(document) == 0 {
		return 0
	}
	return max(xxhash.Sum64(document), 1)
}

// Encode returns the compressed document, as a difference from base unless base is empty. The same
// arguments always give the same bytes.
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

// Decode returns the document that was encoded with the same base. It fails if the data is corrupt
// or the base is a different one.
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

// windowSize returns the smallest power of two above size, limited to minWindow and maxWindow.
func windowSize(size int) int {
	return min(max(1<<bits.Len(uint(size)), minWindow), maxWindow)
}
