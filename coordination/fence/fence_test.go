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
		{"alone", []string{"a"}, nil, nil, "a", true},
		{"one of two", []string{"a", "b"}, nil, nil, "a", false},
		{"two of two", []string{"a", "b"}, nil, []string{"b"}, "a", true},
		{"two of three", []string{"a", "b", "c"}, nil, []string{"c"}, "a", true},
		{"wide majority", []string{"a", "b"}, []string{"a", "b", "x", "y", "z"}, []string{"x", "y"}, "a", true},
		{"wide minority", []string{"a", "b"}, []string{"a", "b", "x", "y", "z"}, []string{"x"}, "a", false},
		{"guest with local majority", []string{"b", "c"}, nil, []string{"b", "c"}, "a", true},
		{"guest with wide majority", []string{"b", "c"}, []string{"b", "c", "x"}, []string{"x", "b"}, "a", false},
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
				t.Error("the right outlives its promises")
			}
		})
	}
}

func TestVoterRefusesVersionsBelowItsFence(t *testing.T) {
	v := NewVoter("v", limits)
	if !v.Promise(start, "c", 5, false).Granted {
		t.Fatal("no promise without a fence")
	}
	v.Raise(start, "c", 7)
	v.Raise(start, "c", 6)
	if p := v.Promise(start, "c", 6, false); p.Granted || p.Floor != 7 {
		t.Errorf("promise %+v after fence 7", p)
	}
	if !v.Promise(start, "other", 1, false).Granted {
		t.Error("the fence of one cell binds another")
	}
	v.Promise(start, "c", 7, true)
	if ack := v.Raise(start, "c", 8); ack.NonVoterWait <= limits.TTL {
		t.Errorf("guests may hold a right for %s, TTL %s", ack.NonVoterWait, limits.TTL)
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
		{"all local at once", []string{"a", "b", "c"}, 9, 0, start, true},
		{"a minority never", []string{"a"}, 9, 0, late, false},
		{"half without the wait", []string{"a", "b", "x"}, 9, 0, start, false},
		{"half after the wait", []string{"a", "b", "x"}, 9, 0, late, true},
		{"half local, too few wide", []string{"a", "b"}, 9, 0, late, false},
		{"acks of an older fence", []string{"a", "b", "c"}, 8, 0, late, false},
		{"grace for silent entries", []string{"a", "b", "x"}, 9, time.Minute, late, false},
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

// TestSettledCoversPreviousQuorums changes the voters: the majority of the old
// ones must be blocked too.
func TestSettledCoversPreviousQuorums(t *testing.T) {
	doc := &cell.Cell{
		Fence:    2,
		Previous: []cell.Quorum{{Local: members("a", "b", "c")}},
		Quorum:   cell.Quorum{Local: members("d")},
	}
	s := NewSettlement(doc, limits)
	s.Record(start, Ack{Voter: "d", Fence: 2})
	if s.Settled(start.Add(time.Hour), 0) {
		t.Error("settled while the former voters may still promise each other")
	}
	s.Record(start, Ack{Voter: "a", Fence: 2})
	s.Record(start, Ack{Voter: "b", Fence: 2})
	if !s.Settled(start.Add(time.Hour), 0) {
		t.Error("not settled with the majority of both")
	}
}

// TestDeadVotersAreWaitedForOnce lets a voter end long ago: a new fence does not
// wait for its last requests again, and those who never voted do not matter.
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
		t.Error("settled while requests of the dead voter may be under way")
	}
}

// TestSoleVoterThatFollowedAndEnded guards against a former quorum that nobody
// can speak for: its only voter was heard to use the new document and ended.
func TestSoleVoterEndsAfterAdoptingFence(t *testing.T) {
	doc := &cell.Cell{
		Fence:    2,
		Previous: []cell.Quorum{{Local: members("a")}},
		Quorum:   cell.Quorum{Local: members("a", "b")},
	}
	s := NewSettlement(doc, limits)
	s.Record(start, Ack{Voter: "b", Fence: 2})
	if s.Settled(start.Add(time.Hour), 0) {
		t.Fatal("settled while the sole voter may still be sending")
	}
	s.RecordAdopted(start, "a")
	// Guests of a may send as long as its last promise to them holds, and
	// requests of a may be under way for the grace.
	const grace = 10 * time.Second
	if s.Settled(start.Add(limits.voterTTL()+grace-1), grace) {
		t.Error("settled before what a promised and sent has lapsed")
	}
	if !s.Settled(start.Add(limits.voterTTL()+grace), grace) {
		t.Error("not settled")
	}
}
