package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// attempt is one attempt of a consumer, on a new connection.
type attempt struct {
	method, host, path, kind string
	key                      int
	deadline                 time.Duration
	body                     []byte
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes the attempt and returns the status, 0 if the connection ended or the consumer gave up, and
// the time after which the consumer is asked to come back.
func (a attempt) send(rec *record, g *gateway) (status int, retryAfter time.Duration) {
	id := newID()
	rec.sent(id, a.kind, g.name)
	status, retryAfter = a.exchange(id, g.callers)
	rec.answered(id, status)
	return status, retryAfter
}

func (a attempt) exchange(id, address string) (int, time.Duration) {
	c, err := dialGateway(address)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	resp, err := a.exchangeOn(c, id)
	if err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// clientConn is a connection of a consumer.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialGateway(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// exchangeOn sends the request on a connection and returns the response, of which it has read the body.
func (a attempt) exchangeOn(c *clientConn, id string) (*http.Response, error) {
	// A consumer that leaves at its time limit closes its connection; a little is left for the way.
	if err := c.SetDeadline(time.Now().Add(a.deadline + 500*time.Millisecond)); err != nil {
		return nil, err
	}
	head := a.method + " " + a.path + " HTTP/1.1\r\nHost: " + a.host + "\r\nX-Request-Id: " + id +
		"\r\nX-Request-Deadline: " + strconv.FormatInt(a.deadline.Milliseconds(), 10) +
		"\r\nX-Shard-Key: " + strconv.Itoa(a.key) + "\r\n"
	if len(a.body) > 0 {
		head += "Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n"
	}
	if _, err := c.Write(append([]byte(head+"\r\n"), a.body...)); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: a.method})
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp, err
}

// consumeKept is a consumer that keeps its connection and makes requests at a mean rate until a time.
func consumeKept(rec *record, gateways []*gateway, until time.Time, perSecond float64, a attempt) {
	var c *clientConn
	var g *gateway
	prefix := a.path
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		if c == nil {
			var err error
			g = gateways[rand.IntN(len(gateways))]
			if c, err = dialGateway(g.callers); err != nil {
				c = nil
				continue
			}
		}
		id := newID()
		a.path, a.key = prefix+id, rand.IntN(65536)
		rec.sent(id, a.kind, g.name)
		resp, err := a.exchangeOn(c, id)
		if err == nil {
			rec.answered(id, resp.StatusCode)
			if !resp.Close {
				continue
			}
		} else {
			rec.answered(id, 0)
		}
		_ = c.Close()
		c = nil
	}
}
