package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/detect"
	ctlmsg "github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/transport/upstreams"
)

// observations keep what this entry saw of each upstream of its cell.
type observations struct {
	mu   sync.Mutex
	byID map[string]*observed
}

// observed is the state of one upstream as this entry sees it.
type observed struct {
	boot string
	// clock is the upstream's clock of its last answer, received at.
	clock   int64
	at      time.Time
	since   time.Time
	refused bool
	leaving bool
	lost    bool
	// leaseUntil is when the longest lease given has certainly lapsed.
	leaseUntil time.Time
	asking     bool
}

func newObservations() *observations {
	return &observations{byID: make(map[string]*observed)}
}

func (o *observations) get(id string, now time.Time) *observed {
	s := o.byID[id]
	if s == nil {
		s = &observed{since: now}
		o.byID[id] = s
	}
	return s
}

// markLost stops renewals and reports whether the upstream was in use before.
func (o *observations) markLost(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.get(id, time.Now())
	was := !s.lost
	s.lost = true
	return was
}

func (o *observations) markUsed(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.get(id, time.Now()).lost = false
}

// lastSeen returns the time of the last answer of an upstream.
func (o *observations) lastSeen(id string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.byID[id]; s != nil {
		return s.at
	}
	return time.Time{}
}

// leases returns the time left of the leases given to lost upstreams.
func (o *observations) leases(now time.Time) []controller.LeaseLeft {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []controller.LeaseLeft
	for id, s := range o.byID {
		if left := s.leaseUntil.Sub(now); s.lost && left > 0 {
			out = append(out, controller.LeaseLeft{Upstream: id, Remaining: left})
		}
	}
	return out
}

// observation returns what is known of one upstream.
func (s *observed) observation(now time.Time) detect.Observation {
	silent := now.Sub(s.since)
	if !s.at.IsZero() {
		silent = now.Sub(s.at)
	}
	return detect.Observation{Boot: s.boot, Silent: silent, Refused: s.refused, Leaving: s.leaving}
}

// report returns the observations for a beat.
func (o *observations) report(now time.Time) []*peerpb.Observation {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*peerpb.Observation, 0, len(o.byID))
	for id, s := range o.byID {
		v := s.observation(now)
		out = append(out, &peerpb.Observation{
			Upstream: id, Boot: v.Boot, SilentMs: v.Silent.Milliseconds(), Refused: v.Refused, Leaving: v.Leaving,
		})
	}
	return out
}

// keep drops what is known of upstreams that left the cell.
func (o *observations) keep(doc *cell.Cell) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.byID {
		if doc.Upstream(id) == nil {
			delete(o.byID, id)
		}
	}
}

// renewLoop renews the leases of the upstreams of the cell. The same message
// shows whether they are alive.
func (e *Entry) renewLoop(ctx context.Context) {
	e.every(ctx, e.conf.RenewInterval.D(), func(ctx context.Context) {
		doc := e.gate.Doc()
		if doc == nil {
			return
		}
		e.watched.keep(doc)
		for _, u := range doc.Upstreams {
			if c := e.pool.Get(u.ID); c != nil {
				go e.renew(ctx, u, c)
			}
		}
		e.reportOwn()
	})
}

// reportOwn feeds this entry's observations to its own controller.
func (e *Entry) reportOwn() {
	now := e.clock()
	e.watched.mu.Lock()
	seen := make(map[string]detect.Observation, len(e.watched.byID))
	for id, s := range e.watched.byID {
		seen[id] = s.observation(now)
	}
	e.watched.mu.Unlock()
	e.control.note(func(core *controller.Core, now time.Time) {
		for id, o := range seen {
			core.OnObservation(now, e.self.ID, id, o)
		}
	})
}

func (e *Entry) renew(ctx context.Context, u cell.Upstream, c *upstreams.Upstream) {
	r, ok := e.renewal(u)
	if !ok {
		return
	}
	st, err := c.Renew(ctx, r)
	now := e.clock()
	e.watched.mu.Lock()
	defer e.watched.mu.Unlock()
	s := e.watched.get(u.ID, now)
	s.asking = false
	if err != nil {
		s.refused = upstreams.Refused(err)
		return
	}
	s.boot = st.Boot
	s.clock = st.ClockNanos
	s.at = now
	s.refused = false
	s.leaving = st.Leaving
}

// renewal prepares the next renewal. The lease ends before this entry's own
// right to send does, and is counted from the upstream's clock in its last
// answer, so that a renewal that is delivered late extends nothing. It returns
// false while the last one is not answered.
func (e *Entry) renewal(u cell.Upstream) (ctlmsg.Renewal, bool) {
	now := e.clock()
	right := e.gate.RightUntil()
	e.watched.mu.Lock()
	defer e.watched.mu.Unlock()
	s := e.watched.get(u.ID, now)
	if s.asking {
		return ctlmsg.Renewal{}, false
	}
	s.asking = true
	if s.lost || u.State == cell.Lost || u.Boot == "" || s.boot != u.Boot || !e.gate.MaySend() {
		return ctlmsg.Renewal{}, true
	}
	ttl := min(e.limits.LeaseTTL, right.Sub(s.at))
	ttl -= ttl * time.Duration(2*e.limits.Fence.DriftPercent) / 100
	if ttl <= 0 {
		return ctlmsg.Renewal{}, true
	}
	if until := s.at.Add(ttl); until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
	return ctlmsg.Renewal{Boot: u.Boot, UntilNanos: s.clock + int64(ttl)}, true
}
