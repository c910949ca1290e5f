package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/transport/framing"
)

// endlessReader is a body without an end.
type endlessReader struct{}

func (endlessReader) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = 'x'
	}
	return len(data), nil
}

// TestPeerResponseWithoutEndIsNotRead guards against a response of another gateway that fills the memory.
func TestPeerResponseWithoutEndIsNotRead(t *testing.T) {
	t.Parallel()
	var written atomic.Int64
	closed := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(closed)
		w.Header().Set("Content-Type", "application/protobuf")
		block := bytes.Repeat([]byte("x"), 64<<10)
		for {
			n, err := w.Write(block)
			if written.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	messages := newPeerMessages(256 * megabyte)
	client := &http.Client{Transport: &progressTransport{base: framing.NewTransport(&http.Transport{}), messages: messages}}
	if _, err := syncpb.NewPeerProtobufClient(server.URL, client).Sync(t.Context(), &syncpb.SyncRequest{}); err == nil {
		t.Error("a response without an end was accepted")
	}
	<-closed
	// What the server could write and the client has not read is in the buffers of the kernel.
	if most := int64(maxPeerMessage + 32*megabyte); written.Load() > most {
		t.Errorf("%d bytes were sent, want at most %d", written.Load(), most)
	}
	if held := messages.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted after the end", held)
	}
}

// TestPeerRequestWithoutEndIsNotRead guards against the same in requests of other gateways.
func TestPeerRequestWithoutEndIsNotRead(t *testing.T) {
	t.Parallel()
	messages := newPeerMessages(256 * megabyte)
	var read int64
	handler := messages.limitRequests(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var err error
		if read, err = io.Copy(io.Discard, r.Body); err == nil {
			t.Error("a body without an end was accepted")
		}
	}))
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", endlessReader{}))
	if read > maxPeerMessage {
		t.Errorf("%d bytes were read, want at most %d", read, maxPeerMessage)
	}
	if held := messages.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted after the end", held)
	}
}

// TestSumOfPeerMessagesIsBounded guards against many messages that fill the memory together.
func TestSumOfPeerMessagesIsBounded(t *testing.T) {
	t.Parallel()
	const size = 64 << 10
	messages := newPeerMessages(10 * size * peerMessagesDivisor)
	var open []io.ReadCloser
	accepted := 0
	for range 20 {
		body := messages.receive(io.NopCloser(strings.NewReader(strings.Repeat("x", size))))
		open = append(open, body)
		if _, err := io.Copy(io.Discard, body); err == nil {
			accepted++
		}
	}
	if accepted != 10 {
		t.Errorf("%d messages were accepted, want 10", accepted)
	}
	for _, body := range open {
		_ = body.Close()
	}
	if held := messages.held.Load(); held != 0 {
		t.Errorf("%d bytes are counted after the end", held)
	}
}
