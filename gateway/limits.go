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

// This file takes over the limits that upstreams in need name with their answers, here or at
// other gateways.

// Who has told of a limit, in the log.
const (
	limitFromAnswer  = "answer"
	limitFromGateway = "gateway"
)

// namedLimits is what this gateway knows of limits that upstreams name, for concurrent use.
type namedLimits struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	// onChange is called, without a lock, when a limit begins, changes or ends.
	onChange func()

	mu   sync.Mutex
	book *limits.Book
}

func newNamedLimits(v *view, now func() time.Time, log *slog.Logger, m *meters) *namedLimits {
	return &namedLimits{view: v, now: now, log: log, meters: m, onChange: func() {}, book: limits.NewBook()}
}

// sent counts a request that is sent to an upstream which names a limit.
func (n *namedLimits) sent(g dispatch.Grant) {
	if _, ok := n.of(&g.Instance); ok {
		n.meters.inc(n.meters.service(limitedTries, g.Instance.Service))
	}
}

// of returns the limit of an upstream in requests a second; ok is false when it names none.
func (n *namedLimits) of(one *instances.Instance) (perSecond float64, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.book.Empty() {
		return 0, false
	}
	return n.book.Of(one.ID, one.Incarnation())
}

// answered takes over what an upstream's answer to a try says of its limit. What cannot be is
// counted and dropped.
func (n *namedLimits) answered(g dispatch.Grant, h http.Header) {
	perSecond, named, err := platform.DecodeLimit(h)
	switch {
	case err != nil:
		n.meters.inc(limitsUnsound)
	case named:
		n.note(limitFromAnswer, limits.Limit{
			Upstream: g.Instance.ID, Incarnation: g.Instance.Incarnation(), PerSecond: perSecond, At: n.now(),
		})
	case platform.Genuine(h):
		// Only an upstream's own answer ends its limit: at a former address another may refuse.
		n.unnamed(g)
	}
}

func (n *namedLimits) unnamed(g dispatch.Grant) {
	n.mu.Lock()
	ended := !n.book.Empty() && n.book.Unnamed(g.Instance.ID, g.Instance.Incarnation(), g.GrantedAt, n.now())
	n.mu.Unlock()
	if ended {
		n.changed(limitFromAnswer, limits.Limit{Upstream: g.Instance.ID, Ended: true})
	}
}

// note takes over limits that are newer than what is known. from tells in the log who said them.
func (n *namedLimits) note(from string, list ...limits.Limit) {
	var changed []limits.Limit
	n.mu.Lock()
	for _, l := range list {
		if n.book.Note(l) {
			changed = append(changed, l)
		}
	}
	n.mu.Unlock()
	if len(changed) > 0 {
		n.changed(from, changed...)
	}
}

// changed logs what has changed, and lets it take effect.
func (n *namedLimits) changed(from string, list ...limits.Limit) {
	n.onChange()
	for _, l := range list {
		log := n.log.With("upstream", l.Upstream, "service", n.serviceOf(l.Upstream), "from", from)
		if l.Ended {
			log.Info("upstream names no limit any more")
			continue
		}
		log.Info("upstream names its limit", "per_second", l.PerSecond)
	}
}

func (n *namedLimits) serviceOf(upstream string) string {
	if v := n.view.inst.Load(); v != nil && v.Get(upstream) != nil {
		return v.Get(upstream).Service
	}
	return ""
}

// list returns what is known, ends of limits among it, without what is of no use any more.
func (n *namedLimits) list() []limits.Limit {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.book.Empty() {
		return nil
	}
	if v := n.view.inst.Load(); v != nil {
		n.book.Forget(n.now(), func(upstream string) bool { return v.Get(upstream) != nil })
	}
	return n.book.List()
}

// gauges tells how many upstreams of each service name a limit.
func (n *namedLimits) gauges() {
	v := n.view.inst.Load()
	if v == nil {
		return
	}
	named := make(map[string]int)
	for _, l := range n.list() {
		if one := v.Get(l.Upstream); one != nil && !l.Ended {
			named[one.Service]++
		}
	}
	for _, service := range v.Services() {
		n.meters.gauge(n.meters.service(limitsAnnounced, service), int64(named[service]))
	}
}
