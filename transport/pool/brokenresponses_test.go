package pool

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/standin/rawhttp"
)

const (
	// responseFields are the header lines of a response to newRequest("1").
	responseFields = "Id: 1\r\n"
	responseBody   = "the whole body"
	// longUpload is more bytes than the kernel takes from a writer whose other end reads nothing.
	longUpload = 8 << 20
	// plays is the number of times that each form is played.
	plays = 20
)

// uploads are the bodies of requests to which responses are sent.
var uploads = map[string]int{"no upload": 0, "short upload": 4 << 10, "long upload": longUpload}

// playForm sends requests with a body to a server that sends a form, and calls check with each result.
func playForm(t *testing.T, form rawhttp.Form, uploadSize int, check func(*Response, error)) {
	t.Helper()
	s, err := rawhttp.Serve(form)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	p := New(testLimits, time.Now)
	r := newRequest("1")
	if uploadSize > 0 {
		r.Method, r.Body = http.MethodPost, []byte(strings.Repeat("x", uploadSize))
	}
	for range plays {
		check(p.Do(context.Background(), s.Addr(), r))
		// The server ends each connection after one response.
		p.CloseIdle()
	}
}

// TestBrokenResponseIsUnknown guards against taking a broken response for whole, for example a part of a body without
// a length whose reset only the goroutine is told of that writes the upload.
func TestBrokenResponseIsUnknown(t *testing.T) {
	for name, size := range uploads {
		for _, form := range append(rawhttp.Broken(responseFields, responseBody), rawhttp.ChunksInHTTP10(responseFields, responseBody)) {
			t.Run(name+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				whole := 0
				playForm(t, form, size, func(_ *Response, err error) {
					if err == nil {
						whole++
					} else if !errors.Is(err, ErrBroken) || errors.Is(err, ErrNotSent) {
						t.Errorf("unexpected error: %v", err)
					}
				})
				if whole > 0 {
					t.Errorf("%d of %d broken responses were taken for whole", whole, plays)
				}
			})
		}
	}
}

// TestWholeResponseIsNotRefused guards against refusing a response that is whole because of its form, or of what becomes
// of the upload after it.
func TestWholeResponseIsNotRefused(t *testing.T) {
	for name, size := range uploads {
		for _, form := range rawhttp.Whole(responseFields, responseBody) {
			t.Run(name+"/"+form.Name, func(t *testing.T) {
				t.Parallel()
				playForm(t, form, size, func(resp *Response, err error) {
					if err != nil || string(resp.Body) != responseBody {
						t.Errorf("response %v, error %v", resp, err)
					}
				})
			})
		}
	}
}
