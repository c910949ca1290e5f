package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/bytebudget"
	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/settings"
)

// heldBytesDivisor limits the bytes held for callers and upstreams to the allowed memory divided by this
// number. The rest is for connections, for what the garbage collector has not freed yet, and for control.
const heldBytesDivisor = 4

// bytesPerMegabit converts the rate of a link from Mbit/s.
const bytesPerMegabit = 1e6 / 8

const (
	// callerSocketBuffer bounds what the kernel holds for a caller each way, in bytes. Linux doubles it,
	// and 128 KB for each round trip of 6 ms are 170 Mbit/s. A response up to this size is written at once.
	callerSocketBuffer = 64 << 10
	// responseChunk is the part of a response that is written at a time, with a deadline of its own.
	responseChunk = 16 << 10
	// maxWriteStall is the time after which a caller that takes nothing of a response is given up. The
	// kernel reports free space once a third of the doubled buffer is free, which takes a reader of 1 KB/s
	// 43 s.
	maxWriteStall = 90 * time.Second
)

// limitSocketBuffers bounds the kernel's buffers of a caller's connection. It fails only on a connection
// that is closed already.
func limitSocketBuffers(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSocketBuffer)
		_ = tcp.SetReadBuffer(callerSocketBuffer)
	}
	return ctx
}

// writeBody writes the body of a response to a caller. It fails if the caller takes nothing for
// maxWriteStall.
func (f *proxy) writeBody(w http.ResponseWriter, body []byte) error {
	if len(body) <= callerSocketBuffer {
		_, err := w.Write(body)
		return err
	}
	control := http.NewResponseController(w)
	// The deadline of the connection does not depend on this gateway's clock, which a test may set.
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }()
	for part := range slices.Chunk(body, responseChunk) {
		if err := control.SetWriteDeadline(time.Now().Add(f.maxWriteStall)); err != nil {
			return err
		}
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// byteLimits returns the bounds of what a gateway with these settings holds.
func byteLimits(conf settings.Gateway) bytebudget.Limits {
	return bytebudget.Limits{
		Total: int64(conf.MemoryMB) * megabyte / heldBytesDivisor, Small: callerSocketBuffer,
		LinkRate: conf.LinkMbps * bytesPerMegabit,
	}
}

// tooManyBytes returns the error for a request that does not fit what this gateway may hold. The caller
// is asked to come back within a third of its time, as it does not wait longer.
func (f *proxy) tooManyBytes(q *request, refusal *bytebudget.Refusal) error {
	err := answer.New(answer.Overloaded, "too many bytes of requests and responses are held")
	err.RetryAfter = max(min(refusal.RetryAfter, q.deadline.Sub(f.now())/3), time.Millisecond)
	return err
}

// countedBody counts the bytes of a request's body as they are read.
type countedBody struct {
	io.Reader
	proxy *proxy
	q     *request
}

func (b countedBody) Read(data []byte) (int, error) {
	n, err := b.Reader.Read(data)
	if n > 0 {
		if refusal := b.q.held.AddBody(b.proxy.now(), int64(n)); refusal != nil {
			return 0, b.proxy.tooManyBytes(b.q, refusal)
		}
	}
	return n, err
}

// admission is the permission to send a request to an upstream, with the counted size of the response.
type admission struct {
	grant    dispatch.Grant
	response *bytebudget.Response
}

// expectResponse counts the response to a try, or returns the refusal as an error.
func (f *proxy) expectResponse(q *request) (*bytebudget.Response, error) {
	response, refusal := q.held.Expect(f.now(), q.route.Name, q.route.Objective)
	if refusal != nil {
		return nil, f.tooManyBytes(q, refusal)
	}
	return response, nil
}

// countReceived returns the function that counts the bytes of a response as they arrive, also as bytes
// that cross failure domains if the upstream is in another one.
func (f *proxy) countReceived(q *request, a admission) func(n int) {
	if a.grant.Instance.Domain == f.domain {
		return a.response.Received
	}
	kind := "pools"
	if q.service.Keyed {
		kind = "owners"
	}
	crossed := f.meters.counter(fillPattern(bytesCrossed, kind))
	return func(n int) {
		a.response.Received(n)
		crossed.Inc(int64(n))
	}
}
