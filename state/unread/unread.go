// Package unread counts the response headers of upstreams that no code reads, so that an operator
// notices when an upstream starts to send something new. Values are not kept, because they may
// contain secrets of callers.
package unread

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxHeadersPerService bounds the number of headers kept for one service.
	maxHeadersPerService = 64
	// inactiveAfter is how long after its last response a header counts as no longer sent.
	inactiveAfter = 30 * time.Second
)

// Header is one header that no code reads.
type Header struct {
	Service, Name string
	// Upstream is the sender of the first response with the header since it last became active.
	Upstream string
	// Responses is the number of responses with the header.
	Responses uint64
	// First and Last are the times of the first and the last of them.
	First, Last time.Time
}

type key struct{ service, name string }

// Counter counts headers that no code reads. It is not safe for concurrent use.
type Counter struct {
	headers map[key]*Header
	// perService is the number of headers of each service.
	perService map[string]int
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{headers: make(map[key]*Header), perService: make(map[string]int)}
}

// Record counts one response with a header. It reports whether the service has started to send the
// header: for the first time, or again after a pause longer than inactiveAfter.
func (c *Counter) Record(now time.Time, service, upstream, name string) (started bool) {
	k := key{service, name}
	h := c.headers[k]
	if h == nil {
		if c.perService[service] >= maxHeadersPerService {
			return false
		}
		c.perService[service]++
		h = &Header{Service: service, Name: name, First: now}
		c.headers[k] = h
	}
	started = h.Responses == 0 || now.Sub(h.Last) > inactiveAfter
	if started {
		h.Upstream = upstream
	}
	h.Responses++
	h.Last = now
	return started
}

// Active reports whether the header is still being sent.
func (h Header) Active(now time.Time) bool { return now.Sub(h.Last) <= inactiveAfter }

// List returns all recorded headers, ordered by service and name.
func (c *Counter) List() []Header {
	out := make([]Header, 0, len(c.headers))
	for _, h := range c.headers {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(x, y Header) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Name, y.Name))
	})
	return out
}
