package detect

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestAssess(t *testing.T) {
	limits := Limits{SuspectAfter: time.Second, RefusedAfter: 400 * time.Millisecond, ReportTTL: 1500 * time.Millisecond}
	alive := Observation{Boot: "b", Silent: 100 * time.Millisecond}
	silent := Observation{Boot: "b", Silent: 1100 * time.Millisecond}
	refused := Observation{Boot: "b", Silent: 500 * time.Millisecond, Refused: true}
	tests := []struct {
		name       string
		reports    []Observation
		minReports int
		after      time.Duration
		boot       string
		want       Health
	}{
		{"no entry reports", nil, 1, 0, "b", Unknown},
		{"all entries hear from it", []Observation{alive, alive}, 1, 0, "b", Alive},
		{"one entry hears from it", []Observation{silent, silent, alive}, 1, 0, "b", Alive},
		{"no entry hears from it", []Observation{silent, silent}, 1, 0, "b", Silent},
		{"too few entries report", []Observation{silent}, 2, 0, "b", Unknown},
		{"refused by all", []Observation{refused, refused}, 1, 0, "b", Gone},
		{"refused and silent", []Observation{refused, silent}, 1, 0, "b", Silent},
		{"silence grows with the age of the report", []Observation{alive}, 1, 950 * time.Millisecond, "b", Silent},
		{"expired reports do not count", []Observation{alive}, 1, 2 * time.Second, "b", Unknown},
		{"another process", []Observation{{Boot: "c"}}, 1, 0, "b", Gone},
		{"the latest answer identifies the process", []Observation{alive, {Boot: "c"}}, 1, 0, "c", Alive},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := New(limits)
			for i, o := range tt.reports {
				d.Report(start, string(rune('a'+i)), "u", o)
			}
			if got := d.Assess(start.Add(tt.after), "u", tt.boot, tt.minReports).Health; got != tt.want {
				t.Errorf("health %d, want %d", got, tt.want)
			}
		})
	}
}

// TestReset checks that a reset discards observations of the former process: its boot ID in a late
// report must not make the new process count as gone.
func TestReset(t *testing.T) {
	d := New(Limits{SuspectAfter: time.Second, ReportTTL: time.Minute})
	d.Reset(start, "u")
	d.Report(start.Add(100*time.Millisecond), "a", "u", Observation{Boot: "old", Silent: 300 * time.Millisecond})
	if got := d.Assess(start.Add(100*time.Millisecond), "u", "new", 1).Health; got != Alive {
		t.Errorf("health %d, want alive", got)
	}
	d.Report(start.Add(200*time.Millisecond), "b", "u", Observation{Boot: "old"})
	if got := d.Assess(start.Add(200*time.Millisecond), "u", "new", 1).Health; got != Alive {
		t.Errorf("health %d after a delayed answer of the former process, want alive", got)
	}
	if got := d.Assess(start.Add(2*time.Second), "u", "new", 1).Health; got != Silent {
		t.Errorf("health %d after silence, want silent", got)
	}
}
