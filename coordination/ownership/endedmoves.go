package ownership

import "github.com/rockcroft/rockcroft/state/spans"

// CopyEndedMoves copies moves that have ended in the latest table to next, a plan that was made from
// an earlier version of it, and reports whether there were any. A version number does not tell which
// table knows more: while a plan is stored, moves end and are published with later versions.
func CopyEndedMoves(next, latest *spans.Table) (changed bool) {
	for i := range next.Spans {
		s := &next.Spans[i]
		now := latest.Find(s.First)
		ended := s.Moving() && !now.Moving() && now.Fence == s.NextFence
		if ended && (now.Owner == s.Next || now.Owner == "") {
			s.Owner, s.Fence, s.Incarnation = now.Owner, now.Fence, now.Incarnation
			s.Next, s.NextFence = "", 0
			changed = true
		}
		if now.Fence == s.Fence {
			s.Cold = now.Cold
		}
	}
	next.LastFence = max(next.LastFence, latest.LastFence)
	return changed
}
