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
)

// instanceConfig is what the instances of a service have in common.
type instanceConfig struct {
	service string
	sharded bool
	slots   int
	queue   int
	// work is the mean time of a run.
	work time.Duration
	// idleClose is the time after which an idle connection is closed.
	idleClose time.Duration
}

// trouble is what an instance does wrong at the moment.
type trouble struct {
	// shed is the share of requests that are answered 503 with X-Not-Executed.
	shed float64
	// extra is the share of answers that are sent a second time, late: at the point where the next
	// response on the connection is expected.
	extra float64
	// flood is the share of answers in whose place bytes are sent that are no response, at floodRate
	// bytes a second until the connection ends.
	flood     float64
	floodRate float64
}

// instance is a stand-in for one instance of a service, as the users' pages describe it.
type instance struct {
	id, address, zone string
	conf              instanceConfig
	rec               *record
	listener          net.Listener
	slots             chan struct{}
	link              pacer

	mu      sync.Mutex
	trouble trouble
	waiting int
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

func startInstance(id, zone string, conf instanceConfig, rec *record) (*instance, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	i := &instance{id: id, address: l.Addr().String(), zone: zone, conf: conf, rec: rec, listener: l, slots: make(chan struct{}, conf.slots), running: make(map[int]int), conns: make(map[net.Conn]bool)}
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
func (i *instance) track(c net.Conn) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.crashed {
		_ = c.Close()
		return false
	}
	i.conns[c] = true
	return true
}

func (i *instance) untrack(c net.Conn) {
	_ = c.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
}

// crash ends the instance: it listens no more, and its connections end.
func (i *instance) crash() {
	_ = i.listener.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.crashed, i.leases = true, nil
	for c := range i.conns {
		_ = c.Close()
	}
}

func (i *instance) setTrouble(t trouble) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.trouble = t
}

func (i *instance) currentTrouble() trouble {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.trouble
}

// answer is one response.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func newAnswer(status int, headers ...string) *answer {
	a := &answer{status: status, header: make(http.Header)}
	for n := 0; n+1 < len(headers); n += 2 {
		a.header.Set(headers[n], headers[n+1])
	}
	return a
}

func (a *answer) encode(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if id != "" {
		a.header.Set("X-Request-Id", id)
	}
	a.header.Set("Keep-Alive", "timeout=10")
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	_ = a.header.Write(&b)
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// serve serves one connection, one request at a time.
func (i *instance) serve(c net.Conn) {
	defer i.untrack(c)
	r := bufio.NewReader(c)
	var extra []byte
	for {
		_ = c.SetReadDeadline(time.Now().Add(i.conf.idleClose))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if extra != nil {
			// The late second answer to the request before arrives where this one's is expected.
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		id := req.Header.Get("X-Request-Id")
		control := req.URL.Path == "/v1/grant" || req.URL.Path == "/v1/release" || req.URL.Path == "/health"
		var a *answer
		if control {
			a = i.control(req, body)
		} else {
			a = i.handle(req, id)
		}
		t := i.currentTrouble()
		if !control && t.flood > 0 && rand.Float64() < t.flood {
			i.rec.add("flood", "id", id, "instance", i.id)
			sent := i.flood(c, id, t.floodRate)
			i.rec.add("flood ended", "id", id, "instance", i.id, "bytes", strconv.Itoa(sent))
			return
		}
		data := a.encode(id)
		if _, err := c.Write(data); err != nil {
			return
		}
		if !control && t.extra > 0 && rand.Float64() < t.extra {
			i.rec.add("extra", "id", id, "instance", i.id, "status", strconv.Itoa(a.status))
			extra = data
		}
	}
}

// pacerSlack is how far a sender that woke up late may catch up.
const pacerSlack = 20 * time.Millisecond

// pacer spaces out bytes so that a link carries no more than its rate.
type pacer struct {
	mu   sync.Mutex
	free time.Time
}

// reserve returns when so many bytes have passed at the given rate.
func (p *pacer) reserve(n int, perSecond float64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if least := time.Now().Add(-pacerSlack); p.free.Before(least) {
		p.free = least
	}
	p.free = p.free.Add(time.Duration(float64(n) / perSecond * float64(time.Second)))
	return p.free
}

// flood sends bytes that are no response until the other end closes, over the links of the instance and of
// the gateway.
func (i *instance) flood(c net.Conn, id string, perSecond float64) int {
	chunk, sent := bytes.Repeat([]byte{'x'}, 64<<10), 0
	gateway := i.rec.linkTo(id)
	for {
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			return sent
		}
		at := i.link.reserve(n, perSecond)
		if other := gateway.reserve(n, perSecond); other.After(at) {
			at = other
		}
		if ahead := time.Until(at); ahead > time.Millisecond {
			time.Sleep(ahead)
		}
	}
}

// handle handles one request of a consumer.
func (i *instance) handle(req *http.Request, id string) *answer {
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != i.id {
		return newAnswer(http.StatusMisdirectedRequest, "X-Instance-Id", i.id, "X-Not-Executed", "1")
	}
	if id == "" {
		return newAnswer(http.StatusBadRequest, "X-Not-Executed", "1")
	}
	key := 0
	if i.conf.sharded {
		key, _ = strconv.Atoi(req.Header.Get("X-Shard-Key"))
	}
	if t := i.currentTrouble(); rand.Float64() < t.shed || !i.enter() {
		i.rec.add("shed", "id", id, "instance", i.id)
		return newAnswer(http.StatusServiceUnavailable, "X-Not-Executed", "1")
	}
	left, err := strconv.Atoi(req.Header.Get("X-Request-Deadline"))
	if err != nil {
		left = 4000
	}
	deadline := time.NewTimer(time.Duration(left) * time.Millisecond)
	defer deadline.Stop()
	select {
	case i.slots <- struct{}{}:
		i.leave()
		defer func() { <-i.slots }()
	case <-deadline.C:
		i.leave()
		return newAnswer(http.StatusServiceUnavailable, "X-Not-Executed", "1")
	}
	if !i.begin(key) {
		i.rec.add("not held", "id", id, "instance", i.id, "key", strconv.Itoa(key))
		return newAnswer(http.StatusMisdirectedRequest, "X-Not-Executed", "1")
	}
	defer i.end(key)
	i.rec.ran(req.Method, id, i.id)
	work := time.NewTimer(time.Duration(float64(i.conf.work) * (0.5 + rand.Float64())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		return newAnswer(http.StatusGatewayTimeout)
	}
	a := newAnswer(http.StatusOK, "X-Response-Signature", "sig-"+i.id+"-"+id, "Content-Type", "text/plain")
	a.body = []byte("run of " + id + " at " + i.id + "\n")
	return a
}

// enter takes a place among those that wait for a slot, if there is one.
func (i *instance) enter() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.waiting >= i.conf.queue {
		return false
	}
	i.waiting++
	return true
}

func (i *instance) leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiting--
}

