package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// stopLimit bounds the graceful stop of a simple server.
const shutdownTimeout = 5 * time.Second

// ServeHTTP serves a handler at addr until ctx ends, then stops gracefully.
func ServeHTTP(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return ServeListener(ctx, l, &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout})
}

// ServeListener serves on an open listener until ctx ends, then stops
// gracefully.
func ServeListener(ctx context.Context, l net.Listener, s *http.Server) error {
	failed := make(chan error, 1)
	go func() { failed <- s.Serve(l) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.Shutdown(limit)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	}
	return err
}
