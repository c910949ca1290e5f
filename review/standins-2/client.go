package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

const host = "hulo84.example"

// upstream is a sound instance of a service without keys.
type upstream struct {
	id  string
	rec *record
	ran atomic.Int64
}

// ServeHTTP runs a request and returns a signed answer.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(platform.RequestID)
	w.Header().Set(platform.RequestID, id)
	if target := r.Header.Get(platform.TargetInstance); target != "" && target != u.id {
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.ran.Add(1)
	u.rec.printf("%s runs %s %s %s", u.id, r.Method, r.URL.Path, id)
	time.Sleep(10 * time.Millisecond)
	w.Header().Set(platform.Signature, "sig-"+id)
	// A caller that has left needs no answer.
	_, _ = io.WriteString(w, "done "+id)
}

// answered is the answer to a request.
type answered struct {
	status int
	signed bool
	err    error
}

// get sends a request without a body on a new connection to a gateway. headerBytes is the size of a header that it
// bears beside the usual ones, deadline how long the client waits.
func (d *deployment) get(g *gateway, path, id string, headerBytes int, deadline time.Duration) answered {
	var a answered
	a.status, a.signed, a.err = exchange(g.callers, path, id, headerBytes, deadline)
	d.rec.printf("client sends GET %s %s with %d bytes of headers to %s: status %d, signed %t, error %v", path, id, headerBytes, g.name, a.status, a.signed, a.err)
	return a
}

func exchange(address, path, id string, headerBytes int, deadline time.Duration) (status int, signed bool, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(deadline)); err != nil {
		return 0, false, err
	}
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n", path, host, id, deadline.Milliseconds())
	if headerBytes > 0 {
		head += "X-Note: " + strings.Repeat("n", headerBytes) + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, platform.HasSignature(resp.Header), err
}
