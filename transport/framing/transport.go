package framing

import (
	"net"
	"net/http"
)

// Transport is an http.Transport whose connections are of the type Conn.
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
