package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/state/instances"
)

// What upstreams that have said something may get, as the checker of this file knows it.
const (
	wordDrain   = 2 * time.Second
	wordEvacuee = 1500 * time.Millisecond
	longestRest = 5 * time.Minute
)

// wordedStart is one start of an upstream and what it has said to this gateway.
type wordedStart struct {
	instances.Instance
	left      time.Time
	restUntil time.Time
}

// worded plays what upstreams say against a service at random, and checks what is sent. It knows the
// promises only.
type worded struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	now       time.Time
	service   *Service
	starts    map[string]*wordedStart
	evacuated map[string]time.Time
	granted   []Grant
	inFlight  []Grant
	byStart   map[string]*wordedStart
}

func startKey(one instances.Instance) string { return fmt.Sprint(one.ID, "/", one.BornMs) }

func newWorded(t *testing.T, seed uint64) *worded {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &worded{
		t: t, seed: seed, rng: rng, now: start, service: NewService("a", wordDrain, rng),
		starts: make(map[string]*wordedStart), evacuated: make(map[string]time.Time), byStart: make(map[string]*wordedStart),
	}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		w.begin(id, 1)
	}
	w.list()
	w.service.ReportAll(w.now, News{Gateways: 1})
	return w
}

// begin starts an upstream under an ID.
func (w *worded) begin(id string, born uint64) {
	one := &wordedStart{Instance: instances.Instance{ID: id, Domain: id[:1], Slots: 2, BornMs: born}}
	w.starts[id] = one
	w.byStart[startKey(one.Instance)] = one
}

// list tells the service of the upstreams, at times without some of them.
func (w *worded) list() {
	var out []*instances.Instance
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		if w.rng.IntN(6) > 0 {
			one := w.starts[id].Instance
			out = append(out, &one)
		}
	}
	w.service.SetUpstreams(w.now, out)
}

// ask offers a request for an owner or for any.
func (w *worded) ask() {
	want := &Want{Objective: time.Second, Deadline: w.now.Add(2 * time.Second), Until: w.now.Add(600 * ms)}
	if w.rng.IntN(2) == 0 {
		want.Owner = []string{"a1", "a2", "b1", "b2"}[w.rng.IntN(4)]
	}
	want.Verdict = func(g Grant, r Refusal) {
		if r == 0 {
			w.granted = append(w.granted, g)
		}
	}
	if g, r, decided := w.service.Offer(w.now, want); decided && r == 0 {
		w.granted = append(w.granted, g)
	}
}

func take(rng *rand.Rand, list *[]Grant) (Grant, bool) {
	if len(*list) == 0 {
		return Grant{}, false
	}
	i := rng.IntN(len(*list))
	g := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return g, true
}

// send lets a connection be there for a request that was granted.
func (w *worded) send() {
	g, ok := take(w.rng, &w.granted)
	if !ok {
		return
	}
	if !w.service.MaySend(w.now, g) {
		w.service.Done(w.now, g, Left)
		return
	}
	one := w.byStart[startKey(g.Instance)]
	if !one.left.IsZero() && w.now.Sub(one.left) > wordDrain {
		w.t.Fatalf("seed %d: sent to %s %s after it had told that it leaves", w.seed, startKey(g.Instance), w.now.Sub(one.left))
	}
	if w.now.Before(one.restUntil) {
		w.t.Fatalf("seed %d: sent to %s %s before its rest ends", w.seed, startKey(g.Instance), one.restUntil.Sub(w.now))
	}
	if since, ok := w.evacuated[g.Instance.Domain]; ok && w.now.Sub(since) > wordEvacuee {
		w.t.Fatalf("seed %d: sent to %s %s after its failure domain was evacuated", w.seed, startKey(g.Instance), w.now.Sub(since))
	}
	w.inFlight = append(w.inFlight, g)
}

// answer lets an upstream answer, and say something.
func (w *worded) answer() {
	g, ok := take(w.rng, &w.inFlight)
	if !ok {
		return
	}
	one := w.byStart[startKey(g.Instance)]
	var n notice.Notice
	outcome := Answered
	switch w.rng.IntN(8) {
	case 0:
		n.Leaving = true
	case 1, 2:
		n.Rest = []time.Duration{0, 300 * ms, time.Second, 10 * time.Second, 24 * time.Hour}[w.rng.IntN(5)]
		outcome = Full
	}
	n.Leaving = n.Leaving || !one.left.IsZero() && w.rng.IntN(4) > 0
	if n.Leaving && one.left.IsZero() {
		one.left = w.now
	}
	if until := w.now.Add(min(n.Rest, longestRest)); n.Rest > 0 && until.After(one.restUntil) {
		one.restUntil = until
	}
	w.service.ApplyNotice(w.now, g, n)
	w.service.Done(w.now, g, outcome)
}

// evacuate evacuates a failure domain or takes it back.
func (w *worded) evacuate() {
	domain := []string{"a", "b"}[w.rng.IntN(2)]
	if _, ok := w.evacuated[domain]; ok {
		delete(w.evacuated, domain)
	} else {
		w.evacuated[domain] = w.now
	}
	w.service.SetEvacuated(w.now, func(d string) bool { _, ok := w.evacuated[d]; return ok })
}

func (w *worded) step() {
	w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(120 * ms))))
	switch n := w.rng.IntN(40); {
	case n < 14:
		w.ask()
	case n < 24:
		w.send()
	case n < 34:
		w.answer()
	case n < 36:
		w.list()
	case n == 36:
		id := []string{"a1", "a2", "b1", "b2"}[w.rng.IntN(4)]
		w.begin(id, w.starts[id].BornMs+1)
		w.list()
	case n == 37:
		w.evacuate()
	case n == 38:
		w.now = w.now.Add(time.Duration(w.rng.Int64N(int64(8 * time.Second))))
	default:
		w.service.Tick(w.now)
	}
}

// TestWordsAreKept: whatever upstreams say, in whichever order, with starts under the same ID, lists
// without some, evacuations, requests that wait and connections that open meanwhile, nothing is
// sent to one that has told this gateway not to.
func TestWordsAreKept(t *testing.T) {
	const series, steps = 2000, 400
	for seed := range uint64(series) {
		w := newWorded(t, seed)
		for range steps {
			w.step()
		}
	}
}
