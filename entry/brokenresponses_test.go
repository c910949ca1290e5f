package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/standin/rawhttp"
	"github.com/rockcroft/rockcroft/standin/upstream"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/transport/peers"
	"github.com/rockcroft/rockcroft/transport/platform"
	"github.com/rockcroft/rockcroft/transport/upstreams"
)

// longUpload is more bytes than the kernel takes from a writer whose other end reads nothing.
const longUpload = 8 << 20

// responseReader is a client of an entry, with a response whose first half is a valid response as well.
type responseReader struct {
	name         string
	fields, body string
	// call sends a request with a body of at least the given size and reads its response.
	call func(ctx context.Context, addr string, size int) error
}

func responseReaders() []responseReader {
	const padded = `{"boot":"b","version":1}` + "                              "
	// unknownField is a field of protocol buffers with a number that no message has.
	const unknownField = "\xa0\x06\x01"
	upstream := func(addr string) *upstreams.Upstream {
		return upstreams.NewPool(time.Now).GetOrCreate(cell.Upstream{ID: "u", Addr: addr}, upstreams.Options{Connections: 1})
	}
	return []responseReader{
		{"request", "", "the whole body", func(ctx context.Context, addr string, size int) error {
			resp, done, _, err := upstream(addr).Send(uploadRequest(ctx, "http://"+addr+"/", size))
			defer done()
			return checkBody(resp, err)
		}},
		{"forwarded request", "", "the whole body", func(ctx context.Context, addr string, size int) error {
			p := peers.NewPool(nil, time.Now)
			return checkBody(p.ForwardTransport().RoundTrip(uploadRequest(ctx, p.ForwardURL(addr, "/"), size)))
		}},
		{"control call", "", padded, func(ctx context.Context, addr string, size int) error {
			_, err := upstream(addr).Renew(ctx, control.Renewal{Boot: strings.Repeat("x", size)})
			return err
		}},
		{"platform", "", padded, func(ctx context.Context, addr string, size int) error {
			value, err := json.Marshal(strings.Repeat("x", size))
			if err == nil {
				_, err = platform.NewClient(addr, time.Minute).Put(ctx, platform.Object{Kind: "cell", Name: "a", Value: value}, 0)
			}
			return err
		}},
		{"other entry", "Content-Type: application/protobuf\r\n", unknownField + unknownField, func(ctx context.Context, addr string, size int) error {
			_, err := peers.NewPool(nil, time.Now).Client(addr).Beat(ctx, &peerpb.BeatRequest{To: strings.Repeat("x", size)})
			return err
		}},
	}
}

func uploadRequest(ctx context.Context, url string, size int) *http.Request {
	// The URL is that of a listener, so it is valid.
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(strings.Repeat("x", size)))
	return r
}

// checkBody reads a response and returns an error unless its body is whole.
func checkBody(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && string(data) != "the whole body" {
		return fmt.Errorf("%w: body %q", errWrongBody, data)
	}
	return err
}

var errWrongBody = errors.New("not the body that was sent")

// playForm sends requests to a server that sends a form and calls check with each result.
func playForm(t *testing.T, form rawhttp.Form, reader responseReader, size int, check func(error)) {
	t.Helper()
	const plays = 5
	s, err := rawhttp.Serve(form)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for range plays {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		check(reader.call(ctx, s.Addr(), size))
		cancel()
	}
}

// TestBrokenResponseIsUnknown guards against a client of the entry that takes a broken response for whole.
func TestBrokenResponseIsUnknown(t *testing.T) {
	for _, reader := range responseReaders() {
		for _, form := range rawhttp.Broken(reader.fields, reader.body) {
			checkBroken(t, form, reader)
		}
	}
}

// TestChunksInHTTP10AreNoBody guards against a body that is returned with the sizes of its chunks.
func TestChunksInHTTP10AreNoBody(t *testing.T) {
	for _, reader := range responseReaders() {
		checkBroken(t, rawhttp.ChunksInHTTP10(reader.fields, reader.body), reader)
	}
}

// checkBroken checks that a client does not take responses in a form for whole.
func checkBroken(t *testing.T, form rawhttp.Form, reader responseReader) {
	t.Helper()
	t.Run(reader.name+"/"+form.Name, func(t *testing.T) {
		whole, size := 0, 0
		if form.ReachesWriter() {
			size = longUpload
		}
		playForm(t, form, reader, size, func(err error) {
			if err == nil || errors.Is(err, errWrongBody) {
				whole++
			}
		})
		if whole > 0 {
			t.Errorf("%d broken responses were taken for whole", whole)
		}
	})
}

// TestWholeResponseIsNotRefused guards against refusing a response that is whole because of its form.
func TestWholeResponseIsNotRefused(t *testing.T) {
	for _, reader := range responseReaders() {
		for _, form := range rawhttp.Whole(reader.fields, reader.body) {
			t.Run(reader.name+"/"+form.Name, func(t *testing.T) {
				size := longUpload
				if form.ReachesWriter() {
					// If the upload cannot be written, net/http may report that in place of the response.
					size = 0
				}
				playForm(t, form, reader, size, func(err error) {
					if err != nil {
						t.Error(err)
					}
				})
			})
		}
	}
}

// TestCutRefusalIsNoPromise guards against the promise that a request has not run because of the head of a refusal that
// did not arrive whole, from an upstream and from another entry.
func TestCutRefusalIsNoPromise(t *testing.T) {
	cluster := twoCells(t, true)
	for _, u := range cluster.upstreams {
		u.SetFaults(upstream.Faults{CutRefusals: true})
	}
	for k := range 16 {
		for _, e := range cluster.entries {
			id := fmt.Sprintf("cut-%d-%s", k, e.self.ID)
			resp := cluster.send(e.callers, http.MethodPost, "svc", fmt.Sprintf("key-%d", k), nil, header.RequestID, id)
			if got := answer.Execution(resp.header.Get(header.Ran)); got != answer.ExecutionUnknown {
				t.Errorf("status %d, %q: %s", resp.status, got, resp.body)
			}
		}
	}
}

// TestCutResponseIsCutForCaller guards against a response that ended early and looks complete to a caller, also to one
// whose version of HTTP has no chunks.
func TestCutResponseIsCutForCaller(t *testing.T) {
	cluster := twoCells(t, true)
	for _, u := range cluster.upstreams {
		u.SetFaults(upstream.Faults{CutResponses: true})
	}
	for _, version := range []string{"1.0", "1.1"} {
		for _, e := range cluster.entries {
			c, err := net.Dial("tcp", e.callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, err = fmt.Fprintf(c, "POST /svc/op HTTP/%s\r\nHost: h\r\nRockcroft-Key: key-1\r\nContent-Length: 0\r\n\r\n", version)
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				continue
			}
			if data, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
				t.Errorf("HTTP/%s, %s: the response %q looks complete", version, e.self.ID, data)
			}
		}
	}
}
