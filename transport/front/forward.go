package front

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"go.opentelemetry.io/otel/trace"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/state/cell"
)

// forwardToCell forwards a request to an entry of the cell that has authority over the key.
func (p *Proxy) forwardToCell(ctx context.Context, r *http.Request, q *request, name string, h http.Header) (*response, error) {
	roster := p.docs.Roster(name)
	if roster == nil || len(roster.Members) == 0 {
		return nil, answer.New(answer.NoOwner, "no entry of cell %s is known", name)
	}
	return p.forward(ctx, r, q, roster.Members, h)
}

// forwardToSibling forwards a request to another entry of the same cell. It returns fallbackErr if
// there is none or the request was already forwarded.
func (p *Proxy) forwardToSibling(ctx context.Context, r *http.Request, q *request, h http.Header, fallbackErr error) (*response, error) {
	roster := p.docs.Roster(p.self.Cell)
	if roster == nil || q.hops > 0 {
		return nil, fallbackErr
	}
	var siblings []cell.Member
	for _, m := range roster.Members {
		if m.ID != p.self.ID && m.Peer != p.self.Peer {
			siblings = append(siblings, m)
		}
	}
	if len(siblings) == 0 {
		return nil, fallbackErr
	}
	return p.forward(ctx, r, q, siblings, h)
}

// pickMember returns a random entry, if possible one that has not failed recently.
func (p *Proxy) pickMember(members []cell.Member) cell.Member {
	p.mu.Lock()
	start := p.rng.IntN(len(members))
	p.mu.Unlock()
	for i := range members {
		m := members[(start+i)%len(members)]
		if p.peers.Healthy(m.Peer) {
			return m
		}
	}
	return members[start]
}

func (p *Proxy) forward(ctx context.Context, r *http.Request, q *request, members []cell.Member, h http.Header) (*response, error) {
	if q.hops >= maxHops {
		return nil, answer.New(answer.WrongCell, "the request passed %d entries already", q.hops)
	}
	m := p.pickMember(members)
	ctx, span := p.tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient))
	gotConn := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn = true },
	})
	out := p.newOutgoingRequest(traced, r, q, p.peers.ForwardURL(m.Peer, "/"+q.service.Name+requestURI(q.path, r)))
	out.Header.Set(header.Hops, strconv.Itoa(q.hops+1))
	out.Header.Set(header.Importance, importanceName(q.importance))
	resp, err := p.peers.ForwardTransport().RoundTrip(out)
	if err != nil {
		span.End()
		p.peers.MarkFailed(m.Peer)
		return nil, p.forwardError(ctx, m, gotConn, err)
	}
	if kind := answer.Kind(resp.Header.Get(header.Kind)); kind.Valid() {
		span.End()
		if err := readRefusal(resp); err != nil {
			return nil, p.forwardError(ctx, m, true, err)
		}
		return nil, p.relayedError(resp, kind, h)
	}
	return &response{Response: resp, done: func() {
		_ = resp.Body.Close()
		span.End()
	}}, nil
}

func (p *Proxy) forwardError(ctx context.Context, m cell.Member, gotConn bool, err error) error {
	if ctx.Err() != nil {
		return p.contextError(ctx, gotConn)
	}
	if gotConn {
		return answer.New(answer.Broken, "the connection to entry %s broke: %v", m.ID, err)
	}
	return answer.New(answer.Unreachable, "entry %s cannot be reached: %v", m.ID, err)
}

// relayedError returns the error of another entry as an error of the same kind, so that this entry
// decides whether to retry.
func (p *Proxy) relayedError(resp *http.Response, kind answer.Kind, h http.Header) error {
	if epoch := resp.Header.Get(header.Epoch); epoch != "" {
		h.Set(header.Epoch, epoch)
	}
	return answer.New(kind, "by entry at %s", resp.Request.URL.Host)
}
