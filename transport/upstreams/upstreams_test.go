package upstreams

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
)

// TestControlCallWithCutResponseHasFailed guards against taking a status for whole whose connection ended before the
// announced length.
func TestControlCallWithCutResponseHasFailed(t *testing.T) {
	for name, body := range map[string]string{"cut": `{"boot":"b"}`, "more than the status": `{"boot":"b"}{"boot":"c"}`} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if name == "cut" {
					w.Header().Set("Content-Length", "100")
				}
				_, _ = w.Write([]byte(body))
			}))
			defer server.Close()
			addr := server.Listener.(*net.TCPListener).Addr().String()
			u := NewPool(time.Now).GetOrCreate(cell.Upstream{ID: "u", Addr: addr}, Options{Connections: 1})
			if status, err := u.Renew(t.Context(), control.Renewal{}); err == nil {
				t.Errorf("the status %+v was accepted", status)
			}
		})
	}
}
