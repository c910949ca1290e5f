package controller

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/coordination/handover"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

var (
	start = time.Unix(1000, 0)
	self  = cell.Member{ID: MemberID("e", start), Cell: "c", Domain: "d", Peer: "p"}
)

type firstUpstream struct{}

// Place implements Placer. It assigns all spans to the first usable upstream.
func (firstUpstream) Place(doc *cell.Cell, service string, spans []keyspace.Span, avoid string) []string {
	out := make([]string, len(spans))
	for _, u := range doc.UpstreamsOf(service, cell.Active) {
		if u.Boot == "" || u.ID == avoid {
			continue
		}
		for i := range out {
			out[i] = u.ID
		}
		break
	}
	return out
}

type fencedServices struct{}

func (fencedServices) ChecksFences(string) bool { return true }

// newCore returns the only controller of a cell with the given ranges and the
// upstreams u and v.
func newCore(ranges ...cell.Range) *Core {
	c := NewCore(self, DefaultLimits(), firstUpstream{}, fencedServices{}, func() string { return "w" })
	c.OnDocument(start, &cell.Cell{
		Name: "c", Domain: "d", Version: 5, Fence: 5, Quorum: cell.Quorum{Local: []cell.Member{self}},
		Upstreams: []cell.Upstream{
			{ID: "u", Service: "s", State: cell.Active, Boot: "bu"},
			{ID: "v", Service: "s", State: cell.Active, Boot: "bv"},
		},
		Services: []cell.Service{{Name: "s", Ranges: ranges}},
	}, 9)
	c.OnRoster(start, &cell.Roster{Cell: "c", Version: 1, Members: []cell.Member{self}})
	return c
}

// runSteps calls Step for a number of rounds, lets every command succeed at once,
// and returns descriptions of the commands.
func runSteps(c *Core, now time.Time, rounds int) []string {
	var out []string
	for range rounds {
		for _, cmd := range c.Step(now) {
			out = append(out, describe(cmd))
			succeed(c, now, cmd)
		}
	}
	return out
}

func describe(cmd Command) string {
	switch cmd := cmd.(type) {
	case WriteDocument:
		r := cmd.Doc.Service("s").Ranges[0]
		return fmt.Sprintf("write %s %s@%d>%s%s", r.Phase, r.Owner, r.Epoch, r.Next, r.NextCell)
	case SendGrants:
		return fmt.Sprintf("grant %s@%d prepare=%v", cmd.Upstream.ID, cmd.Grants[0].Epoch, cmd.Grants[0].Prepare)
	case SendRevocations:
		return fmt.Sprintf("revoke %s@%d", cmd.Upstream.ID, cmd.Revocations[0].Epoch)
	}
	return cmd.key()
}

func succeed(c *Core, now time.Time, cmd Command) {
	switch cmd := cmd.(type) {
	case WriteDocument:
		c.OnWritten(now, cmd, cmd.Doc.Version+100, nil)
	case Apply:
		c.OnApplied(now, cmd, ApplyResult{Ack: fence.Ack{Voter: cmd.To.ID, Fence: cmd.Doc.Fence}, Version: cmd.Doc.Version}, nil)
	case SendGrants:
		c.OnGranted(now, cmd, nil)
	case SendRevocations:
		c.OnRevoked(now, cmd, nil)
	case ResetUpstream:
		c.OnReset(now, cmd, "new", nil)
	}
}

func wholeRange(phase cell.Phase, owner, next string) cell.Range {
	return cell.Range{Span: keyspace.FullSpan(), Epoch: 3, Phase: phase, Owner: owner, Next: next}
}

func checkCommands(t *testing.T, got []string, want ...string) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got commands\n%v\nwant\n%v", got, want)
	}
}

func TestPlannedMove(t *testing.T) {
	c := newCore(wholeRange(cell.Owned, "u", ""))
	runSteps(c, start, 2)
	c.AddMoves([]handover.Move{{Service: "s", Span: keyspace.FullSpan(), To: "v"}})
	apply := "apply/" + self.ID
	checkCommands(t, runSteps(c, start, 8),
		"grant v@0 prepare=true",
		"write releasing u@3>v", apply,
		"revoke u@3", "grant v@4 prepare=false",
		"write owned v@4>", apply)
}

