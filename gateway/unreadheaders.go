package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/state/unread"
)

// This file records which headers of upstreams' responses no code interprets. They are
// forwarded to callers like all others.

// unreadHeaders holds the uninterpreted headers that this gateway has seen. It is safe for
// concurrent use.
type unreadHeaders struct {
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu   sync.Mutex
	seen *unread.Counter
}

func newUnreadHeaders(now func() time.Time, log *slog.Logger, m *meters) *unreadHeaders {
	return &unreadHeaders{now: now, log: log, meters: m, seen: unread.NewCounter()}
}

// record counts the headers of a response that no code interprets.
func (u *unreadHeaders) record(g dispatch.Grant, h http.Header) {
	for name := range h {
		if !platform.IsKnownHeader(name) {
			u.recordOne(g, name)
		}
	}
}

func (u *unreadHeaders) recordOne(g dispatch.Grant, name string) {
	service, upstream := g.Instance.Service, g.Instance.ID
	u.meters.inc(u.meters.service(unreadResponseHeaders, service))
	u.mu.Lock()
	begins := u.seen.Record(u.now(), service, upstream, name)
	u.mu.Unlock()
	if begins {
		u.log.Warn("responses have a header that no code reads", "service", service, "header", name, "upstream", upstream)
	}
}

// list returns the headers seen so far.
func (u *unreadHeaders) list() []unread.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen.List()
}

// Unread implements placementpb.Placement. It returns what the gateway that is asked has seen
// itself.
func (p *placements) Unread(context.Context, *placementpb.UnreadRequest) (*placementpb.UnreadState, error) {
	out := &placementpb.UnreadState{}
	now := p.now()
	for _, h := range p.unread.list() {
		out.Headers = append(out.Headers, &placementpb.UnreadHeader{
			Service: h.Service, Name: h.Name, Upstream: h.Upstream, Answers: h.Responses,
			LastMs: uint64(now.Sub(h.Last).Milliseconds()), Sent: h.Active(now),
		})
	}
	return out, nil
}
