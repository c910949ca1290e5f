package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// keyedInstance is a sound instance of a service that is divided by key, as PROTOCOL.md describes it.
type keyedInstance struct {
	id, address, service, zone string
	work                       time.Duration
	rec                        *record
	listener                   net.Listener
	slots                      chan struct{}

	mu      sync.Mutex
	leases  []lease
	fences  []lease
	running map[int]int
	idle    *sync.Cond
	conns   map[net.Conn]bool
	crashed bool
}

// lease is a range of keys that was granted, or a fence that was seen on it.
type lease struct {
	from, target int
	fence        uint64
	until        time.Time
}

func (l lease) contains(key int) bool { return l.from <= key && key <= l.target }

func (l lease) overlaps(other lease) bool { return l.from <= other.target && other.from <= l.target }

func startKeyedInstance(id, service, zone string, slots int, work time.Duration, rec *record) (*keyedInstance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &keyedInstance{
		id: id, address: l.Addr().String(), service: service, zone: zone, work: work, rec: rec, listener: l,
		slots: make(chan struct{}, slots), running: make(map[int]int), conns: make(map[net.Conn]bool),
	}
	i.idle = sync.NewCond(&i.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if i.track(c) {
				go i.serve(c)
			}
		}
	}()
	return i, nil
}

// track records a connection, or closes it if the instance has crashed.
func (i *keyedInstance) track(c net.Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.crashed {
		_ = c.Close()
		return false
	}
	i.conns[c] = true
	return true
}

func (i *keyedInstance) untrack(c net.Conn) {
	_ = c.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}

// crash ends the instance for good: it listens no more, and its connections end.
func (i *keyedInstance) crash() {
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.crashed, i.leases = true, nil
	for c := range i.conns {
		_ = c.Close()
	}
}

// response is one answer of an instance.
type response struct {
	status int
	header http.Header
	body   string
}

func newResponse(status int, headers ...string) *response {
	a := &response{status: status, header: make(http.Header)}
	for n := 0; n+1 < len(headers); n += 2 {
		a.header.Set(headers[n], headers[n+1])
	}
	return a
}

func (a *response) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if id != "" {
		a.header.Set(platform.RequestID, id)
	}
	a.header.Set("Keep-Alive", "timeout=10")
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	// A buffer does not fail.
	_ = a.header.Write(&b)
	b.WriteString("\r\n" + a.body)
	return b.Bytes()
}

// serve serves one connection, one request at a time.
func (i *keyedInstance) serve(c net.Conn) {
	defer i.untrack(c)
	r := bufio.NewReader(c)
	const idleClose = 10 * time.Second
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleClose))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		id := req.Header.Get(platform.RequestID)
		var a *response
		if req.URL.Path == platform.GrantPath || req.URL.Path == platform.ReleasePath {
			a = i.control(req, body)
		} else {
			a = i.handle(req, id)
		}
		if _, err := c.Write(a.encode(id)); err != nil {
			return
		}
	}
}

// handle handles one request of a consumer.
func (i *keyedInstance) handle(req *http.Request, id string) *response {
	if target := req.Header.Get(platform.TargetInstance); target != "" && target != i.id {
		return newResponse(http.StatusMisdirectedRequest, platform.NotExecuted, "1")
	}
	key, err := strconv.Atoi(req.Header.Get(platform.ShardKey))
	if id == "" || err != nil {
		return newResponse(http.StatusBadRequest, platform.NotExecuted, "1")
	}
	left, err := strconv.Atoi(req.Header.Get(platform.Deadline))
	if err != nil {
		return newResponse(http.StatusBadRequest, platform.NotExecuted, "1")
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	select {
	case i.slots <- struct{}{}:
		defer func() { <-i.slots }()
	case <-deadline.C:
		return newResponse(http.StatusServiceUnavailable, platform.NotExecuted, "1")
	}
	if !i.begin(key) {
		i.rec.printf("%s does not hold key %d of %s", i.id, key, id)
		return newResponse(http.StatusMisdirectedRequest, platform.NotExecuted, "1")
	}
	defer i.end(key)
	i.rec.printf("%s runs %s %s", i.id, req.Method, id)
	work := time.NewTimer(time.Duration(float64(i.work) * (0.5 + rand.Float64())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		return newResponse(http.StatusGatewayTimeout)
	}
	a := newResponse(http.StatusOK, platform.Signature, "sig-"+i.id+"-"+id)
	a.body = "run of " + id + " at " + i.id + "\n"
	return a
}

func (i *keyedInstance) begin(key int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	for _, l := range i.leases {
		if l.contains(key) && now.Before(l.until) {
			i.running[key]++
			return true
		}
	}
	return false
}

func (i *keyedInstance) end(key int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running[key]--; i.running[key] == 0 {
		delete(i.running, key)
	}
	i.idle.Broadcast()
}

// control answers a grant or a release.
func (i *keyedInstance) control(req *http.Request, body []byte) *response {
	if target := req.Header.Get(platform.TargetInstance); target != "" && target != i.id {
		return newResponse(http.StatusMisdirectedRequest)
	}
	var call platform.GrantRequest
	if json.Unmarshal(body, &call) != nil {
		return newResponse(http.StatusBadRequest)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	l := lease{from: int(call.From), target: int(call.Target), fence: call.Fence, until: time.Now().Add(time.Duration(call.Hold * float64(time.Second)))}
	if req.URL.Path == platform.ReleasePath {
		i.cut(l)
		i.fences = append(i.fences, l)
		for i.busy(l) {
			i.idle.Wait()
		}
		return newResponse(http.StatusOK, platform.Handover, fmt.Sprintf("h-%s-%d", i.id, call.Fence))
	}
	for _, f := range i.fences {
		if f.overlaps(l) && f.fence > l.fence {
			return newResponse(http.StatusConflict)
		}
	}
	i.cut(l)
	i.fences = append(i.fences, l)
	i.leases = append(i.leases, l)
	return newResponse(http.StatusOK)
}

// busy reports whether requests run on the keys. The lock is held.
func (i *keyedInstance) busy(l lease) bool {
	for key := range i.running {
		if l.contains(key) {
			return true
		}
	}
	return false
}

// cut removes the keys from all leases, and former fences on exactly these keys. The lock is held.
func (i *keyedInstance) cut(by lease) {
	var kept []lease
	for _, l := range i.leases {
		if !l.overlaps(by) {
			kept = append(kept, l)
			continue
		}
		if l.from < by.from {
			low := l
			low.target = by.from - 1
			kept = append(kept, low)
		}
		if l.target > by.target {
			high := l
			high.from = by.target + 1
			kept = append(kept, high)
		}
	}
	i.leases = kept
	var fences []lease
	for _, f := range i.fences {
		if f.from != by.from || f.target != by.target || f.fence > by.fence {
			fences = append(fences, f)
		}
	}
	i.fences = fences
}
