// Package answer defines the error kinds and the single table that maps each kind to the
// response sent to a caller or operator.
package answer

import (
	"errors"
	"net/http"
	"time"

	"github.com/zeebo/errs/v2"
)

// Kind classifies an error. The set is closed: every error response that was not
// produced by an upstream has one of these kinds.
type Kind string

// The error kinds.
const (
	BadRequest     Kind = "bad_request"
	NoKey          Kind = "no_key"
	UnknownService Kind = "unknown_service"
	NotFound       Kind = "not_found"
	TooLarge       Kind = "too_large"
	Unauthorized   Kind = "unauthorized"
	Forbidden      Kind = "forbidden"
	DeadlinePassed Kind = "deadline_passed"
	Overloaded     Kind = "overloaded"
	CallerLimited  Kind = "caller_limited"
	NoOwner        Kind = "no_owner"
	NoRight        Kind = "no_right"
	WrongCell      Kind = "wrong_cell"
	NotOwner       Kind = "not_owner"
	Stopping       Kind = "stopping"
	Unreachable    Kind = "unreachable"
	TimedOut       Kind = "timed_out"
	Broken         Kind = "broken"
	RepeatUnsafe   Kind = "repeat_unsafe"
	// Harmful marks a request that crashes the upstreams executing it. HarmfulOnce marks such a
	// request that must not run twice, when it is unknown whether an earlier run completed.
	Harmful      Kind = "harmful"
	HarmfulOnce  Kind = "harmful_once"
	Cancelled    Kind = "cancelled"
	Conflict     Kind = "conflict"
	StalePlan    Kind = "stale_plan"
	PlatformDown Kind = "platform_down"
	Internal     Kind = "internal"
)

// Execution tells whether a request was executed.
type Execution string

// The values of Execution.
const (
	NotExecuted      Execution = "not-run"
	Executed         Execution = "ran"
	ExecutionUnknown Execution = "unknown"
)

// Response is what a caller or operator is told about an error of one kind.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Execution tells whether the request was executed.
	Execution Execution
	// Retryable tells whether the caller may retry the request unchanged.
	Retryable bool
	// RetryAfter is the default value of the Retry-After header; zero omits the header.
	RetryAfter time.Duration
}

const (
	shortRetryDelay = 1 * time.Second
	longRetryDelay  = 5 * time.Second
	// harmfulRetryDelay does not exceed the time for which a harmful request is remembered.
	harmfulRetryDelay = time.Minute
)

var responses = map[Kind]Response{
	BadRequest:     {Status: http.StatusBadRequest, Execution: NotExecuted},
	NoKey:          {Status: http.StatusBadRequest, Execution: NotExecuted},
	UnknownService: {Status: http.StatusNotFound, Execution: NotExecuted},
	NotFound:       {Status: http.StatusNotFound, Execution: NotExecuted},
	TooLarge:       {Status: http.StatusRequestEntityTooLarge, Execution: NotExecuted},
	Unauthorized:   {Status: http.StatusUnauthorized, Execution: NotExecuted},
	Forbidden:      {Status: http.StatusForbidden, Execution: NotExecuted},
	DeadlinePassed: {Status: http.StatusGatewayTimeout, Execution: NotExecuted, Retryable: true},
	Overloaded:     {Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	CallerLimited:  {Status: http.StatusTooManyRequests, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	NoOwner:        {Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	NoRight:        {Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	WrongCell:      {Status: http.StatusMisdirectedRequest, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	NotOwner:       {Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	Stopping:       {Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	Unreachable:    {Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryAfter: shortRetryDelay},
	TimedOut:       {Status: http.StatusGatewayTimeout, Execution: ExecutionUnknown},
	Broken:         {Status: http.StatusBadGateway, Execution: ExecutionUnknown},
	RepeatUnsafe:   {Status: http.StatusConflict, Execution: ExecutionUnknown},
	Harmful:        {Status: http.StatusServiceUnavailable, Execution: NotExecuted, RetryAfter: harmfulRetryDelay},
	HarmfulOnce:    {Status: http.StatusBadGateway, Execution: ExecutionUnknown},
	Cancelled:      {Status: 499, Execution: ExecutionUnknown},
	Conflict:       {Status: http.StatusConflict, Execution: NotExecuted, Retryable: true},
	StalePlan:      {Status: http.StatusConflict, Execution: NotExecuted},
	PlatformDown:   {Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryAfter: longRetryDelay},
	Internal:       {Status: http.StatusInternalServerError, Execution: ExecutionUnknown},
}

// Kinds returns all kinds, in no particular order.
func Kinds() []Kind {
	out := make([]Kind, 0, len(responses))
	for k := range responses {
		out = append(out, k)
	}
	return out
}

// Response returns the response for the kind. An unknown kind is treated as Internal.
func (k Kind) Response() Response {
	response, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return response
}

// Valid reports whether the kind is one of the defined kinds.
func (k Kind) Valid() bool {
	_, ok := responses[k]
	return ok
}

// Error is an error that has a kind.
type Error struct {
	Kind Kind
	// RetryAfter overrides the default for the kind if it is positive.
	RetryAfter time.Duration
	Err        error
}

// Error returns the kind and the message of the cause.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var errorTag = errs.Tag("rockcroft")

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Err: errorTag.Errorf(format, args...)}
}

// Wrap gives err the kind, unless err already has one.
func Wrap(kind Kind, err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: kind, Err: errorTag.Wrap(err)}
}

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}
