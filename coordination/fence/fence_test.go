package fence

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/cell"
)

var (
	limits = Limits{TTL: time.Second, DriftPercent: 2}
	start  = time.Unix(1000, 0)
)

func members(ids ...string) []cell.Member {
	out := make([]cell.Member, len(ids))
	for i, id := range ids {
		out[i] = cell.Member{ID: id, Peer: id}
	}
	return out
}

func TestHolderNeedsAStrictMajority(t *testing.T) {
	tests := []struct {
		name        string
		local, wide []string
		promised    []string
		self        string
		want        bool
	}{
		{"single voter", []string{"a"}, nil, nil, "a", true},
		{"one of two", []string{"a", "b"}, nil, nil, "a", false},
		{"two of two", []string{"a", "b"}, nil, []string{"b"}, "a", true},
		{"two of three", []string{"a", "b", "c"}, nil, []string{"c"}, "a", true},
		{"wide majority", []string{"a", "b"}, []string{"a", "b", "x", "y", "z"}, []string{"x", "y"}, "a", true},
		{"wide minority", []string{"a", "b"}, []string{"a", "b", "x", "y", "z"}, []string{"x"}, "a", false},
		{"non-voter with local majority", []string{"b", "c"}, nil, []string{"b", "c"}, "a", true},
		{"non-voter with wide majority only", []string{"b", "c"}, []string{"b", "c", "x"}, []string{"x", "b"}, "a", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := NewHolder(tt.self, limits)
			h.SetQuorum(cell.Quorum{Local: members(tt.local...), Wide: members(tt.wide...)})
			for _, id := range tt.promised {
				h.Record(id, start)
			}
			if got := h.ValidUntil(start).After(start); got != tt.want {
				t.Errorf("may send %v, want %v", got, tt.want)
			}
			if h.ValidUntil(start.Add(limits.TTL)).After(start.Add(limits.TTL)) && len(tt.promised) > 0 {
				t.Error("may send after the promises have expired")
			}
		})
	}
}

func TestVoterRefusesVersionsBelowItsFence(t *testing.T) {
	v := NewVoter("v", limits)
	if !v.Promise(start, "c", 5, false).Granted {
		t.Fatal("promise refused before any fence was raised")
	}
	v.Raise(start, "c", 7)
	v.Raise(start, "c", 6)
	if p := v.Promise(start, "c", 6, false); p.Granted || p.Floor != 7 {
		t.Errorf("got promise %+v for version 6 after fence 7", p)
	}
	if !v.Promise(start, "other", 1, false).Granted {
		t.Error("the fence of one cell applies to another cell")
	}
	v.Promise(start, "c", 7, true)
	if ack := v.Raise(start, "c", 8); ack.NonVoterWait <= limits.TTL {
		t.Errorf("non-voter wait is %s, want more than the TTL of %s", ack.NonVoterWait, limits.TTL)
	}
}

func TestSettled(t *testing.T) {
	doc := &cell.Cell{
		Fence:  9,
		Quorum: cell.Quorum{Local: members("a", "b", "c"), Wide: members("a", "b", "c", "x", "y")},
	}
	late := start.Add(limits.TTL * 2)
	tests := []struct {
		name  string
		acks  []string
		fence uint64
		grace time.Duration
		at    time.Time
		want  bool
	}{
		{"all local voters, without a wait", []string{"a", "b", "c"}, 9, 0, start, true},
		{"minority, never", []string{"a"}, 9, 0, late, false},
		{"half of each set, before the wait", []string{"a", "b", "x"}, 9, 0, start, false},
		{"half of each set, after the wait", []string{"a", "b", "x"}, 9, 0, late, true},
		{"half of the local voters, too few wide voters", []string{"a", "b"}, 9, 0, late, false},
		{"acknowledgements of an older fence", []string{"a", "b", "c"}, 8, 0, late, false},
		{"grace for entries that did not answer", []string{"a", "b", "x"}, 9, time.Minute, late, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := NewSettlement(doc, limits)
			for _, id := range tt.acks {
				s.Record(start, Ack{Voter: id, Fence: tt.fence})
			}
			if got := s.Settled(tt.at, tt.grace); got != tt.want {
				t.Errorf("settled %v, want %v", got, tt.want)
			}
		})
	}
}

// TestSettledCoversPreviousQuorums changes the voters. Entries with the old document
// rely on the old voters, so a majority of those must be blocked too.
func TestSettledCoversPreviousQuorums(t *testing.T) {
	doc := &cell.Cell{
		Fence:    2,
		Previous: []cell.Quorum{{Local: members("a", "b", "c")}},
		Quorum:   cell.Quorum{Local: members("d")},
	}
	s := NewSettlement(doc, limits)
	s.Record(start, Ack{Voter: "d", Fence: 2})
	if s.Settled(start.Add(time.Hour), 0) {
		t.Error("settled while the previous voters can still form a majority")
	}
	s.Record(start, Ack{Voter: "a", Fence: 2})
	s.Record(start, Ack{Voter: "b", Fence: 2})
	if !s.Settled(start.Add(time.Hour), 0) {
		t.Error("not settled with a majority of both quorums")
	}
}

// TestGraceStartsAtVoterDeath checks that the grace for the requests of a dead voter
// is counted from its death, so that a new fence does not wait for them again, and
// that the death of a member that never voted is ignored.
func TestGraceStartsAtVoterDeath(t *testing.T) {
	doc := &cell.Cell{Fence: 2, Quorum: cell.Quorum{Local: members("a", "b")}}
	s := NewSettlement(doc, limits)
	s.Record(start, Ack{Voter: "a", Fence: 2})
	s.RecordDead(start.Add(-time.Minute), "b")
	s.RecordDead(start, "stranger")
	if !s.Settled(start, 10*time.Second) {
		t.Error("not settled")
	}
	s = NewSettlement(doc, limits)
	s.Record(start, Ack{Voter: "a", Fence: 2})
	s.RecordDead(start, "b")
	if s.Settled(start, 10*time.Second) {
		t.Error("settled while requests of the dead voter may be in flight")
	}
}

// TestSoleVoterEndsAfterAdoptingFence guards against a fence that can never settle
// because the only voter of a previous quorum ended before it acknowledged. It is
// enough that the voter was known to use the new document.
func TestSoleVoterEndsAfterAdoptingFence(t *testing.T) {
	doc := &cell.Cell{
		Fence:    2,
		Previous: []cell.Quorum{{Local: members("a")}},
		Quorum:   cell.Quorum{Local: members("a", "b")},
	}
	s := NewSettlement(doc, limits)
	s.Record(start, Ack{Voter: "b", Fence: 2})
	if s.Settled(start.Add(time.Hour), 0) {
		t.Fatal("settled while the only voter may still send")
	}
	s.RecordAdopted(start, "a")
	// Entries that hold a promise of a may send until it expires, and requests
	// of a may be in flight for the length of the grace.
	const grace = 10 * time.Second
	if s.Settled(start.Add(limits.voterTTL()+grace-1), grace) {
		t.Error("settled before the promises and requests of a have ended")
	}
	if !s.Settled(start.Add(limits.voterTTL()+grace), grace) {
		t.Error("not settled")
	}
}
