package front

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that are not forwarded: those that apply to a single connection, and
// those that entries and upstreams set themselves. The idempotency headers are dropped because
// net/http repeats requests that carry them.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Idempotency-Key":     true,
	"X-Idempotency-Key":   true,
	"Rockcroft-Hops":      true,
	"Rockcroft-Epoch":     true,
	"Rockcroft-Refused":   true,
	"Rockcroft-Kind":      true,
}

// copyHeader copies the end-to-end headers. It skips the headers listed in the Connection header.
func copyHeader(to, from http.Header) {
	connectionTokens := from["Connection"]
	for name, values := range from {
		if hopByHop[name] || len(connectionTokens) > 0 && listContains(connectionTokens, name) {
			continue
		}
		to[name] = values
	}
}

func listContains(list []string, name string) bool {
	for _, line := range list {
		for token := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