func TestExport(t *testing.T) {
	c := newCore(wholeRange(cell.Owned, "u", ""))
	runSteps(c, start, 2)
	c.AddMoves([]handover.Move{{Service: "s", Span: keyspace.FullSpan(), ToCell: "other"}})
	apply := "apply/" + self.ID
	checkCommands(t, runSteps(c, start, 6),
		"write releasing u@3>other", apply, "revoke u@3",
		"write exported @4>other", apply, "redirect/s/"+keyspace.FullSpan().String())
}

func TestLostOwner(t *testing.T) {
	c := newCore(wholeRange(cell.Owned, "u", ""))
	runSteps(c, start, 2)
	c.OnObservation(start, self.ID, "v", detect.Observation{Boot: "bv"})
	c.OnObservation(start, self.ID, "u", detect.Observation{Boot: "bu", Silent: 2 * time.Second})
	apply := "apply/" + self.ID
	checkCommands(t, runSteps(c, start, 6),
		"write releasing u@3>v", apply, "grant v@4 prepare=false",
		"write owned v@4>", apply)
}

// TestGrantsPrecedeNewFences has a range of a lost owner that can be granted, and a
// pending move to another cell. The move raises the fence, which would delay the
// grant, so the grant must come first.
func TestGrantsPrecedeNewFences(t *testing.T) {
	halves := keyspace.FullSpan().Split(2)
	lost, other := wholeRange(cell.Releasing, "gone", "v"), wholeRange(cell.Owned, "u", "")
	lost.Span, other.Span = halves[0], halves[1]
	c := newCore(lost, other)
	c.AddMoves([]handover.Move{{Service: "s", Span: halves[1], ToCell: "other"}})
	apply := "apply/" + self.ID
	got := runSteps(c, start, 4)
	if len(got) < 3 {
		t.Fatalf("got commands %v, want at least 3", got)
	}
	checkCommands(t, got[:3], apply, "grant v@4 prepare=false", "write owned v@4>")
}

func TestFailedCommandsAreRetriedAfterPause(t *testing.T) {
	c := newCore(wholeRange(cell.Releasing, "u", "v"))
	runSteps(c, start, 1)
	c.OnRevoked(start, SendRevocations{Upstream: cell.Upstream{ID: "u"}, Revocations: []control.Revocation{}}, errors.New("lost"))
	for _, cmd := range c.Step(start) {
		if cmd.key() == "revoke/u" {
			t.Error("failed command was issued again without a delay")
		}
	}
	found := false
	for _, cmd := range c.Step(start.Add(time.Second)) {
		found = found || cmd.key() == "revoke/u"
	}
	if !found {
		t.Error("failed command was not issued again")
	}
}

func TestLowestLiveVoterLeads(t *testing.T) {
	lower := cell.Member{ID: MemberID("a", start), Cell: "c", Peer: "q"}
	c := newCore(wholeRange(cell.Owned, "u", ""))
	c.doc.Quorum.Local = []cell.Member{lower, self}
	if !c.Leads(start) {
		t.Error("does not lead although no voter with a lower ID was heard")
	}
	c.OnHeartbeat(start, lower)
	if c.Leads(start) {
		t.Error("leads although a voter with a lower ID is alive")
	}
	if !c.Leads(start.Add(2 * time.Second)) {
		t.Error("does not lead after the voter with the lower ID fell silent")
	}
}

