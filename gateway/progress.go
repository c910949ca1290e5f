package gateway

import (
	"context"
	"io"
	"net/http"
)

// progressKey is the context key of the function that is called when bytes of a response body
// have been read.
type progressKey struct{}

// withProgress returns a context for a request sent through a progressTransport: onRead is called
// whenever bytes of the response body have been read.
func withProgress(ctx context.Context, onRead func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onRead)
}

// progressTransport is a transport that reports the progress of response bodies to the function
// that withProgress has put into the request's context, if any.
type progressTransport struct{ base *http.Transport }

// RoundTrip implements http.RoundTripper. Errors of the base transport are returned unchanged.
func (a *progressTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := a.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if onRead, ok := r.Context().Value(progressKey{}).(func()); ok {
		resp.Body = &progressBody{ReadCloser: resp.Body, onRead: onRead}
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the base transport. http.Client looks for
// this method.
func (a *progressTransport) CloseIdleConnections() { a.base.CloseIdleConnections() }

// progressBody is a response body that reports when bytes of it have been read.
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
