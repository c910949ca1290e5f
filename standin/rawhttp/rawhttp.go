// Package rawhttp sends HTTP responses to clients byte by byte: whole ones in unusual forms, and broken ones, which
// servers in trouble send.
package rawhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// End tells what becomes of the connection after a response.
type End int

// The ends.
const (
	// Close closes the server's side, and the connection once the rest of the request has been read.
	Close End = iota
	// CloseThenReset closes the server's side and resets the connection at once, CloseThenHold after holdTime. The rest
	// of the request is not read.
	CloseThenReset
	CloseThenHold
	// Reset resets the connection.
	Reset
)

const (
	// pause is the time between two parts of a response.
	pause = 3 * time.Millisecond
	// maxDrain bounds the time in which the rest of a request is read.
	maxDrain = 10 * time.Second
	// holdTime is how long a connection stays open on which nothing is read.
	holdTime = 100 * time.Millisecond
	// maxPaused is the number of parts up to which there is a pause between them.
	maxPaused = 8
)

// Form is a form in which a response is sent, before the body of its request is read.
type Form struct {
	Name  string
	parts []string
	end   End
}

// ReachesWriter reports whether the form ends such that the error may be reported to the writer of the request, which
// takes a request that is still being written.
func (f Form) ReachesWriter() bool { return f.end != Close }

// half returns the first half of a body.
func half(body string) string { return body[:len(body)/2] }

// Broken returns forms of a response that is not whole. fields are header lines, each with its line end.
func Broken(fields, body string) []Form {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	whole := ok + length + body
	// inner is a whole response with another body.
	inner := ok + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(half(body)), half(body))
	innerAsBody := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner)
	forms := []Form{
		{"no length, half of the body, reset at once", []string{ok + "\r\n" + half(body)}, Reset},
		{"no length, half of the body, reset later", []string{ok + "\r\n", half(body), ""}, Reset},
		{"no length, no body, reset", []string{ok + "\r\n", ""}, Reset},
		{"status 000", []string{"HTTP/1.1 000 x\r\n" + fields + length + body}, Close},
		{"status 000, a response in its body", []string{"HTTP/1.1 000 x\r\n" + fields + innerAsBody}, Close},
		{"status 099, a response in its body", []string{"HTTP/1.1 099 x\r\n" + fields + innerAsBody}, Close},
		{"status 101, a response after it", []string{"HTTP/1.1 101 x\r\n" + fields + "\r\n" + inner}, Close},
		{"blank after a name, more bytes than the length", []string{"HTTP/1.1 200 OK\r\n" + fields + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(body)) + body + body}, Close},
		{"blank after the name of chunks", []string{ok + "Transfer-Encoding : chunked\r\n" + length + body}, Close},
		{"blank in a name", []string{ok + "X Name: 1\r\n" + length + body}, Close},
		{"blank in a name of an interim response", []string{"HTTP/1.1 103 Early Hints\r\nX Name: 1\r\n\r\n" + whole}, Close},
		{"status with a sign, a response in its body", []string{"HTTP/1.1 +20 x\r\n" + fields + innerAsBody}, Close},
	}
	return slices.Concat(forms, cutBodies(ok, length, body), controlBytes(ok, length+body), cutHeads(whole, len(ok+length)))
}

// chunked announces a body in chunks and ends the head.
const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// chunks returns a body in two chunks and the last one.
func chunks(body string) string {
	first, second := half(body), body[len(body)/2:]
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(first), first, len(second), second)
}

// cutBodies returns forms that end within a body with a length or in chunks, after the last chunk too.
func cutBodies(start, length, body string) []Form {
	whole := start + chunked + chunks(body)
	out := []Form{
		{"length, half of the body", []string{start + length + half(body)}, Close},
		{"length, half of the body, reset", []string{start + length + half(body), ""}, Reset},
		{"chunks, reset", []string{strings.TrimSuffix(whole, "0\r\n\r\n"), ""}, Reset},
	}
	for n := 1; n < len("\r\n0\r\n\r\n"); n++ {
		out = append(out, Form{fmt.Sprintf("chunks, cut %d bytes before their end", n), []string{whole[:len(whole)-n]}, Close})
	}
	return out
}

