package pool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/transport/framing"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes. Most responses are
	// smaller.
	readBufferSize = 2 << 10
	// maxMismatched bounds the responses to other requests that are skipped before the expected
	// one.
	maxMismatched = 2
	// firstBodySize is the memory in bytes that is allocated for a body before any of it has arrived. The length
	// that a response announces is not evidence that as many bytes follow, so the memory grows with what has
	// arrived: most bodies fit at once, and larger ones get twice what has arrived.
	firstBodySize = 64 << 10
	// firstUnknownBodySize is the same for a body of unknown length.
	firstUnknownBodySize = 4 << 10
	// bodyGrowth is the factor by which the memory of a body grows.
	bodyGrowth = 2
	// maxInlineBody is the body size in bytes up to which the request is written before the
	// response is read. A larger body is written concurrently, because the upstream may respond
	// before it has read the body.
	maxInlineBody = 8 << 10
)

// conn is one connection. It carries one request at a time.
type conn struct {
	*framing.Conn
	reader *bufio.Reader
	// opened is when the other end had accepted the connection.
	opened time.Time
	// idleSince is when the last response had been read.
	idleSince time.Time
	// announcedTimeout is the idle timeout announced by the server, or zero.
	announcedTimeout time.Duration
	// mismatched counts the responses to other requests.
	mismatched int
	// echoes is set once a response has carried the echo that its request asked for.
	echoes bool
	// responded is set once a byte has arrived in response to the current request.
	responded bool
	// headLeft is how much more may be read of the heads of responses while readingHead is set.
	headLeft    int64
	readingHead bool
	// bodyLeft is how much more may be read of the bodies of responses to the current request.
	bodyLeft int64
	// bound bounds the memory of all responses that are being read; nil if it is not bounded. memory is the part
	// of the response on this connection in bytes. overMemory is set once that response is ended because all
	// of them have too much. tracked is used by the goroutine that reads the response only.
	bound      *Memory
	memory     atomic.Int64
	overMemory atomic.Bool
	tracked    bool
	// onRead, if set, is called with the number of bytes of each read.
	onRead func(n int)
}

func newConn(nc net.Conn, opened time.Time) *conn {
	c := &conn{Conn: framing.NewConn(nc), opened: opened}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read implements net.Conn. All bytes of responses pass through it, whether they are buffered or
// not.
func (c *conn) Read(data []byte) (int, error) {
	if c.readingHead && c.headLeft <= 0 {
		return 0, ErrTooLarge
	}
	n, err := c.Conn.Read(data)
	if err != nil && c.overMemory.Load() {
		err = ErrTooLarge
	}
	if c.readingHead {
		c.headLeft -= int64(n)
		if tooMuch := c.bound.add(c, int64(n)); tooMuch != nil {
			err = tooMuch
		}
	}
	c.responded = c.responded || n > 0
	if n > 0 && c.onRead != nil {
		c.onRead(n)
	}
	return n, err
}

func (c *conn) close() {
	// The connection is discarded, so an error is of no use.
	_ = c.Close()
}

// isReusable reports whether the idle connection is still open and has no unread bytes.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// roundTrip sends the request and reads its response. reusable reports whether the connection may
// carry another request.
func (c *conn) roundTrip(ctx context.Context, r *Request, limits Limits) (resp *Response, reusable bool, err error) {
	c.onRead, c.responded, c.headLeft, c.bodyLeft = r.OnRead, false, limits.MaxHeadBytes, limits.MaxBodyBytes
	defer func() { c.onRead = nil }()
	defer func() {
		if c.bound.release(c) {
			reusable = false
		}
	}()
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past interrupts pending reads and writes.
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	defer func() {
		if !stop() {
			reusable = false
		}
	}()
	written := make(chan error, 1)
	head := r.encodeHead()
	if len(r.Body) <= maxInlineBody {
		n, err := c.Write(append(head, r.Body...))
		if err != nil {
			return nil, false, ioError(ctx, n > 0, err)
		}
		written <- nil
	} else {
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.Conn)
			written <- err
		}()
	}
	resp, reusable, err = c.readResponse(r)
	if err != nil {
		if errors.Is(err, ErrMismatchedResponse) {
			return nil, false, err
		}
		return nil, false, ioError(ctx, true, err)
	}
	select {
	case err := <-written:
		reusable = reusable && err == nil
	default:
		// The response arrived before the whole request was sent.
		reusable = false
	}
	return resp, reusable, nil
}

