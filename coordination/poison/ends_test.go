package poison

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/state/instances"
)

// endedThrice returns a tracker of a request that was present at three ends, in each of the seconds 0 to 2.
func endedThrice() *Tracker {
	tr := NewTracker()
	for i := range 3 {
		endUpstream(tr, i, 1)
	}
	return tr
}

// An upstream that answers after its end was reported has not ended, whichever of both arrives first.
func TestAnswerContradictsEnd(t *testing.T) {
	alive := End{Upstream: "u", Incarnation: 1, At: at(1500 * ms)}
	first := endedThrice()
	reported, _ := first.Export(at(3 * time.Second))
	first.Contradict(at(3*time.Second), alive)
	if refused(first, 1) || first.CrashCount(1) != 2 {
		t.Errorf("refused with %d ends left", first.CrashCount(1))
	}
	first.Merge(reported)
	if refused(first, 1) || first.CrashCount(1) != 2 {
		t.Errorf("a repeated report restores the contradicted end: %d", first.CrashCount(1))
	}
	if got := first.RecentContradictions(at(3 * time.Second)); len(got) != 1 || got[0] != alive {
		t.Errorf("contradictions to report: %v", got)
	}
	crashes, _ := first.Export(at(3 * time.Second))
	if len(crashes) != 2 {
		t.Errorf("%d crashes are reported on", len(crashes))
	}
	for _, sent := range []time.Duration{500 * ms, time.Second} {
		tr := endedThrice()
		if tr.Contradict(at(3*time.Second), End{Upstream: "u", Incarnation: 1, At: at(sent)}); !refused(tr, 1) {
			t.Errorf("an answer to a request sent at %s, before the end, contradicts it", sent)
		}
	}
}

// An incarnation whose end was contradicted may end later.
func TestContradictedIncarnationEndsLater(t *testing.T) {
	tr := endedThrice()
	tr.RequestAnswered(at(3*time.Second), "u", 1, at(2900*ms))
	if refused(tr, 1) || tr.EndKnown("u", 1) {
		t.Error("the end stands")
	}
	tr.RequestAborted(at(4*time.Second), 1, "u", 1, at(4*time.Second))
	if got := tr.UpstreamEnded(at(4*time.Second), "u", 1, RefusedDial); len(got) != 1 || !refused(tr, 1) {
		t.Errorf("the later end does not count: %v", got)
	}
	if len(tr.RecentEnds(at(4*time.Second))) != 1 {
		t.Error("the later end is not reported")
	}
}

// An upstream may start again under its ID. Until its entry is known here, answers of the next
// incarnation are attributed to the former one.
func TestRestartConfirmsContradictedEnd(t *testing.T) {
	tr := endedThrice()
	tr.RequestAnswered(at(3*time.Second), "u", 1, at(2900*ms))
	if got := tr.ContradictedEnds(); len(got) != 1 || got[0].Incarnation != 1 {
		t.Errorf("ends to confirm: %v", got)
	}
	tr.Restarted("u", 1)
	if !refused(tr, 1) {
		t.Error("not refused after the restart is known")
	}
	tr.RequestAnswered(at(4*time.Second), "u", 1, at(3900*ms))
	if !refused(tr, 1) {
		t.Error("an answer contradicts an end that an entry shows")
	}
}

// Ends that did not happen must not use up the room for those that did.
func TestContradictedEndsLeaveRoom(t *testing.T) {
	tr := NewTracker()
	for i := range 2 * maxEventsPerSuspect {
		endUpstream(tr, i, 1)
		now := at(time.Duration(i)*time.Second + 500*ms)
		tr.RequestAnswered(now, "u", instances.Incarnation(i), now)
	}
	for i := range 3 {
		endUpstream(tr, 2*maxEventsPerSuspect+i, 1)
	}
	if !refused(tr, 1) || tr.CrashCount(1) != 3 {
		t.Errorf("%d ends", tr.CrashCount(1))
	}
}
