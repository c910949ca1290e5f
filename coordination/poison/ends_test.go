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
	alive := Answer{Upstream: "u", Incarnation: 1, Connected: at(500 * ms), Sent: at(1500 * ms)}
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
		if tr.Contradict(at(3*time.Second), Answer{Upstream: "u", Incarnation: 1, Sent: at(sent)}); !refused(tr, 1) {
			t.Errorf("an answer to a request sent at %s, before the end, contradicts it", sent)
		}
	}
	for _, connected := range []time.Duration{time.Second - reportError, time.Second, 1700 * ms} {
		tr := endedThrice()
		if tr.Contradict(at(3*time.Second), Answer{Upstream: "u", Incarnation: 1, Connected: at(connected), Sent: at(2 * time.Second)}); !refused(tr, 1) {
			t.Errorf("an answer on a connection opened at %s, which may be that of the next process, contradicts the end", connected)
		}
	}
}

// An incarnation whose end was contradicted may end later.
func TestContradictedIncarnationEndsLater(t *testing.T) {
	tr := endedThrice()
	tr.RequestAnswered(at(3*time.Second), Answer{Upstream: "u", Incarnation: 1, Sent: at(2900 * ms)})
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

// An upstream may start again at its address and under its ID. Until its entry is known here, answers of the next
// process arrive under the incarnation of the former one.
func TestAnswerOfNextProcessKeepsEnd(t *testing.T) {
	tr := endedThrice()
	for _, sent := range []time.Duration{2900 * ms, 3900 * ms} {
		if _, ok := tr.RequestAnswered(at(sent+100*ms), Answer{Upstream: "u", Incarnation: 1, Connected: at(1700 * ms), Sent: at(sent)}); ok || !refused(tr, 1) {
			t.Errorf("the end is taken back by an answer to a request sent at %s", sent)
		}
	}
	if got := tr.RecentContradictions(at(4 * time.Second)); len(got) > 0 {
		t.Errorf("contradictions to report: %v", got)
	}
}

// Ends of the successive processes of an upstream count one by one, also before its entry tells of them.
func TestEndsBeforeNextEntryCountOneByOne(t *testing.T) {
	tr, other := NewTracker(), NewTracker()
	for i := range refusalThreshold {
		ended := time.Duration(i) * 800 * ms
		tr.RequestAborted(at(ended), 1, "u", 1, at(ended-50*ms))
		if tr.EndKnown("u", 1) {
			t.Errorf("end %d is taken for the one before", i)
		}
		if got := tr.UpstreamEnded(at(ended+60*ms), "u", 1, RefusedDial); len(got) != 1 || tr.CrashCount(1) != i+1 {
			t.Errorf("end %d: %d crashes", i, tr.CrashCount(1))
		}
		for _, gateway := range []*Tracker{other, tr} {
			crashes, _ := tr.Export(at(ended + 100*ms))
			for j := range crashes {
				crashes[j].At, crashes[j].Connected = crashes[j].At.Add(90*ms), crashes[j].Connected.Add(90*ms)
			}
			gateway.Merge(crashes)
		}
	}
	if tr.CrashCount(1) != refusalThreshold || !refused(other, 1) {
		t.Errorf("%d ends, %d at another gateway", tr.CrashCount(1), other.CrashCount(1))
	}
}

// An end that another gateway reports aborts no run that was sent on a later connection.
func TestEndAbortsNoRunOfNextProcess(t *testing.T) {
	tr := NewTracker()
	tr.RequestAborted(at(time.Second), 1, "u", 1, at(900*ms))
	if got := tr.UpstreamEnded(at(0), "u", 1, OtherGateway); len(got) > 0 {
		t.Errorf("crashes: %v", got)
	}
	if got := tr.UpstreamEnded(at(1050*ms), "u", 1, RefusedDial); len(got) != 1 {
		t.Errorf("crashes after the next end: %v", got)
	}
}

// Ends that did not happen must not use up the room for those that did.
func TestContradictedEndsLeaveRoom(t *testing.T) {
	tr := NewTracker()
	for i := range 2 * maxEventsPerSuspect {
		endUpstream(tr, i, 1)
		now := at(time.Duration(i)*time.Second + 500*ms)
		tr.RequestAnswered(now, Answer{Upstream: "u", Incarnation: instances.Incarnation(i), Sent: now})
	}
	for i := range 3 {
		endUpstream(tr, 2*maxEventsPerSuspect+i, 1)
	}
	if !refused(tr, 1) || tr.CrashCount(1) != 3 {
		t.Errorf("%d ends", tr.CrashCount(1))
	}
}

// TestDelayedReportOfOneRunIsNoFurtherEnd guards against one end that is counted several times because reports of it arrive later than reportError.
func TestDelayedReportOfOneRunIsNoFurtherEnd(t *testing.T) {
	origin := NewTracker()
	origin.RequestAborted(at(time.Second), 1, "u", 1, at(900*ms))
	origin.UpstreamEnded(at(time.Second), "u", 1, RefusedDial)
	for _, delays := range [][]time.Duration{{0, 300 * ms, 900 * ms, 2 * time.Second}, {2 * time.Second, 0}} {
		receiver := NewTracker()
		for _, delay := range delays {
			reported, _ := origin.Export(at(time.Second))
			for _, c := range reported {
				c.At, c.Connected = c.At.Add(delay), c.Connected.Add(delay)
				receiver.Merge([]Crash{c})
			}
		}
		if n := receiver.CrashCount(1); n != 1 {
			t.Errorf("reports late by %v: %d ends", delays, n)
		}
	}
}

// TestDelayedReportDoesNotRestoreClearedRun guards against a harmless request whose run counts again, though a later one was answered, because a report of it is late.
func TestDelayedReportDoesNotRestoreClearedRun(t *testing.T) {
	origin := NewTracker()
	origin.RequestAborted(at(time.Second), 1, "u", 1, at(900*ms))
	origin.UpstreamEnded(at(time.Second), "u", 1, RefusedDial)
	reported, _ := origin.Export(at(time.Second))
	receiver := NewTracker()
	receiver.Merge(reported)
	receiver.Clear(Clearing{Digest: 1, At: at(1500 * ms)})
	late := reported[0]
	late.At, late.Connected = late.At.Add(time.Second), late.Connected.Add(time.Second)
	receiver.Merge([]Crash{late})
	if n := receiver.CrashCount(1); n != 0 {
		t.Errorf("%d ends count after the request was cleared", n)
	}
}
