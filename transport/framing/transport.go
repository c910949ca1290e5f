package framing

import (
	"net"
	"net/http"
)

// Transport is an http.Transport whose connections are of the type Conn, and which refuses invalid heads.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses t, which must not be used otherwise.
func NewTransport(t *http.Transport) *Transport {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = Dial(dial)
	return &Transport{Transport: t}
}

// RoundTrip implements http.RoundTripper. It returns ErrInvalidHead if CheckHead does; the request may then have been
// executed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}
