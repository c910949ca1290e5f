package placement

import (
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// HotKey is a key with its load.
type HotKey struct {
	Hash keyspace.Hash
	Load float64
}

// splitShare is the load of a range, as a share of the mean load of an
// upstream, above which it is split: smaller pieces can be balanced.
const splitShare = 0.25

// Splits returns the spans at whose ends ranges should be cut: hot keys get
// ranges one point wide, other heavy ranges are halved. No range changes owner
// by a split.
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
