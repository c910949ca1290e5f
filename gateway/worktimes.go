package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/worktime"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file reports the run times of requests that gateways observe to the leader, and
// distributes its estimates of work times to all gateways.

// inheritedRuns is the number of runs for which the estimate of a former leader counts in the
// book of the next one.
const inheritedRuns = 10

// minSlowness avoids a division by zero, so that estimates stay finite.
const minSlowness = 0.01

// addRuns adds the runs of a child's report to those for this gateway's next report.
func (c *cluster) addRuns(loads []*syncpb.Load) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range loads {
		if runs := decodeRuns(l); runs.Runs > 0 {
			c.runs[l.Instance] = c.runs[l.Instance].Add(runs)
		}
	}
}

// takeRuns returns the runs collected for the next report and clears them.
func (c *cluster) takeRuns() map[string]worktime.Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.runs
	c.runs = make(map[string]worktime.Sum)
	return out
}

// workTimesFromParent returns the mean run times received from the parent, by upstream. The map must
// not be changed.
func (c *cluster) workTimesFromParent() map[string]worktime.Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parentWorkTimes
}

// mergeRuns returns the loads with the runs added to them.
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

// encodeRuns writes runs to a load message.
func encodeRuns(l *syncpb.Load, sum worktime.Sum) {
	l.Runs, l.WorkUs = float32(sum.Runs), uint32(sum.Mean().Microseconds())
	if slowness := sum.MeanSlowness(); slowness != 1 {
		l.Slowness = float32(slowness)
	}
}

// decodeRuns returns the runs in a load message.
func decodeRuns(l *syncpb.Load) worktime.Sum {
	work := time.Duration(l.WorkUs) * time.Microsecond
	runs, slowness := float64(l.Runs), float64(l.Slowness)
	if slowness == 0 {
		slowness = 1
	}
	return worktime.Sum{Total: time.Duration(runs * float64(work)), Runs: runs, Slowness: runs * slowness}
}

// workTimes holds the leader's estimates for all services. It is safe for concurrent use.
type workTimes struct {
	view *view

	mu    sync.Mutex
	books map[string]*worktime.Estimator
	// published are the estimates sent to gateways; the map is replaced, never changed in place.
	published map[string]worktime.Estimate
	// lastAnswer is when a gateway last reported that an upstream had answered requests.
	lastAnswer map[string]time.Time
	now        func() time.Time
}

func newWorkTimes(v *view, now func() time.Time) *workTimes {
	return &workTimes{view: v, books: make(map[string]*worktime.Estimator), lastAnswer: make(map[string]time.Time), now: now}
}

// reset starts a new leader's term: it forgets everything except the estimates of the former
// leader.
func (w *workTimes) reset(former map[string]worktime.Estimate) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.books, w.lastAnswer = make(map[string]*worktime.Estimator), make(map[string]time.Time)
	w.published = former
	for id, estimate := range former {
		slowness := max(estimate.Slowness, minSlowness)
		w.addLocked(id, worktime.Sum{
			Total: time.Duration(inheritedRuns * float64(estimate.Work) / slowness), Runs: inheritedRuns, Slowness: inheritedRuns * estimate.Slowness,
		})
	}
}

// record adds the runs of a report.
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

// lastAnsweredAt returns when a gateway last reported that the upstream had answered requests, or
// the zero time.
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
	if inst := known.Get(id); inst != nil {
		w.book(inst.Service).Add(id, runs)
	}
}

// book returns the book of a service. The lock is held.
func (w *workTimes) book(service string) *worktime.Estimator {
	b := w.books[service]
	if b == nil {
		b = worktime.NewEstimator()
		w.books[service] = b
	}
	return b
}

// mean returns the estimated work time of an upstream of the service, or zero while no run is
// known.
func (w *workTimes) mean(service, id string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.book(service).Mean(id)
}

// forget drops the runs of an upstream that has restarted.
func (w *workTimes) forget(service, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.book(service).Remove(id)
	delete(w.lastAnswer, id)
}

// estimates returns the estimates for all upstreams as of the last refresh. The map must not be
// changed.
func (w *workTimes) estimates() map[string]worktime.Estimate {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.published
}

// refresh recomputes the published estimates. It is called once per report interval: within one,
// a leader answers hundreds of reports, each with the estimates of a thousand upstreams.
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
		b.Retain(func(id string) bool { return known.Get(id) != nil })
		for _, inst := range known.Service(service) {
			if estimate := b.Estimate(inst.ID); estimate.Work > 0 {
				out[inst.ID] = estimate
			}
		}
	}
	w.published = out
	maps.DeleteFunc(w.lastAnswer, func(id string, _ time.Time) bool { return known.Get(id) == nil })
}
