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
)

// TestArrivals: what arrives is told to the request's own function, before the whole is
// there; requests without one go as ever.
func TestArrivals(t *testing.T) {
	t.Parallel()
	goOn := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "one")
		w.(http.Flusher).Flush()
		select {
		case <-goOn:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "two")
	}))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: &arrivals{&http.Transport{}}}
	t.Cleanup(client.CloseIdleConnections)
	told := make(chan struct{}, 100)
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
		<-told
		close(goOn)
	}()
	get(withArrived(t.Context(), func() { told <- struct{}{} }))
	if len(told) == 0 {
		t.Error("the second piece is not told")
	}
	for len(told) > 0 {
		<-told
	}
	get(t.Context())
	if len(told) > 0 {
		t.Error("told of another request")
	}
}

// TestIdlePeersAreClosed through the transport that tells of arrivals.
func TestIdlePeersAreClosed(t *testing.T) {
	t.Parallel()
	var client any = (&http.Client{Transport: &arrivals{&http.Transport{}}}).Transport
	if _, ok := client.(interface{ CloseIdleConnections() }); !ok {
		t.Error("idle connections stay open")
	}
}

// slowRelay is a gateway whose answer arrives in pieces.
type slowRelay struct {
	syncpb.Peer
	// first is the time until the first piece.
	first  time.Duration
	pieces int
}

// Relay implements syncpb.Peer.
func (s slowRelay) Relay(ctx context.Context, _ *syncpb.RelayRequest) (*syncpb.RelayResponse, error) {
	arrived, _ := ctx.Value(arrivedKey{}).(func())
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

// TestRelayedCallIsBoundedBySilence and in the end as a whole.
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
				told := 0
				status, _, err := newTestCaller().callViaRelay(t.Context(), c.relay, platform.Call{Wait: c.wait}, func() { told++ })
				if err != c.want || (err == nil) != (status == http.StatusOK) {
					t.Errorf("status %d, %v, want %v", status, err, c.want)
				}
				if err == nil && told != c.relay.pieces {
					t.Errorf("told of %d pieces", told)
				}
			})
		})
	}
}
