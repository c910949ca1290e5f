package instance

import (
	"bytes"
	"net"
	"net/http"
	"slices"

	"github.com/rockcroft/rockcroft/standin/rawhttp"
)

// This file sends responses in other forms than the HTTP server does, broken ones among them, and before the body of the
// request has been read.

// LongBody is the size of a body in bytes from which on it counts as long for ResponseFaults. It is about what the
// kernel takes from a writer whose other end reads nothing.
const LongBody = 4 << 20

// isNextRaw decides whether the response to a request is sent in one of the forms.
func (i *Instance) isNextRaw(r *http.Request) bool {
	_, hasConn := r.Context().Value(connKey{}).(*net.TCPConn)
	if !hasConn || isControl(r) {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if r.ContentLength >= LongBody {
		return i.responseFaults.Raw > 0
	}
	return i.responseFaults.draw(i.responseFaults.Raw)
}

// pickRawForm returns one of the forms of a response to a request. If the fault has ended meanwhile, it returns false.
func (i *Instance) pickRawForm(r *http.Request, fields, body string) (form rawhttp.Form, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.responseFaults.RawForms == nil {
		return rawhttp.Form{}, false
	}
	forms := i.responseFaults.RawForms(fields, body)
	reachWriter := slices.DeleteFunc(slices.Clone(forms), func(f rawhttp.Form) bool { return !f.ReachesWriter() })
	if r.ContentLength >= LongBody && len(reachWriter) > 0 {
		forms = reachWriter
	}
	return forms[i.responseFaults.rng.IntN(len(forms))], true
}

// serveRaw executes a request and sends the response in one of the forms. A request that is not executed is
// answered as usual.
func (i *Instance) serveRaw(w http.ResponseWriter, r *http.Request) {
	resp := &recordedResponse{ResponseWriter: &controlResponse{header: w.Header()}, status: http.StatusOK}
	i.serveRequest(resp, r)
	var fields bytes.Buffer
	// Writing to a buffer does not fail.
	_ = resp.Header().Write(&fields)
	form, ok := i.pickRawForm(r, fields.String(), resp.body.String())
	if resp.status != http.StatusOK || !ok {
		w.WriteHeader(resp.status)
		_, _ = w.Write(resp.body.Bytes())
		return
	}
	form.Send(r.Context().Value(connKey{}).(*net.TCPConn), r.Body)
	panic(http.ErrAbortHandler)
}