func (i *instance) holdsLocked(key int) bool {
	if !i.conf.sharded {
		return true
	}
	now := time.Now()
	for _, l := range i.leases {
		if l.contains(key) && now.Before(l.until) {
			return true
		}
	}
	return false
}

func (i *instance) begin(key int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.holdsLocked(key) {
		return false
	}
	i.running[key]++
	return true
}

func (i *instance) end(key int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.running[key]--; i.running[key] == 0 {
		delete(i.running, key)
	}
	i.idle.Broadcast()
}

// control answers a grant, a release or a liveness check.
func (i *instance) control(req *http.Request, body []byte) *answer {
	if req.URL.Path == "/health" {
		return newAnswer(http.StatusOK, "X-Instance-Id", i.id)
	}
	if target := req.Header.Get("X-Target-Instance"); target != "" && target != i.id {
		return newAnswer(http.StatusMisdirectedRequest, "X-Instance-Id", i.id)
	}
	var call struct {
		From   int     `json:"from"`
		Target int     `json:"target"`
		Fence  uint64  `json:"fence"`
		Hold   float64 `json:"hold_s"`
	}
	if json.Unmarshal(body, &call) != nil {
		return newAnswer(http.StatusBadRequest)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	l := lease{from: call.From, target: call.Target, fence: call.Fence, until: time.Now().Add(time.Duration(call.Hold * float64(time.Second)))}
	if req.URL.Path == "/v1/release" {
		i.cut(l)
		i.fences = append(i.fences, l)
		for i.busy(l) {
			i.idle.Wait()
		}
		return newAnswer(http.StatusOK, "X-Handover", fmt.Sprintf("h-%s-%d", i.id, call.Fence))
	}
	for _, f := range i.fences {
		if f.from <= l.target && l.from <= f.target && f.fence > l.fence {
			return newAnswer(http.StatusConflict)
		}
	}
	i.cut(l)
	i.fences = append(i.fences, l)
	i.leases = append(i.leases, l)
	return newAnswer(http.StatusOK)
}

// busy reports whether requests run on the keys. The lock is held.
func (i *instance) busy(l lease) bool {
	for key := range i.running {
		if l.contains(key) {
			return true
		}
	}
	return false
}

// cut removes the keys from all leases, and fences on exactly these keys. The lock is held.
func (i *instance) cut(by lease) {
	var kept []lease
	for _, l := range i.leases {
		if l.target < by.from || by.target < l.from {
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
