package framing

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrInvalidHead reports a response whose head does not tell how the response is to be read. What follows it may be
// anything. Test for it with errors.Is.
var ErrInvalidHead = errors.New("invalid head of a response")

// CheckHead returns ErrInvalidHead if net/http has read a head that is not valid: a status below 100, or 101, after which
// the connection carries another protocol. No request asks for that.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrInvalidHead, resp.Status)
	}
	return nil
}
