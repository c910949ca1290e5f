package load

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/rockcroft/rockcroft/state/keyspace"
)

// HotKey is the hash of a key with the number of requests counted for it.
type HotKey struct {
	Hash keyspace.Hash
	// Count is at least the true count and exceeds it by at most Error.
	Count uint64
	Error uint64
}

// SpaceSaving finds the most frequent hashes of a stream in bounded memory (Metwally, Agrawal, El
// Abbadi: "Efficient Computation of Frequent and Top-k Elements in Data Streams", 2005). It is not
// safe for concurrent use.
type SpaceSaving struct {
	capacity int
	items    itemHeap
	byHash   map[keyspace.Hash]*item
}

type item struct {
	HotKey
	index int
}

// NewSpaceSaving returns a sketch that tracks up to capacity hashes.
func NewSpaceSaving(capacity int) *SpaceSaving {
	return &SpaceSaving{capacity: capacity, byHash: make(map[keyspace.Hash]*item, capacity)}
}

// Add counts n requests to h.
func (s *SpaceSaving) Add(h keyspace.Hash, n uint64) {
	if it := s.byHash[h]; it != nil {
		it.Count += n
		heap.Fix(&s.items, it.index)
		return
	}
	if len(s.items) < s.capacity {
		it := &item{HotKey: HotKey{Hash: h, Count: n}}
		s.byHash[h] = it
		heap.Push(&s.items, it)
		return
	}
	least := s.items[0]
	delete(s.byHash, least.Hash)
	least.HotKey = HotKey{Hash: h, Count: least.Count + n, Error: least.Count}
	s.byHash[h] = least
	heap.Fix(&s.items, 0)
}

// Top returns the n most frequent hashes, in descending order of count.
func (s *SpaceSaving) Top(n int) []HotKey {
	out := make([]HotKey, 0, len(s.items))
	for _, it := range s.items {
		out = append(out, it.HotKey)
	}
	slices.SortFunc(out, func(a, b HotKey) int {
		if c := cmp.Compare(b.Count, a.Count); c != 0 {
			return c
		}
		return cmp.Compare(a.Hash, b.Hash)
	})
	return out[:min(n, len(out))]
}

// itemHeap is a min-heap of items by count.
type itemHeap []*item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].Count < h[j].Count }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	*h = old[:len(old)-1]
	return it
}
