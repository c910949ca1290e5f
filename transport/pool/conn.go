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
	// readBufferSize is the size of a connection's read buffer in bytes; answers
	// are mostly smaller.
	readBufferSize = 2 << 10
	// maxMismatched bounds the answers to other requests that are passed over
	// before the one waited for.
	maxMismatched = 2
	// maxInlineBody is the body size in bytes up to which request and body are
	// written before the answer is read. Larger ones are written beside, as
	// an upstream may answer before it has read them.
	maxInlineBody = 8 << 10
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer had been read.
	idleSince time.Time
	// announced is the idle timeout that the other side has named, or zero.
	announcedTimeout time.Duration
	// foreign counts answers to other requests.
	mismatched int
	// arrived, if set, is told of the bytes that are read.
	onRead func(n int)
}

func newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Read reads what has arrived. All reading of answers comes by here, by way of the
// buffer or past it.
func (c *conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && c.onRead != nil {
		c.onRead(n)
	}
	return n, err
}

func (c *conn) close() {
	// The connection is given up; its error would say no more.
	_ = c.Close()
}

// reset ends the connection such that bytes on their way are lost.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		// Without this option the close is a plain one, which is safe too.
		_ = tcp.SetLinger(0)
	}
	c.close()
}

// quiet reports whether the idle connection is open and has no unread bytes.
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

// exchange sends the request and reads its answer. reusable says that the
// connection may carry another request.
func (c *conn) roundTrip(ctx context.Context, r *Request, maxBody int64) (resp *Response, reusable bool, err error) {
	c.onRead = r.OnRead
	defer func() { c.onRead = nil }()
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past ends reads and writes under way.
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
	resp, reusable, err = c.readResponse(r, maxBody)
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
		// Answered before the whole request was sent.
		reusable = false
	}
	return resp, reusable, nil
}

// head builds the request line and headers.
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

// read reads answers until the one that belongs to the request.
func (c *conn) readResponse(r *Request, maxBody int64) (*Response, bool, error) {
	httpReq := &http.Request{Method: r.Method}
	for {
		httpResp, err := http.ReadResponse(c.reader, httpReq)
		if err != nil {
			return nil, false, err
		}
		if httpResp.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(httpResp, maxBody)
		if err != nil {
			return nil, false, err
		}
		if r.EchoValue != "" && httpResp.Header.Get(r.EchoHeader) != r.EchoValue {
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

// keepAlive returns the idle timeout that an answer announces, or zero.
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
