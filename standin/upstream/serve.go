package upstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/process"
)

// leaveTimeout bounds how long a planned stop waits for the grants to be revoked.
const leaveTimeout = 10 * time.Second

// NewBootID returns a random boot ID, different for each start of a process.
func NewBootID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Serve serves until ctx ends. It then announces the stop and continues to serve until its
// ranges are revoked, or until leaveTimeout.
func (s *Server) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", s.settings.Listen.String())
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return s.ServeListener(ctx, l)
}

// ServeListener is like Serve, but uses an open listener.
func (s *Server) ServeListener(ctx context.Context, l net.Listener) error {
	var open atomic.Int64
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: 5 * time.Second,
		ConnContext:       s.ConnContext,
		ConnState:         s.ConnState(&open),
	}
	serveCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		<-ctx.Done()
		leaveCtx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
		defer cancel()
		s.Leave(leaveCtx)
		stop()
	}()
	return process.ServeListener(serveCtx, l, server)
}
