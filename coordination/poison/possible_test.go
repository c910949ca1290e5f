package poison

import (
	"testing"
	"time"
)

// twoEnds returns a tracker of a request that was present at two ends, and was then aborted on a third
// upstream, which refused a connection, at the time of 2 s.
func twoEnds() *Tracker {
	tr := NewTracker()
	for i := range refusalThreshold - 1 {
		endUpstream(tr, i, 1)
	}
	tr.RequestAborted(at(2*time.Second), 1, "v", 1, at(1900*ms))
	tr.EndPossible(at(2*time.Second+ms), "v", 1)
	return tr
}

// A request that may have ended its third upstream must neither be sent on nor refused before that is known.
func TestPossibleThirdEndLeavesRequestUndecided(t *testing.T) {
	for name, tt := range map[string]struct {
		then                    func(tr *Tracker)
		undecided, refusedLater bool
	}{
		"not known":    {func(*Tracker) {}, true, false},
		"confirmed":    {func(tr *Tracker) { tr.UpstreamEnded(at(2050*ms), "v", 1, RefusedDial) }, true, true},
		"contradicted": {contradictConfirmed, false, false},
		"cleared":      {func(tr *Tracker) { tr.Clear(Clearing{Digest: 1, At: at(2050 * ms)}) }, false, false},
	} {
		tr := twoEnds()
		tt.then(tr)
		now := at(2100 * ms)
		if got := tr.Undecided(now, 1); got != tt.undecided || tr.Refused(now, 1, 1, 0) {
			t.Errorf("%s: undecided %v, refused %v", name, got, tr.Refused(now, 1, 1, 0))
		}
		now = at(2*time.Second + settleTime)
		if tr.Undecided(now, 1) || tr.Refused(now, 1, 1, 0) != tt.refusedLater {
			t.Errorf("%s, later: undecided %v, refused %v", name, tr.Undecided(now, 1), tr.Refused(now, 1, 1, 0))
		}
	}
}

// contradictConfirmed confirms the third end, which an answer on an older connection contradicts.
func contradictConfirmed(tr *Tracker) {
	tr.UpstreamEnded(at(2050*ms), "v", 1, RefusedDial)
	tr.Contradict(at(2090*ms), Answer{Upstream: "v", Incarnation: 1, Sent: at(2060 * ms)})
}

// Runs that are aborted at several upstreams at once show cut links of this gateway rather than ends.
func TestRunsAbortedTogetherAreNoPossibleEnds(t *testing.T) {
	tr := NewTracker()
	upstreams := []string{"u", "v", "w"}
	for i, name := range upstreams {
		tr.RequestAborted(at(time.Duration(i)*ms), 1, name, 1, at(0))
	}
	for _, name := range upstreams {
		if tr.EndPossible(at(10*ms), name, 1) {
			t.Errorf("an end of %s is possible", name)
		}
	}
}

// A possible end that several gateways report, and one that is already counted, adds nothing.
func TestPossibleEndCountsOnce(t *testing.T) {
	tr := twoEnds()
	reported := tr.Possible(at(2010 * ms))
	if len(reported) != 1 {
		t.Fatalf("possible ends: %v", reported)
	}
	other := NewTracker()
	endUpstream(other, 0, 1)
	for range 2 {
		reported[0].At = reported[0].At.Add(90 * ms)
		other.AddPossible(at(2200*ms), reported[0])
	}
	if other.Undecided(at(2200*ms), 1) {
		t.Error("one end and a possible one that is reported twice count as three")
	}
	tr.UpstreamEnded(at(2050*ms), "v", 1, RefusedDial)
	if tr.AddPossible(at(2200*ms), reported[0]) {
		t.Error("an end that is counted is possible as well")
	}
}

// An end must be confirmed while the request has ended most other upstreams.
func TestKnownEndsDoNotPreventConfirmation(t *testing.T) {
	tr := NewTracker()
	var others []End
	for i, name := range []string{"u", "v", "w", "x"} {
		others = append(others, End{Upstream: name, Incarnation: 1})
		if i < 3 {
			tr.DialRefused(at(0), name)
			tr.UpstreamEnded(at(0), name, 1, RefusedDial)
		}
	}
	if got := tr.Confirming(at(100*ms), others); len(got) != 1 || got[0] != "x" {
		t.Errorf("asked to confirm: %v", got)
	}
	for _, name := range []string{"y1", "y2", "y3", "y4"} {
		others = append(others, End{Upstream: name, Incarnation: 1})
		tr.DialRefused(at(0), name)
	}
	if got := tr.Confirming(at(100*ms), others); len(got) > 0 {
		t.Errorf("asked to confirm: %v, though four of five that may live refuse connections", got)
	}
}
