package lease

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// answeredTracker returns a tracker that received an answer at start, in which the
// upstream's clock reads 5 s.
func answeredTracker() *Tracker {
	tr := NewTracker(Limits{TTL: 1200 * time.Millisecond, DriftPercent: 2})
	tr.NextRenewal(start, start, cell.Upstream{ID: "u"})
	tr.RecordAnswer(start, "u", control.Status{Boot: "b", ClockNanos: int64(5 * time.Second)})
	return tr
}

// TestNextRenewal checks when a lease is renewed and when it ends: no later than
// the entry's right to send, and counted from the upstream's last answer.
func TestNextRenewal(t *testing.T) {
	upstream := cell.Upstream{ID: "u", Boot: "b", State: cell.Active}
	tests := []struct {
		name       string
		now        time.Duration
		rightUntil time.Duration
		upstream   cell.Upstream
		want       time.Duration
	}{
		{"full TTL", 100 * time.Millisecond, 5 * time.Second, upstream, 1152 * time.Millisecond},
		{"limited by the right to send", 100 * time.Millisecond, 500 * time.Millisecond, upstream, 480 * time.Millisecond},
		{"no right to send", 100 * time.Millisecond, 100 * time.Millisecond, upstream, 0},
		{"sent late, still counted from the last answer", 900 * time.Millisecond, 5 * time.Second, upstream, 1152 * time.Millisecond},
		{"different boot id", 0, 5 * time.Second, cell.Upstream{ID: "u", Boot: "c", State: cell.Active}, 0},
		{"no boot id yet", 0, 5 * time.Second, cell.Upstream{ID: "u", State: cell.Active}, 0},
		{"lost upstream", 0, 5 * time.Second, cell.Upstream{ID: "u", Boot: "b", State: cell.Lost}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, ok := answeredTracker().NextRenewal(at(tt.now), at(tt.rightUntil), tt.upstream)
			if !ok {
				t.Fatal("no renewal was returned")
			}
			got := time.Duration(0)
			if r.Boot != "" {
				got = time.Duration(r.UntilNanos) - 5*time.Second
			}
			if got != tt.want {
				t.Errorf("lease ends %s after the last answer, want %s", got, tt.want)
			}
		})
	}
}

func TestOneRenewalInFlight(t *testing.T) {
	tr := answeredTracker()
	up := cell.Upstream{ID: "u", Boot: "b", State: cell.Active}
	if _, ok := tr.NextRenewal(at(0), at(time.Hour), up); !ok {
		t.Fatal("no first renewal was returned")
	}
	if _, ok := tr.NextRenewal(at(time.Second), at(time.Hour), up); ok {
		t.Error("a second renewal was returned before the first was answered")
	}
	tr.RecordFailure(at(time.Second), "u", true)
	observations := tr.Observations(at(time.Second))
	if len(observations) != 1 || !observations[0].Refused || observations[0].Silent != time.Second {
		t.Errorf("got observations %+v", observations)
	}
}

// TestLostLeasesReportedUntilExpiry marks an upstream lost while a renewal to it
// is unanswered. The upstream may hold that lease, so it must be reported until it
// has expired.
func TestLostLeasesReportedUntilExpiry(t *testing.T) {
	tr := answeredTracker()
	tr.NextRenewal(at(0), at(time.Hour), cell.Upstream{ID: "u", Boot: "b", State: cell.Active})
	if !tr.MarkLost(at(0), "u") || tr.MarkLost(at(0), "u") {
		t.Error("MarkLost must report the change exactly once")
	}
	remaining := tr.LostLeases(at(100 * time.Millisecond))
	if len(remaining) != 1 || remaining[0].Remaining != 1100*time.Millisecond {
		t.Errorf("got remaining leases %+v", remaining)
	}
	if remaining := tr.LostLeases(at(2 * time.Second)); len(remaining) != 0 {
		t.Errorf("got remaining leases %+v after expiry", remaining)
	}
}