// controlBytes returns forms with a control byte in a header line.
func controlBytes(start, rest string) (out []Form) {
	for _, b := range []byte{0, 1, '\t', '\r', 0x7f} {
		out = append(out, Form{fmt.Sprintf("byte %#x in a name", b), []string{start + "X" + string(b) + "Name: 1\r\n" + rest}, Close})
	}
	for _, b := range []byte{0, 1, 0x7f} {
		out = append(out, Form{fmt.Sprintf("byte %#x in a value", b), []string{start + "X-Name: a" + string(b) + "b\r\n" + rest}, Close})
	}
	return out
}

// cutHeads returns forms that end within the head, which has the given length: in the status line, in header lines, after
// them, and in the empty line.
func cutHeads(whole string, headLength int) (out []Form) {
	const parts = 12
	for n := range parts {
		out = append(out, Form{fmt.Sprintf("cut after %d of %d parts of the head", n, parts), []string{whole[:headLength*n/parts]}, Close})
	}
	for n := 1; n <= len("\r\n"); n++ {
		out = append(out, Form{fmt.Sprintf("cut %d bytes before the end of the head", n), []string{whole[:headLength-n]}, Close})
	}
	return out
}

// ChunksInHTTP10 returns a form in which the body is sent in chunks by a version of HTTP that has none.
func ChunksInHTTP10(fields, body string) Form {
	return Form{"chunks in HTTP/1.0", []string{"HTTP/1.0 200 OK\r\n" + fields + chunked + chunks(body)}, Close}
}

// Whole returns forms of a response that is whole.
func Whole(fields, body string) []Form {
	ok := "HTTP/1.1 200 OK\r\n" + fields
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	return []Form{
		{"length", []string{ok + length + body}, Close},
		{"length, in pieces", slices.Collect(bytesOf(ok + length + body)), Close},
		{"no length", []string{ok + "\r\n" + body}, Close},
		{"no length, in pieces", []string{ok, "\r\n", half(body), body[len(body)/2:]}, Close},
		{"no length, reset after its end", []string{ok + "\r\n" + body}, CloseThenReset},
		{"no length, request is not read", []string{ok + "\r\n" + body}, CloseThenHold},
		{"HTTP/1.0, length", []string{"HTTP/1.0 200 OK\r\n" + fields + length + body}, Close},
		{"HTTP/1.0, no length", []string{"HTTP/1.0 200 OK\r\n" + fields + "\r\n" + body}, Close},
		{"chunks", []string{ok + chunked + chunks(body)}, Close},
		{"chunks, in pieces", slices.Collect(bytesOf(ok + chunked + chunks(body))), Close},
		{"chunks and a length", []string{ok + "Content-Length: 1\r\n" + chunked + chunks(body)}, Close},
		{"length twice", []string{ok + strings.TrimSuffix(length, "\r\n") + length + body}, Close},
		{"folded header line", []string{ok + "X-Name: a\r\n b\r\n" + length + body}, Close},
		{"interim response before", []string{"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", ok + length + body}, Close},
		{"interim response with a length before", []string{"HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n" + ok + length + body}, Close},
		{"ten interim responses before", []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 10) + ok + length + body}, Close},
	}
}

// bytesOf yields each byte of a string.
func bytesOf(s string) func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for i := range len(s) {
			if !yield(s[i : i+1]) {
				return
			}
		}
	}
}

// Send sends a response in this form, and ends the connection as the form says. rest is the part of the request that
// has not been read.
func (f Form) Send(c *net.TCPConn, rest io.Reader) {
	for i, part := range f.parts {
		if i > 0 && len(f.parts) < maxPaused {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c, part); err != nil {
			break
		}
	}
	f.end.apply(c, rest)
}

// apply ends a connection. Its errors mean that the client has ended it before.
func (e End) apply(c *net.TCPConn, rest io.Reader) {
	if e != Reset {
		_ = c.CloseWrite()
	}
	switch e {
	case Close:
		_ = c.SetReadDeadline(time.Now().Add(maxDrain))
		_, _ = io.Copy(io.Discard, rest)
		_ = c.Close()
		return
	case CloseThenHold:
		time.Sleep(holdTime)
	}
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Server sends the same form of a response to each request.
type Server struct {
	listener net.Listener
	all      sync.WaitGroup
}

// Serve starts a server on a free port of 127.0.0.1.
func Serve(f Form) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l}
	s.all.Go(func() { s.accept(f) })
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close stops the server and waits for its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.all.Wait()
}

func (s *Server) accept(f Form) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.all.Go(func() {
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				f.Send(c.(*net.TCPConn), r.Body)
			}
			_ = c.Close()
		})
	}
}
