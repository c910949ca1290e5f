package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rockcroft/rockcroft/protocol/header"
)

// This file sends responses that are cut.

// cutRefusal is what arrives of the body of a refusal. cutBody is what arrives of that of a response; it is longer than
// the buffers on its way to the caller.
var (
	cutRefusal = "overloa"
	cutBody    = strings.Repeat("x", 64<<10)
)

// sendCutResponse sends a part of a response and aborts, if one of these faults is set.
func (s *Server) sendCutResponse(w http.ResponseWriter) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	switch {
	case faults.CutRefusals:
		w.Header().Set("Content-Length", strconv.Itoa(len(cutRefusal)+1))
		refuse(w, http.StatusServiceUnavailable, header.RefusedOverloaded)
		sendPart(w, cutRefusal)
	case faults.CutResponses:
		sendPart(w, cutBody)
	}
}

// sendPart sends a part of a body and aborts the response. What fails here has been aborted by the client.
func sendPart(w http.ResponseWriter, part string) {
	_, _ = io.WriteString(w, part)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
