// Package unread keeps which headers of upstreams' answers no code reads: an upstream that begins to
// say something new is to be noticed by an operator before it matters. Values are not kept: they
// may be callers' secrets.
package unread

import (
	"cmp"
	"slices"
	"time"
)

const (
	// mostHeaders bounds the headers that are kept of one service.
	maxHeadersPerService = 64
	// quietAfter is how long after the last answer with it a header counts as not sent any more.
	inactiveAfter = 30 * time.Second
)

// Header is one header that no code reads.
type Header struct {
	Service, Name string
	// Upstream sent the first answer with it since it was last quiet.
	Upstream string
	// Answers is how many bore it.
	Responses uint64
	// First and Last are when the first and the last of them came.
	First, Last time.Time
}

type key struct{ service, name string }

// Book counts headers that no code reads. It is not safe for concurrent use.
type Counter struct {
	headers map[key]*Header
	// names counts the headers of each service.
	perService map[string]int
}

// NewBook returns an empty book.
func NewCounter() *Counter {
	return &Counter{headers: make(map[key]*Header), perService: make(map[string]int)}
}

// Note counts one answer with a header and reports whether the service has begun to send it: never
// before, or not for a while.
func (b *Counter) Record(now time.Time, service, upstream, name string) (begins bool) {
	k := key{service, name}
	h := b.headers[k]
	if h == nil {
		if b.perService[service] >= maxHeadersPerService {
			return false
		}
		b.perService[service]++
		h = &Header{Service: service, Name: name, First: now}
		b.headers[k] = h
	}
	begins = h.Responses == 0 || now.Sub(h.Last) > inactiveAfter
	if begins {
		h.Upstream = upstream
	}
	h.Responses++
	h.Last = now
	return begins
}

// Sent reports whether a header still comes.
func (h Header) Active(now time.Time) bool { return now.Sub(h.Last) <= inactiveAfter }

// List returns all that were seen, by service and name.
func (b *Counter) List() []Header {
	out := make([]Header, 0, len(b.headers))
	for _, h := range b.headers {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(x, y Header) int {
		return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.Name, y.Name))
	})
	return out
}
