package gateway

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxPeerMessage bounds one message of another gateway, in bytes. The largest is a response of the store that
	// another gateway relays.
	maxPeerMessage = maxResponseBody + megabyte
	// peerMessagesDivisor bounds the messages of other gateways that are being received, all together, to the
	// allowed memory divided by this number.
	peerMessagesDivisor = 8
)

// peerMessages bounds the bytes of the messages of other gateways that are being received. It is safe for
// concurrent use.
type peerMessages struct {
	limit int64
	held  atomic.Int64
}

func newPeerMessages(allowedMemory int64) *peerMessages {
	return &peerMessages{limit: allowedMemory / peerMessagesDivisor}
}

// receive returns a body that ends with an error when it or all of them together are too large. Its bytes count
// until it is closed.
func (p *peerMessages) receive(body io.ReadCloser) io.ReadCloser {
	return &peerMessage{ReadCloser: http.MaxBytesReader(nil, body, maxPeerMessage), all: p}
}

// limitRequests returns a handler whose requests have bodies within the bounds.
func (p *peerMessages) limitRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := p.receive(r.Body)
		// The server closes the body that it has made, not this one.
		defer func() { _ = body.Close() }()
		r.Body = body
		h.ServeHTTP(w, r)
	})
}

// peerMessage is the body of a message that is being received by one goroutine.
type peerMessage struct {
	io.ReadCloser
	all  *peerMessages
	held int64
}

// Read implements io.Reader.
func (m *peerMessage) Read(data []byte) (int, error) {
	n, err := m.ReadCloser.Read(data)
	m.held += int64(n)
	if m.all.held.Add(int64(n)) > m.all.limit {
		return n, fmt.Errorf("messages of other gateways that are being received exceed %d bytes", m.all.limit)
	}
	return n, err
}

// Close implements io.Closer.
func (m *peerMessage) Close() error {
	m.all.held.Add(-m.held)
	m.held = 0
	return m.ReadCloser.Close()
}
