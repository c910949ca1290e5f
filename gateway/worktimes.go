package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file carries what gateways see of runs to the leader, and its estimates of work
// times back to all.

// toldRuns is how many runs the estimate of a former leader counts for in the book of the
// next one.
const toldRuns = 10

// leastSlowness keeps estimates finite.
const leastSlowness = 0.01

// keepRuns keeps the runs that a report tells of for the own next report.
func (c *cluster) keepRuns(loads []*syncpb.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range loads {
		if runs := runsOf(l); runs.Runs > 0 {
			c.runs[l.Instance] = c.runs[l.Instance].Add(runs)
		}
	}
}

// takeRuns returns the kept runs, and forgets them.
func (c *cluster) takeRuns() map[string]worktime.Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.runs
	c.runs = make(map[string]worktime.Sum)
	return out
}

// worksAbove returns the mean times of a run as the parent told them, by upstream. The map
// is not changed any more.
func (c *cluster) worksAbove() map[string]worktime.Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parentWorkTimes
}

// withRuns returns the loads with the runs told in them.
func withRuns(loads map[string]*syncpb.Load, runs map[string]worktime.Sum) []*syncpb.Load {
	for id, sum := range runs {
		l := loads[id]
		if l == nil {
			l = &syncpb.Load{Instance: id}
			loads[id] = l
		}
		setRuns(l, sum)
	}
	out := make([]*syncpb.Load, 0, len(loads))
	for _, l := range loads {
		out = append(out, l)
	}
	return out
}

// setRuns lets a load tell of runs.
func setRuns(l *syncpb.Load, sum worktime.Sum) {
	l.Runs, l.WorkUs = float32(sum.Runs), uint32(sum.Mean().Microseconds())
	if slowness := sum.MeanSlowness(); slowness != 1 {
		l.Slowness = float32(slowness)
	}
}

// runsOf returns what a load tells of runs.
func runsOf(l *syncpb.Load) worktime.Sum {
	work := time.Duration(l.WorkUs) * time.Microsecond
	runs, slowness := float64(l.Runs), float64(l.Slowness)
	if slowness == 0 {
		slowness = 1
	}
	return worktime.Sum{Total: time.Duration(runs * float64(work)), Runs: runs, Slowness: runs * slowness}
}

// workTimes are the leader's estimates for all services, for concurrent use.
type workTimes struct {
	view *view

	mu    sync.Mutex
	books map[string]*worktime.Book
	// told are the estimates as they are told; never changed in place.
	told map[string]worktime.Estimate
	// answered is when a gateway last told that an upstream had answered requests.
	answered map[string]time.Time
	now      func() time.Time
}

func newWorkTimes(v *view, now func() time.Time) *workTimes {
	return &workTimes{view: v, books: make(map[string]*worktime.Book), answered: make(map[string]time.Time), now: now}
}

// begin forgets everything but what the former leader told.
func (w *workTimes) begin(told map[string]worktime.Estimate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.books, w.answered = make(map[string]*worktime.Book), make(map[string]time.Time)
	w.told = told
	for id, one := range told {
		slowness := max(one.Slowness, leastSlowness)
		w.addLocked(id, worktime.Sum{
			Total: time.Duration(toldRuns * float64(one.Work) / slowness), Runs: toldRuns, Slowness: toldRuns * one.Slowness,
		})
	}
}

// note notes the runs that a report tells of.
func (w *workTimes) note(loads []*syncpb.Load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range loads {
		runs := runsOf(l)
		w.addLocked(l.Instance, runs)
		if runs.Runs > 0 {
			w.answered[l.Instance] = w.now()
		}
	}
}

// answeredAt returns when it was last told that the upstream had answered requests; zero when
// it never was.
func (w *workTimes) answeredAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answered[id]
}

func (w *workTimes) addLocked(id string, runs worktime.Sum) {
	known := w.view.inst.Load()
	if known == nil {
		return
	}
	if one := known.Get(id); one != nil {
		w.book(one.Service).Add(id, runs)
	}
}

// book returns the book of a service. The lock is held.
func (w *workTimes) book(service string) *worktime.Book {
	b := w.books[service]
	if b == nil {
		b = worktime.NewBook()
		w.books[service] = b
	}
	return b
}

// of returns the estimate for an upstream of the service; zero while none was seen.
func (w *workTimes) of(service, id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book(service).Mean(id)
}

// forget drops what was seen of an upstream that has started again.
func (w *workTimes) forget(service, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book(service).Forget(id)
	delete(w.answered, id)
}

// all returns the estimates for all upstreams as of the last refresh. The map is not
// changed any more.
func (w *workTimes) all() map[string]worktime.Estimate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.told
}

// refresh makes the estimates that are told from now on. It is called once a report interval:
// a leader answers hundreds of reports in it, each with the estimates of a thousand upstreams.
func (w *workTimes) refresh() {
	known := w.view.inst.Load()
	if known == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]worktime.Estimate, known.Len())
	for _, service := range known.Services() {
		b := w.book(service)
		b.Keep(func(id string) bool { return known.Get(id) != nil })
		for _, one := range known.Service(service) {
			if estimate := b.Estimate(one.ID); estimate.Work > 0 {
				out[one.ID] = estimate
			}
		}
	}
	w.told = out
	maps.DeleteFunc(w.answered, func(id string, _ time.Time) bool { return known.Get(id) == nil })
}
