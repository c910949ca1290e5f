package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/transport/framing"
)

// TestBodyProgressIsReported checks that progress of a response body is reported to the function
// of its own request before the body is complete, and that requests without such a function work
// as usual.
func TestBodyProgressIsReported(t *testing.T) {
	t.Parallel()
	resume := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "one")
		w.(http.Flusher).Flush()
		select {
		case <-resume:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "two")
	}))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: &progressTransport{base: framing.NewTransport(&http.Transport{})}}
	t.Cleanup(client.CloseIdleConnections)
	progress := make(chan struct{}, 100)
	get := func(ctx context.Context) {
		t.Helper()
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		if body, err := io.ReadAll(resp.Body); string(body) != "onetwo" || err != nil {
			t.Errorf("%q, %v", body, err)
		}
	}
	go func() {
		<-progress
		close(resume)
	}()
	get(withProgress(t.Context(), func() { progress <- struct{}{} }))
	if len(progress) == 0 {
		t.Error("the second part of the body was not reported")
	}
	for len(progress) > 0 {
		<-progress
	}
	get(t.Context())
	if len(progress) > 0 {
		t.Error("progress of another request was reported")
	}
}

// TestProgressTransportClosesIdleConnections checks that http.Client can close idle connections
// through a progressTransport.
func TestProgressTransportClosesIdleConnections(t *testing.T) {
	t.Parallel()
	var client any = (&http.Client{Transport: &progressTransport{base: framing.NewTransport(&http.Transport{})}}).Transport
	if _, ok := client.(interface{ CloseIdleConnections() }); !ok {
		t.Error("progressTransport does not offer CloseIdleConnections")
	}
}

// slowRelay is a gateway whose response arrives in pieces.
type slowRelay struct {
	syncpb.Peer
	// first is the delay of the first piece.
	first  time.Duration
	pieces int
}

// Relay implements syncpb.Peer.
func (s slowRelay) Relay(ctx context.Context, _ *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	arrived, _ := ctx.Value(progressKey{}).(func())
	pause := s.first
	for range s.pieces {
		select {
		case <-time.After(pause):
			arrived()
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		pause = storeTimeout * 9 / 10
	}
	return &syncpb.RelayResponse{Status: http.StatusOK}, nil
}

// TestRelayedCallIsBoundedBySilence checks that a relayed call ends when no bytes arrive for too
// long, and that its total time is bounded as well.
func TestRelayedCallIsBoundedBySilence(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		relay slowRelay
		wait  time.Duration
		want  error
	}{
		{"arrives for long", slowRelay{first: relayTimeout - 1, pieces: 4}, 0, nil},
		{"silent", slowRelay{first: relayTimeout + 1, pieces: 1}, 0, context.DeadlineExceeded},
		{"waits for changes", slowRelay{first: watchWait + relayTimeout - 1, pieces: 4}, watchWait, nil},
		{"never ends", slowRelay{first: 0, pieces: 1000}, 0, errCallTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				progress := 0
				status, _, err := newTestCaller().callViaRelay(t.Context(), c.relay, platform.Call{Wait: c.wait}, func() { progress++ })
				if err != c.want || (err == nil) != (status == http.StatusOK) {
					t.Errorf("status %d, %v, want %v", status, err, c.want)
				}
				if err == nil && progress != c.relay.pieces {
					t.Errorf("progress reported %d times", progress)
				}
			})
		})
	}
}
