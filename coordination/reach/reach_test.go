package reach

import (
	"testing"
	"time"
)

const ms = time.Millisecond

type event struct {
	at     time.Duration
	addr   string
	o      Outcome
	waited time.Duration
}

// TestState checks after which outcomes a gateway counts as cut off. Two upstreams that are down, a
// short wait, a moment without answers and upstreams that are silent but accept connections are not
// enough.
func TestState(t *testing.T) {
	refused := func(from time.Duration, addrs ...string) (out []event) {
		for _, a := range addrs {
			out = append(out, event{from, a, Refused, 0})
		}
		return out
	}
	for _, tt := range []struct {
		name      string
		upstreams int
		events    []event
		want      State
	}{
		{"no outcome", 5, nil, State{}},
		{"no upstreams", 0, refused(0, "a", "b", "c"), State{}},
		{"three refuse", 5, refused(0, "a", "b", "c"), State{Doubtful: true, CutOff: true, NoNewConnections: true}},
		{"three refuse just now", 5, refused(800*ms, "a", "b", "c"), State{}},
		{"two refuse", 5, refused(0, "a", "b", "a", "b"), State{}},
		{"two of two refuse", 2, refused(0, "a", "b"), State{Doubtful: true, CutOff: true, NoNewConnections: true}},
		{"another answers", 5, append(refused(0, "a", "b", "c"), event{100 * ms, "d", Answered, 0}), State{Doubtful: true, NoNewConnections: true}},
		{"another connects", 5, append(refused(0, "a", "b", "c"), event{100 * ms, "d", Connected, 0}), State{Doubtful: true, CutOff: true}},
		{"connections break", 5, []event{{0, "a", Broken, 0}, {0, "a", Connected, 0}, {0, "b", Broken, 0}, {0, "c", Broken, 0}}, State{Doubtful: true, CutOff: true}},
		{"no connection in time", 5, []event{{0, "a", NotConnected, 250 * ms}, {0, "b", NotConnected, 250 * ms}, {0, "c", NotConnected, 250 * ms}}, State{Doubtful: true, CutOff: true, NoNewConnections: true}},
		{"no response in time", 5, []event{{0, "a", NotAnswered, 400 * ms}, {0, "b", NotAnswered, 400 * ms}, {0, "c", NotAnswered, 400 * ms}}, State{Doubtful: true}},
		{"too little time", 5, []event{{0, "a", NotAnswered, 20 * ms}, {0, "b", NotAnswered, 20 * ms}, {0, "c", NotConnected, 20 * ms}}, State{}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tr, begin := NewTracker(), time.Unix(1000, 0)
			for _, e := range tt.events {
				tr.Record(begin.Add(e.at), e.addr, e.o, e.waited)
			}
			if got := tr.State(begin.Add(time.Second), tt.upstreams); got != (State{Doubtful: tt.want.Doubtful}) {
				t.Errorf("%+v before upstreams at random were tried", got)
			}
			tr.ProbesFailed(begin.Add(900 * ms))
			got := tr.State(begin.Add(time.Second), tt.upstreams)
			if got != tt.want {
				t.Errorf("%+v, want %+v", got, tt.want)
			}
			tr.Restored(begin.Add(time.Second))
			if got := tr.State(begin.Add(2*time.Second), tt.upstreams); got != (State{}) {
				t.Errorf("%+v after the links are restored", got)
			}
		})
	}
}

// TestProbesBeforeTheLastAnswerProveNothing guards against an earlier cut that makes a gateway count as
// cut off again as soon as three upstreams fail.
func TestProbesBeforeTheLastAnswerProveNothing(t *testing.T) {
	tr, begin := NewTracker(), time.Unix(1000, 0)
	tr.ProbesFailed(begin)
	tr.Record(begin.Add(ms), "d", Answered, 0)
	for _, addr := range []string{"a", "b", "c"} {
		tr.Record(begin.Add(2*ms), addr, Refused, 0)
	}
	if got, want := tr.State(begin.Add(time.Second), 5), (State{Doubtful: true}); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}
