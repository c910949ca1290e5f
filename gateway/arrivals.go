package gateway

import (
	"context"
	"io"
	"net/http"
)

// arrivedKey is the key of the function in a request's context that is called when bytes
// of the answer's body have arrived.
type progressKey struct{}

// withArrived returns a context for a request that goes by an arrivals transport: arrived
// is called whenever bytes of the answer's body have been read.
func withProgress(ctx context.Context, arrived func()) context.Context {
	return context.WithValue(ctx, progressKey{}, arrived)
}

// arrivals is a transport that tells of answers as they arrive, to the function that
// withArrived has put into the request's context, if any.
type progressTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper. Its errors are those of the base.
func (a *progressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := a.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if arrived, ok := r.Context().Value(progressKey{}).(func()); ok {
		resp.Body = &progressBody{ReadCloser: resp.Body, onRead: arrived}
	}
	return resp, nil
}

// CloseIdleConnections closes the base's, which http.Client asks for by this method.
func (a *progressTransport) CloseIdleConnections() { a.base.CloseIdleConnections() }

// arrivingBody is the body of an answer that tells when bytes of it have been read.
type progressBody struct {
	io.ReadCloser
	onRead func()
}

// Read implements io.Reader.
func (b *progressBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.onRead()
	}
	return n, err
}
