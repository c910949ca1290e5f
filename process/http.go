package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// shutdownTimeout bounds the graceful shutdown, and the time to read the header of a request.
const shutdownTimeout = 5 * time.Second

// ServeHTTP serves the handler at addr until ctx ends, then shuts down gracefully.
func ServeHTTP(ctx context.Context, addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	return ServeListener(ctx, l, &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout})
}

// ServeListener serves on an open listener until ctx ends, then shuts down gracefully.
func ServeListener(ctx context.Context, l net.Listener, s *http.Server) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.Serve(l) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := s.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		return s.Close()
	}
	return err
}
