package lease

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// answered returns a book that had an answer of clock reading 5 s at start.
func answeredTracker() *Tracker {
	tr := NewTracker(Limits{TTL: 1200 * time.Millisecond, DriftPercent: 2})
	tr.NextRenewal(start, start, cell.Upstream{ID: "u"})
	tr.RecordAnswer(start, "u", control.Status{Boot: "b", ClockNanos: int64(5 * time.Second)})
	return tr
}

// TestRenew states when a renewal is sent and how far it reaches: at most to
// the end of the entry's right, counted from the upstream's last answer.
func TestNextRenewal(t *testing.T) {
	upstream := cell.Upstream{ID: "u", Boot: "b", State: cell.Active}
	tests := []struct {
		name       string
		now        time.Duration
		rightUntil time.Duration
		upstream   cell.Upstream
		want       time.Duration
	}{
		{"full", 100 * time.Millisecond, 5 * time.Second, upstream, 1152 * time.Millisecond},
		{"within the right", 100 * time.Millisecond, 500 * time.Millisecond, upstream, 480 * time.Millisecond},
		{"no right", 100 * time.Millisecond, 100 * time.Millisecond, upstream, 0},
		{"late, still counted from the answer", 900 * time.Millisecond, 5 * time.Second, upstream, 1152 * time.Millisecond},
		{"another boot", 0, 5 * time.Second, cell.Upstream{ID: "u", Boot: "c", State: cell.Active}, 0},
		{"no boot yet", 0, 5 * time.Second, cell.Upstream{ID: "u", State: cell.Active}, 0},
		{"lost", 0, 5 * time.Second, cell.Upstream{ID: "u", Boot: "b", State: cell.Lost}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, ok := answeredTracker().NextRenewal(at(tt.now), at(tt.rightUntil), tt.upstream)
			if !ok {
				t.Fatal("nothing is asked")
			}
			got := time.Duration(0)
			if r.Boot != "" {
				got = time.Duration(r.UntilNanos) - 5*time.Second
			}
			if got != tt.want {
				t.Errorf("until %s after the answer, want %s", got, tt.want)
			}
		})
	}
}

func TestOneRenewalInFlight(t *testing.T) {
	tr := answeredTracker()
	up := cell.Upstream{ID: "u", Boot: "b", State: cell.Active}
	if _, ok := tr.NextRenewal(at(0), at(time.Hour), up); !ok {
		t.Fatal("the first is not asked")
	}
	if _, ok := tr.NextRenewal(at(time.Second), at(time.Hour), up); ok {
		t.Error("a second is asked before the answer to the first")
	}
	tr.RecordFailure(at(time.Second), "u", true)
	observations := tr.Observations(at(time.Second))
	if len(observations) != 1 || !observations[0].Refused || observations[0].Silent != time.Second {
		t.Errorf("seen %+v", observations)
	}
}

// TestLostKeepsTheLongestLease marks an upstream lost while a renewal is under
// way: its lease is reported until it has lapsed.
func TestLostLeasesReportedUntilExpiry(t *testing.T) {
	tr := answeredTracker()
	tr.NextRenewal(at(0), at(time.Hour), cell.Upstream{ID: "u", Boot: "b", State: cell.Active})
	if !tr.MarkLost(at(0), "u") || tr.MarkLost(at(0), "u") {
		t.Error("the loss is not reported once")
	}
	remaining := tr.LostLeases(at(100 * time.Millisecond))
	if len(remaining) != 1 || remaining[0].Remaining != 1100*time.Millisecond {
		t.Errorf("left %+v", remaining)
	}
	if remaining := tr.LostLeases(at(2 * time.Second)); len(remaining) != 0 {
		t.Errorf("left %+v after the lease", remaining)
	}
}
