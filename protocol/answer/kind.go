// Package answer holds the closed list of error kinds and the one table that
// maps a kind to what a caller or operator is told.
package answer

import (
	"errors"
	"net/http"
	"time"

	"github.com/zeebo/errs/v2"
)

// Kind classifies an error. The list is closed: every answer that is not the
// upstream's own carries one of these.
type Kind string

// The kinds of errors.
const (
	BadRequest     Kind = "bad_request"
	NoKey          Kind = "no_key"
	UnknownService Kind = "unknown_service"
	NotFound       Kind = "not_found"
	TooLarge       Kind = "too_large"
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
	// Harmful is a request that ends the upstreams which run it, HarmfulOnce one that must not
	// run twice: of it nobody knows whether it ran to its end before.
	Harmful      Kind = "harmful"
	HarmfulOnce  Kind = "harmful_once"
	Cancelled    Kind = "cancelled"
	Conflict     Kind = "conflict"
	StalePlan    Kind = "stale_plan"
	PlatformDown Kind = "platform_down"
	Internal     Kind = "internal"
)

// Ran says whether the request reached execution.
type Execution string

// The values of Ran.
const (
	NotExecuted      Execution = "not-run"
	Executed         Execution = "ran"
	ExecutionUnknown Execution = "unknown"
)

// Row is one line of the table from kind to answer.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Ran says whether the request was executed.
	Execution Execution
	// Again says whether the caller may repeat the request as it is.
	Retryable bool
	// RetryAfter is the default time to come back; zero means none.
	RetryAfter time.Duration
}

const (
	shortRetryDelay = 1 * time.Second
	longRetryDelay  = 5 * time.Second
	// muchLater is within the time for which such a request is remembered.
	harmfulRetryDelay = time.Minute
)

var responses = map[Kind]Response{
	BadRequest:     {Status: http.StatusBadRequest, Execution: NotExecuted},
	NoKey:          {Status: http.StatusBadRequest, Execution: NotExecuted},
	UnknownService: {Status: http.StatusNotFound, Execution: NotExecuted},
	NotFound:       {Status: http.StatusNotFound, Execution: NotExecuted},
	TooLarge:       {Status: http.StatusRequestEntityTooLarge, Execution: NotExecuted},
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

// Kinds returns every kind of the list.
func Kinds() []Kind {
	out := make([]Kind, 0, len(responses))
	for k := range responses {
		out = append(out, k)
	}
	return out
}

// Row returns the table line of the kind. An unknown kind answers as Internal.
func (k Kind) Response() Response {
	response, ok := responses[k]
	if !ok {
		return responses[Internal]
	}
	return response
}

// Valid reports whether the kind is on the list.
func (k Kind) Valid() bool {
	_, ok := responses[k]
	return ok
}

// Error is an error with a kind.
type Error struct {
	Kind Kind
	// RetryAfter replaces the default of the table when positive.
	RetryAfter time.Duration
	Err        error
}

// Error returns kind and cause.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var errorTag = errs.Tag("rockcroft")

// New returns an error of the kind with a formatted message.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Err: errorTag.Errorf(format, args...)}
}

// Wrap gives err a kind unless it already has one.
func Wrap(kind Kind, err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: kind, Err: errorTag.Wrap(err)}
}

// KindOf returns the kind of err, or Internal.
func KindOf(err error) Kind {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Kind
	}
	return Internal
}
