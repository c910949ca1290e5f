package instance

import (
	"net/http"
)

// This file sends additional responses to control calls.

// controlResponse is a response whose body is discarded, as to a control call.
type controlResponse struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (c *controlResponse) Header() http.Header { return c.header }

// Write implements http.ResponseWriter.
func (c *controlResponse) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (c *controlResponse) WriteHeader(status int) { c.status = status }

// serveWithExtraResponse sends the previous response on the connection again, if there is one, and then
// executes a control call and responds to it.
func (i *Instance) serveWithExtraResponse(w http.ResponseWriter, r *http.Request, body []byte) {
	current := &controlResponse{header: w.Header().Clone(), status: http.StatusOK}
	former := i.takeFormerResponse(r.RemoteAddr)
	if former == nil {
		i.serveControl(current, r.URL.Path, body, i.delayOf(r))
		i.keepResponse(r.RemoteAddr, current)
		for name, values := range current.header {
			w.Header()[name] = values
		}
		w.WriteHeader(current.status)
		return
	}
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	for _, response := range []*controlResponse{former, current} {
		if response == current {
			i.serveControl(current, r.URL.Path, body, i.delayOf(r))
		}
		encoded := http.Response{StatusCode: response.status, ProtoMajor: 1, ProtoMinor: 1, Header: response.header}
		if encoded.Write(conn) != nil {
			return
		}
	}
}

// takeFormerResponse removes and returns the latest response on a connection, or nil.
func (i *Instance) takeFormerResponse(conn string) *controlResponse {
	i.mu.Lock()
	defer i.mu.Unlock()
	former := i.formerResponses[conn]
	delete(i.formerResponses, conn)
	return former
}

func (i *Instance) keepResponse(conn string, c *controlResponse) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.formerResponses[conn] = c
}
