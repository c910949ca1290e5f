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

// This file shows which headers of upstreams' answers no code reads. They are handed on to callers
// like all others.

// unreadHeaders are those that this gateway has seen, for concurrent use.
type unreadHeaders struct {
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu   sync.Mutex
	book *unread.Counter
}

func newUnreadHeaders(now func() time.Time, log *slog.Logger, m *meters) *unreadHeaders {
	return &unreadHeaders{now: now, log: log, meters: m, book: unread.NewCounter()}
}

// note counts the headers of an answer that no code reads.
func (u *unreadHeaders) note(g dispatch.Grant, h http.Header) {
	for name := range h {
		if !platform.IsKnownHeader(name) {
			u.noteOne(g, name)
		}
	}
}

func (u *unreadHeaders) noteOne(g dispatch.Grant, name string) {
	service, upstream := g.Instance.Service, g.Instance.ID
	u.meters.inc(u.meters.service(answersUnread, service))
	u.mu.Lock()
	begins := u.book.Record(u.now(), service, upstream, name)
	u.mu.Unlock()
	if begins {
		u.log.Warn("answers bear a header that is not read", "service", service, "header", name, "upstream", upstream)
	}
}

// list returns what was seen.
func (u *unreadHeaders) list() []unread.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.book.List()
}

// Unread implements placementpb.Placement: what the gateway that is asked has seen itself.
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
