package framing

import (
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead reports a response whose head does not tell how the response is to be read. What follows it may be
// anything. Test for it with errors.Is.
var ErrInvalidHead = errors.New("invalid head of a response")

// CheckHead returns ErrInvalidHead if net/http has read a head that is not valid: a status below 100, or 101, after which
// the connection carries another protocol, which no request asks for; or a name that CheckNames refuses.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrInvalidHead, resp.Status)
	}
	return CheckNames(resp.Header)
}

// CheckNames returns ErrInvalidHead if the name of a header is no token. net/http accepts blanks, as in
// "Content-Length : 5", and then ignores what the header says of the body.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: header name %q", ErrInvalidHead, name)
		}
	}
	return nil
}
