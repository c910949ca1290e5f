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
const inheritedRuns = 10

// leastSlowness keeps estimates finite.
const minSlowness = 0.01

// keepRuns keeps the runs that a report tells of for the own next report.
func (c *cluster) addRuns(loads []*syncpb.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range loads {
		if runs := decodeRuns(l); runs.Runs > 0 {
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
func (c *cluster) parentWorkTimes() map[string]worktime.Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worksTold
}

// withRuns returns the loads with the runs told in them.
func mergeRuns(loads map[string]*syncpb.Load, runs map[string]worktime.Sum) []*syncpb.Load {
	for id, sum := range runs {
		l := loads[id]
		if l == nil {
			l = &syncpb.Load{Instance: id}
			loads[id] = l
		}
		encodeRuns(l, sum)
	}
	out := make([]*syncpb.Load, 0, len(loads))
	for _, l := range loads {
		out = append(out, l)
	}
	return out
}

// setRuns lets a load tell of runs.
func encodeRuns(l *syncpb.Load, sum worktime.Sum) {
	l.Runs, l.WorkUs = float32(sum.Runs), uint32(sum.Mean().Microseconds())
	if slowness := sum.MeanSlowness(); slowness != 1 {
		l.Slowness = float32(slowness)
	}
}

// runsOf returns what a load tells of runs.
func decodeRuns(l *syncpb.Load) worktime.Sum {
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
	published map[string]worktime.Estimate
	// answered is when a gateway last told that an upstream had answered requests.
	lastAnswer map[string]time.Time
	now        func() time.Time
}

func newWorkTimes(v *view, now func() time.Time) *workTimes {
	return &workTimes{view: v, books: make(map[string]*worktime.Book), lastAnswer: make(map[string]time.Time), now: now}
}

// begin forgets everything but what the former leader told.
func (w *workTimes) reset(told map[string]worktime.Estimate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.books, w.lastAnswer = make(map[string]*worktime.Book), make(map[string]time.Time)
	w.published = told
	for id, one := range told {
		slowness := max(one.Slowness, minSlowness)
		w.addLocked(id, worktime.Sum{
			Total: time.Duration(inheritedRuns * float64(one.Work) / slowness), Runs: inheritedRuns, Slowness: inheritedRuns * one.Slowness,
		})
	}
}

// note notes the runs that a report tells of.
func (w *workTimes) record(loads []*syncpb.Load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, l := range loads {
		runs := decodeRuns(l)
		w.addLocked(l.Instance, runs)
		if runs.Runs > 0 {
			w.lastAnswer[l.Instance] = w.now()
		}
	}
}

// answeredAt returns when it was last told that the upstream had answered requests; zero when
// it never was.
func (w *workTimes) lastAnsweredAt(id string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastAnswer[id]
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
func (w *workTimes) mean(service, id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book(service).Mean(id)
}

// forget drops what was seen of an upstream that has started again.
func (w *workTimes) forget(service, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book(service).Forget(id)
	delete(w.lastAnswer, id)
}

// all returns the estimates for all upstreams as of the last refresh. The map is not
// changed any more.
func (w *workTimes) estimates() map[string]worktime.Estimate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.published
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
	w.published = out
	maps.DeleteFunc(w.lastAnswer, func(id string, _ time.Time) bool { return known.Get(id) == nil })
}
