package placement

import (
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// HotKey is a key with its load in requests a second.
type HotKey struct {
	Hash keyspace.Hash
	Load float64
}

// splitShare is the load of a range, as a share of the mean load of an upstream, above which the
// range is split so that its parts can be balanced.
const splitShare = 0.25

// Splits returns up to maxSplits spans at whose boundaries ranges should be split. A key that
// carries more than half of a heavy range gets a range of its own; other heavy ranges are halved. A
// split changes no owner.
func Splits(nodes []Node, items []Item, hot []HotKey, maxSplits int) []keyspace.Span {
	if len(nodes) == 0 {
		return nil
	}
	total := 0.0
	for _, it := range items {
		total += it.Load
	}
	threshold := splitShare * total / float64(len(nodes))
	var out []keyspace.Span
	for _, it := range items {
		if len(out) >= maxSplits || it.Load <= threshold || it.First == it.Last {
			continue
		}
		if h, ok := hottestKey(it, hot); ok && h.Load > it.Load/2 {
			out = append(out, keyspace.Span{First: h.Hash, Last: h.Hash})
			continue
		}
		out = append(out, it.Split(2)[0])
	}
	return out
}

// hottestKey returns the hottest of the keys that lie in the range, if any.
func hottestKey(it Item, hot []HotKey) (HotKey, bool) {
	var best HotKey
	found := false
	for _, h := range hot {
		if it.Contains(h.Hash) && h.Load > best.Load {
			best, found = h, true
		}
	}
	return best, found
}
