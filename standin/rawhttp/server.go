package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// end tells what becomes of the connection after a response.
type end int

const (
	// drain closes the server's side, reads the rest of the request and closes the connection.
	drain end = iota
	// resetAfterEnd closes the server's side and resets the connection at once, holdAfterEnd after holdTime.
	resetAfterEnd
	holdAfterEnd
	// reset resets the connection.
	reset
)

const (
	// pause is the time between two parts of a response that has fewer than maxPaused.
	pause     = 3 * time.Millisecond
	maxPaused = 8
	// maxDrain bounds the time in which the rest of a request is read.
	maxDrain = 10 * time.Second
	// holdTime is how long a connection stays open on which nothing is read.
	holdTime = 100 * time.Millisecond
)

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
func (e end) apply(c *net.TCPConn, rest io.Reader) {
	if e != reset {
		_ = c.CloseWrite()
	}
	switch e {
	case drain:
		_ = c.SetReadDeadline(time.Now().Add(maxDrain))
		_, _ = io.Copy(io.Discard, rest)
		_ = c.Close()
		return
	case holdAfterEnd:
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
