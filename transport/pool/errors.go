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

func (e *classifiedError) Error() string { return fmt.Sprintf("%v: %v", e.kinds[0], e.cause) }

// Unwrap makes errors.Is match the sentinel errors and the cause.
func (e *classifiedError) Unwrap() []error {
	return append(e.kinds[:len(e.kinds):len(e.kinds)], e.cause)
}

func dialError(ctx context.Context, err error) error {
	e := &classifiedError{kinds: []error{ErrNotSent}, cause: err}
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		e.cause = context.Cause(ctx)
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		e.kinds = append(e.kinds, ErrRefused)
	case errors.As(err, &timeout) && timeout.Timeout():
		e.kinds = append(e.kinds, ErrDialTimeout)
	}
	return e
}

// ioError classifies an error that occurred on an established connection.
func ioError(ctx context.Context, sent bool, err error) error {
	e := &classifiedError{kinds: []error{ErrBroken}, cause: err}
	if ctx.Err() != nil {
		e.cause = context.Cause(ctx)
	}
	if !sent {
		e.kinds = append(e.kinds, ErrNotSent)
	}
	return e
}
