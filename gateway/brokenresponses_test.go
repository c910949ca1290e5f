package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/rawhttp"
)

// This file tests what callers get if upstreams send responses that are broken, or whole in unusual forms, before
// they have read the request.

// longUpload is more bytes than the kernel takes from a writer whose other end reads nothing.
const longUpload = 8 << 20

// formsCluster starts a gateway with one upstream that takes uploads, and returns them.
func formsCluster(t *testing.T) (*testCluster, *testGateway, *upstream) {
	t.Helper()
	b := newTestCluster(t)
	conf := config(2)
	conf.Limits.MaxBody = longUpload
	b.store.Put(platform.ConfigKind, platform.ConfigName, conf)
	u := b.upstream("i-p0", "pay")
	b.upstream("i-s0", "status")
	g := b.gateway("g1")
	b.ready()
	return b, g, u
}

// playForms sends uploads and short requests to an upstream that sends each of the forms, and calls check with the
// response of the gateway. Only forms of which the writer of a request may be told are played with long ones.
func playForms(t *testing.T, forms func(fields, body string) []rawhttp.Form, check func(t *testing.T, b *testCluster, resp callerResponse)) {
	t.Helper()
	const plays = 3
	b, g, u := formsCluster(t)
	uploads := map[string]string{"short": "x", "long": strings.Repeat("x", longUpload)}
	for n, form := range forms("", "") {
		u.SetResponseFaults(instance.ResponseFaults{Raw: 1, RawForms: func(fields, body string) []rawhttp.Form { return forms(fields, body)[n : n+1] }})
		for name, body := range uploads {
			if name == "long" && !form.ReachesWriter() {
				continue
			}
			t.Run(form.Name+"/"+name, func(t *testing.T) {
				for range plays {
					check(t, b, b.upload(g, "/pay/x", body))
					// The upstream ends each connection after one response.
					g.conns.CloseIdle()
				}
			})
		}
	}
}

// TestBrokenResponseReachesNoCaller guards against a broken response of an upstream that a caller gets as a whole one, and
// against the promise that such a request has not run.
func TestBrokenResponseReachesNoCaller(t *testing.T) {
	t.Parallel()
	forms := func(fields, body string) []rawhttp.Form {
		return append(rawhttp.Broken(fields, body), rawhttp.ChunksInHTTP10(fields, body))
	}
	playForms(t, forms, func(t *testing.T, b *testCluster, resp callerResponse) {
		if runs := b.oracle.Runs(resp.id); resp.status != http.StatusBadGateway || resp.header.Get(platform.Signature) != "" || runs != 1 {
			t.Errorf("status %d, body %q, signature %q, %d runs", resp.status, resp.body, resp.header.Get(platform.Signature), runs)
		}
	})
}

// TestWholeResponseReachesCaller guards against refusing a response that is whole because of its form.
func TestWholeResponseReachesCaller(t *testing.T) {
	t.Parallel()
	playForms(t, rawhttp.Whole, func(t *testing.T, _ *testCluster, resp callerResponse) {
		if want := "done " + resp.id + " by i-p0"; resp.status != http.StatusOK || resp.body != want {
			t.Errorf("status %d, body %q, want %q, error %v", resp.status, resp.body, want, resp.err)
		}
	})
}

// TestBrokenPeerResponseIsUnknown guards against a message of another gateway that is taken for whole, and against refusing
// one that is whole because of its form.
func TestBrokenPeerResponseIsUnknown(t *testing.T) {
	t.Parallel()
	b := newTestCluster(t)
	g := b.gateway("g1")
	// unknownField is a field with a number that no message has, so half of two of them is a valid message as well.
	const fields, unknownField = "Content-Type: application/protobuf\r\n", "\xa0\x06\x01"
	body := unknownField + unknownField
	play := func(form rawhttp.Form, long bool, check func(t *testing.T, err error)) {
		t.Run(form.Name, func(t *testing.T) {
			size := 0
			if long {
				size = longUpload
			}
			s, err := rawhttp.Serve(form)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(s.Close)
			for range 5 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				_, err := g.cluster.client(s.Addr()).Relay(ctx, &syncpb.RelayRequest{Body: make([]byte, size)})
				cancel()
				g.cluster.http.CloseIdleConnections()
				check(t, err)
			}
		})
	}
	for _, form := range rawhttp.Broken(fields, body) {
		play(form, form.ReachesWriter(), func(t *testing.T, err error) {
			if err == nil {
				t.Error("a broken response was taken for whole")
			}
		})
	}
	for _, form := range rawhttp.Whole(fields, body) {
		// If the upload cannot be written, net/http may report that in place of the response.
		play(form, !form.ReachesWriter(), func(t *testing.T, err error) {
			if err != nil {
				t.Error(err)
			}
		})
	}
}
