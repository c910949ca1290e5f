package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
)

// classifiedError wraps an error with the sentinel errors that callers test for.
type classifiedError struct {
	kinds []error
	cause error
}

func (f *classifiedError) Error() string { return fmt.Sprintf("%v: %v", f.kinds[0], f.cause) }

// Unwrap makes errors.Is match the sentinel errors and the cause.
func (f *classifiedError) Unwrap() []error {
	return append(f.kinds[:len(f.kinds):len(f.kinds)], f.cause)
}

func dialError(ctx context.Context, err error) error {
	f := &classifiedError{kinds: []error{ErrNotSent}, cause: err}
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		f.cause = context.Cause(ctx)
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		f.kinds = append(f.kinds, ErrRefused)
	case errors.As(err, &timeout) && timeout.Timeout():
		f.kinds = append(f.kinds, ErrDialTimeout)
	}
	return f
}

// ioError classifies an error that occurred on an established connection.
func ioError(ctx context.Context, sent bool, err error) error {
	f := &classifiedError{kinds: []error{ErrBroken}, cause: err}
	if ctx.Err() != nil {
		f.cause = context.Cause(ctx)
	}
	if !sent {
		f.kinds = append(f.kinds, ErrNotSent)
	}
	return f
}