// TestBootOfAnotherControllerInvalidatesReset guards against a grant to a second
// owner while the first still holds a lease. Two controllers reset an upstream and
// the other one writes its boot ID. When the upstream is lost later, the controller
// must not take its own earlier reset as proof, but wait for the lease to expire.
func TestBootOfAnotherControllerInvalidatesReset(t *testing.T) {
	c := newCore(wholeRange(cell.Vacant, "", ""))
	c.doc.Upstreams[0].Boot = ""
	c.OnReset(start, ResetUpstream{Upstream: cell.Upstream{ID: "u"}}, "mine", nil)
	theirs := c.doc.Clone()
	theirs.Version, theirs.Fence = 6, 6
	theirs.Upstreams[0].Boot = "theirs"
	theirs.Services[0].Ranges[0] = wholeRange(cell.Owned, "u", "")
	c.OnDocument(start, theirs, 10)
	later := start.Add(5 * time.Second)
	c.OnObservation(later, self.ID, "u", detect.Observation{Boot: "theirs", Silent: 2 * time.Second})
	c.OnObservation(later, self.ID, "v", detect.Observation{Boot: "bv"})
	c.leaseEnds["u"] = later.Add(time.Minute)
	for _, got := range runSteps(c, later, 6) {
		if got == "grant v@4 prepare=false" {
			t.Error("granted to the next owner before the lease of the lost one expired")
		}
	}
}

// TestClearedPreviousQuorumsNeedNoAcks guards against a fence that never settles
// because a previous voter has ended. A later document with the same fence and no
// previous quorums shows that another controller settled it.
func TestClearedPreviousQuorumsNeedNoAcks(t *testing.T) {
	c := newCore(wholeRange(cell.Owned, "u", ""))
	doc := c.doc.Clone()
	doc.Version, doc.Fence = 6, 6
	doc.Previous = []cell.Quorum{{Local: []cell.Member{{ID: "ended", Cell: "c"}}}}
	c.OnDocument(start, doc, 10)
	c.settlement.Record(start, fence.Ack{Voter: self.ID, Fence: 6})
	c.Step(start)
	if c.settled {
		t.Fatal("settled without the previous voter")
	}
	cleared := doc.Clone()
	cleared.Version, cleared.Previous = 7, nil
	c.OnDocument(start, cleared, 11)
	c.Step(start)
	if !c.settled {
		t.Error("not settled after the previous quorum was cleared")
	}
}

// TestSoleVoterEndsBeforeAcknowledging guards against a cell that no entry can lead:
// the only voter of a previous quorum is silent, and the document still lists that
// quorum. Another entry may continue without it only if the voter was known to use
// that document.
func TestSoleVoterEndsBeforeAcknowledging(t *testing.T) {
	ended := cell.Member{ID: MemberID("a", start), Cell: "c", Peer: "q"}
	joined := &cell.Cell{
		Name: "c", Domain: "d", Version: 6, Fence: 6,
		Quorum:   cell.Quorum{Local: []cell.Member{ended, self}},
		Previous: []cell.Quorum{{Local: []cell.Member{ended}}},
	}
	tests := []struct {
		name   string
		before uint64
		after  uint64
		want   bool
	}{
		{"used the document before it arrived", 6, 0, true},
		{"used the document after it arrived", 5, 6, true},
		{"used a later document", 7, 0, true},
		{"used the previous document only", 5, 5, false},
		{"reported no version", 0, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCore()
			c.OnVersion(start, ended, tt.before)
			c.OnDocument(start, joined.Clone(), 10)
			c.OnVersion(start, ended, tt.after)
			for i := range 100 {
				now := start.Add(time.Duration(i) * 50 * time.Millisecond)
				if i == 20 && len(c.doc.Previous) == 0 {
					t.Fatal("continued before the promises of the silent voter expired")
				}
				for _, cmd := range c.Step(now) {
					if apply, ok := cmd.(Apply); ok && apply.To.ID == ended.ID {
						c.OnApplied(now, apply, ApplyResult{}, errors.New("no answer"))
						continue
					}
					succeed(c, now, cmd)
				}
			}
			if got := len(c.doc.Quorum.Local) == 1; got != tt.want {
				t.Errorf("continued alone: %v, want %v (%s)", got, tt.want, c.Explain(start.Add(5*time.Second)))
			}
		})
	}
}
