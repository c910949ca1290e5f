package gateway

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/limits"
)

// This file records the request limits that upstreams announce: an overloaded upstream states in
// its responses how many requests a second it can take, and the gateways that receive this pass it
// on to the others.

// Sources of limits, as logged.
const (
	limitFromAnswer  = "answer"
	limitFromGateway = "gateway"
)

// namedLimits holds the upstreams' limits that this gateway knows of. It is safe for concurrent
// use.
type namedLimits struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	// onChange is called, without holding the lock, when a limit begins, changes or ends.
	onChange func()

	mu   sync.Mutex
	book *limits.Registry
}

func newNamedLimits(v *view, now func() time.Time, log *slog.Logger, m *meters) *namedLimits {
	return &namedLimits{view: v, now: now, log: log, meters: m, onChange: func() {}, book: limits.NewRegistry()}
}

// countSent counts a request that is sent to an upstream with a limit.
func (n *namedLimits) countSent(g dispatch.Grant) {
	if _, ok := n.limitOf(&g.Instance); ok {
		n.meters.inc(n.meters.service(limitedTries, g.Instance.Service))
	}
}

// limitOf returns the limit of an upstream in requests a second. ok is false if it has none.
func (n *namedLimits) limitOf(inst *instances.Instance) (perSecond float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.book.Empty() {
		return 0, false
	}
	return n.book.Get(inst.ID, inst.Incarnation())
}

// recordAnswer records the limit stated in an upstream's response to a try. An invalid value is
// counted and dropped.
func (n *namedLimits) recordAnswer(g dispatch.Grant, h http.Header) {
	perSecond, named, err := platform.DecodeLimit(h)
	switch {
	case err != nil:
		n.meters.inc(limitsInvalid)
	case named:
		n.record(limitFromAnswer, limits.Limit{
			Upstream: g.Instance.ID, Incarnation: g.Instance.Incarnation(), PerSecond: perSecond, ReceivedAt: n.now(),
		})
	case platform.HasSignature(h):
		// Only a genuine response of the upstream ends its limit: another server may refuse
		// requests at the upstream's former address.
		n.recordNoLimit(g)
	}
}

func (n *namedLimits) recordNoLimit(g dispatch.Grant) {
	n.mu.Lock()
	ended := !n.book.Empty() && n.book.RecordAbsent(g.Instance.ID, g.Instance.Incarnation(), g.GrantedAt, n.now())
	n.mu.Unlock()
	if ended {
		n.notifyChanged(limitFromAnswer, limits.Limit{Upstream: g.Instance.ID, Ended: true})
	}
}

// record adds limits that are newer than the known ones. from is the source, for the log.
func (n *namedLimits) record(from string, list ...limits.Limit) {
	var changed []limits.Limit
	n.mu.Lock()
	for _, l := range list {
		if n.book.Update(l) {
			changed = append(changed, l)
		}
	}
	n.mu.Unlock()
	if len(changed) > 0 {
		n.notifyChanged(from, changed...)
	}
}

// notifyChanged applies and logs changed limits.
func (n *namedLimits) notifyChanged(from string, list ...limits.Limit) {
	n.onChange()
	for _, l := range list {
		log := n.log.With("upstream", l.Upstream, "service", n.serviceOf(l.Upstream), "from", from)
		if l.Ended {
			log.Info("upstream limit ended")
			continue
		}
		log.Info("upstream announced a limit", "per_second", l.PerSecond)
	}
}

func (n *namedLimits) serviceOf(upstream string) string {
	if v := n.view.inst.Load(); v != nil && v.Get(upstream) != nil {
		return v.Get(upstream).Service
	}
	return ""
}

// list returns the known limits, including ended ones, and forgets outdated ones and those of
// unknown upstreams.
func (n *namedLimits) list() []limits.Limit {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.book.Empty() {
		return nil
	}
	if v := n.view.inst.Load(); v != nil {
		n.book.Prune(n.now(), func(upstream string) bool { return v.Get(upstream) != nil })
	}
	return n.book.List()
}

// updateGauges sets the gauges of how many upstreams of each service announce a limit.
func (n *namedLimits) updateGauges() {
	v := n.view.inst.Load()
	if v == nil {
		return
	}
	named := make(map[string]int)
	for _, l := range n.list() {
		if inst := v.Get(l.Upstream); inst != nil && !l.Ended {
			named[inst.Service]++
		}
	}
	for _, service := range v.Services() {
		n.meters.gauge(n.meters.service(limitsAnnounced, service), int64(named[service]))
	}
}
