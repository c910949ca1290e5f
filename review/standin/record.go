package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps what the rules are judged by.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs map[string][]string
	// answers are the final statuses that consumers got, by request; 0 is a connection that ended.
	answers map[string]int
	// unsafe are the requests that may run once at most.
	unsafe map[string]bool
	// gateways are the gateways that requests were sent to, links those gateways' links.
	gateways map[string]string
	links    map[string]*pacer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string][]string), answers: make(map[string]int), unsafe: make(map[string]bool), gateways: make(map[string]string), links: make(map[string]*pacer)}, nil
}

// add writes one line: what, and pairs of a name and a value.
func (r *record) add(what string, pairs ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addLocked(what, pairs...)
}

func (r *record) addLocked(what string, pairs ...string) {
	_, _ = fmt.Fprintf(r.out, "%9.3f %s", time.Since(r.began).Seconds(), what)
	for n := 0; n+1 < len(pairs); n += 2 {
		_, _ = fmt.Fprintf(r.out, " %s=%s", pairs[n], pairs[n+1])
	}
	_, _ = fmt.Fprintln(r.out)
}

func (r *record) sent(id, kind, gateway string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsafe[id] = kind == "unsafe"
	r.gateways[id] = gateway
	r.addLocked("sent", "id", id, "kind", kind, "gateway", gateway)
}

func (r *record) answered(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = status
	r.addLocked("answered", "id", id, "status", fmt.Sprint(status))
}

func (r *record) ran(method, id, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], instance)
	r.addLocked("ran", "id", id, "instance", instance, "method", method)
}

// verdict is what the record shows of the rules on requests that may run once.
type verdict struct {
	sent, ok, refused, failed, closed int
	twice, refusedAndRan              []string
}

// promises are the statuses by which a request has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

func (r *record) verdict() verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	var v verdict
	for id, unsafe := range r.unsafe {
		status := r.answers[id]
		v.sent++
		switch {
		case status == 0:
			v.closed++
		case status < 300:
			v.ok++
		case promises[status]:
			v.refused++
		default:
			v.failed++
		}
		if !unsafe {
			continue
		}
		if len(r.runs[id]) > 1 {
			v.twice = append(v.twice, id)
		}
		if promises[status] && len(r.runs[id]) > 0 {
			v.refusedAndRan = append(v.refusedAndRan, id)
		}
	}
	return v
}

// linkTo returns the link of the gateway that a request was sent to.
func (r *record) linkTo(id string) *pacer {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := r.gateways[id]
	if r.links[name] == nil {
		r.links[name] = &pacer{}
	}
	return r.links[name]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