// encodeHead encodes the request line and the headers.
func (r *Request) encodeHead() []byte {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		if name == "Host" || name == "Content-Length" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads responses until one belongs to the request.
func (c *conn) readResponse(r *Request) (*Response, bool, error) {
	httpReq := &http.Request{Method: r.Method}
	for {
		httpResp, err := c.readHead(httpReq)
		if err != nil {
			return nil, false, err
		}
		if httpResp.StatusCode < http.StatusOK {
			continue
		}
		if !c.isResponseTo(r, httpResp.Header) {
			if err := c.skipBody(httpResp); err != nil {
				return nil, false, err
			}
			c.mismatched++
			if c.mismatched > maxMismatched || httpResp.Close {
				return nil, false, ErrMismatchedResponse
			}
			continue
		}
		if r.OnLength != nil && httpResp.ContentLength >= 0 && httpResp.ContentLength <= c.bodyLeft {
			r.OnLength(httpResp.ContentLength)
		}
		body, err := c.readBody(httpResp)
		if err != nil {
			return nil, false, err
		}
		c.announcedTimeout = keepAliveTimeout(httpResp.Header)
		reusable := !httpResp.Close && c.mismatched == 0 && c.reader.Buffered() == 0
		return &Response{Status: httpResp.StatusCode, Header: httpResp.Header, Body: body}, reusable, nil
	}
}

// readHead reads the status line and the headers of a response.
func (c *conn) readHead(r *http.Request) (*http.Response, error) {
	c.readingHead = true
	defer func() { c.readingHead = false }()
	var resp *http.Response
	var err error
	if c.startsWith10() {
		resp, err = c.readHead10(r)
	} else {
		resp, err = http.ReadResponse(c.reader, r)
	}
	if err != nil {
		return nil, err
	}
	return resp, framing.CheckHead(resp)
}

// isResponseTo reports whether a response with the given headers belongs to the request. A response with an echo
// belongs to a request that asked for it.
func (c *conn) isResponseTo(r *Request, h http.Header) bool {
	if r.EchoHeader == "" {
		return true
	}
	echo := h.Get(r.EchoHeader)
	if r.EchoValue == "" {
		return echo == ""
	}
	if echo == "" && r.EchoOptional && !c.echoes {
		return true
	}
	c.echoes = c.echoes || echo == r.EchoValue
	return echo == r.EchoValue
}

// skipBody reads the body of a response to another request without keeping it. It counts against MaxBodyBytes
// as well, as otherwise each request could be made to read several bodies.
func (c *conn) skipBody(httpResp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, c.bodyLeft+1))
	if c.bodyLeft -= n; c.bodyLeft < 0 {
		return ErrTooLarge
	}
	return err
}

// readBody reads the body of a response. Its memory grows with what has arrived.
func (c *conn) readBody(httpResp *http.Response) ([]byte, error) {
	length, first := httpResp.ContentLength, int64(firstBodySize)
	if length > c.bodyLeft {
		return nil, ErrTooLarge
	}
	if length < 0 {
		length, first = c.bodyLeft+1, firstUnknownBodySize
	}
	body, err := c.growBody(nil, min(first, length))
	if err != nil {
		return nil, err
	}
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			if body, err = c.growBody(body, min(bodyGrowth*int64(cap(body)), length)); err != nil {
				return nil, err
			}
		}
		n, err := httpResp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && (httpResp.ContentLength < 0 || int64(len(body)) == length):
			return body, nil
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	if httpResp.ContentLength < 0 {
		return nil, ErrTooLarge
	}
	return body, nil
}

// growBody returns the body with the given capacity, after its memory has been counted.
func (c *conn) growBody(body []byte, capacity int64) ([]byte, error) {
	if err := c.bound.add(c, capacity-int64(cap(body))); err != nil {
		return nil, err
	}
	grown := make([]byte, len(body), capacity)
	copy(grown, body)
	return grown, nil
}

// keepAliveTimeout returns the idle timeout announced in the Keep-Alive header, or zero.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
