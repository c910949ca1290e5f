package instance

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/rawhttp"
)

// This file refuses a part of the requests, sends copies of responses late, and sends responses without an end or in
// other forms, as the platform's instances may.

// ResponseFaults make an instance refuse some requests, send some responses a second time, and others without an end.
// Other requests are handled as usual.
type ResponseFaults struct {
	// Refused is the share of requests that are rejected as not executed.
	Refused float64
	// Copied is the share of responses to requests that are sent again, once the next request has arrived and
	// before the response to it.
	Copied float64
	// AnyConnection sends a copy on whichever connection the next request arrives. Otherwise it is sent on the
	// connection of the first one.
	AnyConnection bool
	// Endless is the share of requests that are executed and then get bytes without an end in place of a response.
	Endless float64
	// Raw is the share of requests that are executed before their body has been read, and whose response is sent in one of
	// RawForms. Unless it is zero, that happens to all requests with a body of LongBody, in the forms that reach the writer
	// of the request if there are any.
	Raw float64
	// RawForms returns the forms of a response with the given header lines and body.
	RawForms func(fields, body string) []rawhttp.Form
	// Seed is the seed of the random choices.
	Seed uint64
}

// responseFaults is the state of ResponseFaults. The zero value refuses and copies nothing.
type responseFaults struct {
	ResponseFaults
	rng *rand.Rand
	// copies are encoded responses to be sent again, by the address of the caller's end of the connection, or
	// under anyConnection.
	copies map[string][]byte
}

const anyConnection = ""

// SetResponseFaults begins faults of responses, or ends them if f is the zero value.
func (i *Instance) SetResponseFaults(f ResponseFaults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.responseFaults = responseFaults{ResponseFaults: f, rng: rand.New(rand.NewPCG(f.Seed, f.Seed)), copies: make(map[string][]byte)}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// WithConn adds the connection to the context of its requests. It is the ConnContext of a server whose instance
// sends copies of responses.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// refusesNext decides whether the next request is rejected.
func (i *Instance) refusesNext() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.responseFaults.draw(i.responseFaults.Refused)
}

// isNextEndless decides whether the next response has no end.
func (i *Instance) isNextEndless() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.responseFaults.draw(i.responseFaults.Endless)
}

// draw returns true with the given probability.
func (f *responseFaults) draw(probability float64) bool {
	return probability > 0 && f.rng.Float64() < probability
}

// sendCopy sends the copy that is due on the connection of a request, if there is one.
func (i *Instance) sendCopy(r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return
	}
	if data := i.takeCopy(r.RemoteAddr); data != nil {
		// The server notices a connection that has ended when it writes the response.
		_, _ = c.Write(data)
	}
}

func (i *Instance) takeCopy(remote string) []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.responseFaults.AnyConnection {
		remote = anyConnection
	}
	data := i.responseFaults.copies[remote]
	delete(i.responseFaults.copies, remote)
	return data
}

// keepCopy keeps a response to be sent again, if that is due.
func (i *Instance) keepCopy(remote string, resp *recordedResponse) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.responseFaults.draw(i.responseFaults.Copied) {
		return
	}
	if i.responseFaults.AnyConnection {
		remote = anyConnection
	}
	i.responseFaults.copies[remote] = resp.encode()
}

// recordedResponse passes a response on and records it.
type recordedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (w *recordedResponse) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *recordedResponse) Write(data []byte) (int, error) {
	w.body.Write(data)
	return w.ResponseWriter.Write(data)
}

// encode returns the response as it is sent.
func (w *recordedResponse) encode() []byte {
	encoded := http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.Header(),
		Body: io.NopCloser(strings.NewReader(w.body.String())), ContentLength: int64(w.body.Len()),
	}
	var out bytes.Buffer
	// Writing to a buffer does not fail.
	_ = encoded.Write(&out)
	return out.Bytes()
}

// An endless response sends endlessChunk bytes each endlessInterval, until the other end closes the connection or
// endlessLimit has passed: 25 MB a second, for as long as a request may last.
const (
	endlessChunk    = 256 << 10
	endlessInterval = 10 * time.Millisecond
	endlessLimit    = 5 * time.Second
)

// sendWithoutEnd sends a header line without an end.
func sendWithoutEnd(c net.Conn) {
	chunk := bytes.Repeat([]byte{'x'}, endlessChunk)
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Filler: ")
	for began := time.Now(); err == nil && time.Since(began) < endlessLimit; time.Sleep(endlessInterval) {
		_, err = c.Write(chunk)
	}
}

// serveRequestWithFaults serves a request and keeps a copy of the response if that is due.
func (i *Instance) serveRequestWithFaults(w http.ResponseWriter, r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && i.isNextEndless() {
		i.serveRequest(&controlResponse{header: make(http.Header)}, r)
		sendWithoutEnd(c)
		panic(http.ErrAbortHandler)
	}
	resp := &recordedResponse{ResponseWriter: w, status: http.StatusOK}
	i.serveRequest(resp, r)
	i.keepCopy(r.RemoteAddr, resp)
}

// refuse rejects a request as not executed.
func refuse(w http.ResponseWriter) {
	w.Header().Set(platform.NotExecuted, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
