package framing

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
)

// maxInterim is the number of informational responses that are read before a response. net/http counts their bytes only
// while nothing observes them.
const maxInterim = 100

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
// executed. The connection is closed, as what follows on it may be taken for the next response.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var e exchange
	resp, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), e.trace())))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		_ = (*e.conn.Load()).Close()
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// exchange is a request and what precedes its response.
type exchange struct {
	conn    atomic.Pointer[net.Conn]
	interim atomic.Int32
}

// trace returns the hooks that observe the exchange.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { e.conn.Store(&info.Conn) },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			if e.interim.Add(1) > maxInterim {
				return fmt.Errorf("%w: over %d informational responses", ErrInvalidHead, maxInterim)
			}
			return CheckNames(http.Header(h))
		},
	}
}
