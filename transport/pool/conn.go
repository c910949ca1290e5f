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
	"syscall"
	"time"
)

const (
	// readBufferSize is the size of a connection's read buffer in bytes. Most responses are
	// smaller.
	readBufferSize = 2 << 10
	// maxMismatched bounds the responses to other requests that are skipped before the expected
	// one.
	maxMismatched = 2
	// maxInlineBody is the body size in bytes up to which the request is written before the
	// response is read. A larger body is written concurrently, because the upstream may respond
	// before it has read the body.
	maxInlineBody = 8 << 10
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
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
	// onRead, if set, is called with the number of bytes of each read.
	onRead func(n int)
}

func newConn(nc net.Conn, opened time.Time) *conn {
	c := &conn{Conn: nc, opened: opened}
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
	if c.readingHead {
		c.headLeft -= int64(n)
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

// reset closes the connection with a TCP reset, which discards unsent and unread bytes.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// If the option cannot be set, the connection is closed normally, which is safe too.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// isReusable reports whether the idle connection is still open and has no unread bytes.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
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
	c.onRead, c.responded, c.headLeft = r.OnRead, false, limits.MaxHeadBytes
	defer func() { c.onRead = nil }()
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
	resp, reusable, err = c.readResponse(r, limits.MaxBodyBytes)
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
func (c *conn) readResponse(r *Request, maxBody int64) (*Response, bool, error) {
	httpReq := &http.Request{Method: r.Method}
	for {
		httpResp, err := c.readHead(httpReq)
		if err != nil {
			return nil, false, err
		}
		if httpResp.StatusCode < http.StatusOK {
			continue
		}
		if r.OnLength != nil && httpResp.ContentLength >= 0 && httpResp.ContentLength <= maxBody {
			r.OnLength(httpResp.ContentLength)
		}
		body, err := readBody(httpResp, maxBody)
		if err != nil {
			return nil, false, err
		}
		if !c.isResponseTo(r, httpResp.Header) {
			c.mismatched++
			if c.mismatched > maxMismatched || httpResp.Close {
				return nil, false, ErrMismatchedResponse
			}
			continue
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
	return http.ReadResponse(c.reader, r)
}

// isResponseTo reports whether a response with the given headers belongs to the request.
func (c *conn) isResponseTo(r *Request, h http.Header) bool {
	if r.EchoValue == "" {
		return true
	}
	echo := h.Get(r.EchoHeader)
	if echo == "" && r.EchoOptional && !c.echoes {
		return true
	}
	c.echoes = c.echoes || echo == r.EchoValue
	return echo == r.EchoValue
}

func readBody(httpResp *http.Response, maxBody int64) ([]byte, error) {
	if httpResp.ContentLength > maxBody {
		return nil, ErrTooLarge
	}
	if httpResp.ContentLength >= 0 {
		body := make([]byte, httpResp.ContentLength)
		_, err := io.ReadFull(httpResp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxBody+1))
	if err == nil && int64(len(body)) > maxBody {
		return nil, ErrTooLarge
	}
	return body, err
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
