package answer

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/protocol/header"
)

// Body is the JSON body of an error response.
type Body struct {
	Kind      Kind      `json:"kind"`
	Execution Execution `json:"ran"`
	Retryable bool      `json:"again"`
	Message   string    `json:"message"`
}

// Write sends the error response for err. Headers that are already set on w are kept,
// including Retry-After.
func Write(w http.ResponseWriter, err error) {
	kind := KindOf(err)
	response := kind.Response()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(header.Kind, string(kind))
	h.Set(header.Ran, string(response.Execution))
	if delay := retryDelay(response, err); delay > 0 && h.Get("Retry-After") == "" {
		seconds := int(math.Ceil(delay.Seconds()))
		h.Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.WriteHeader(response.Status)
	_ = json.NewEncoder(w).Encode(Body{Kind: kind, Execution: response.Execution, Retryable: response.Retryable, Message: err.Error()})
}

func retryDelay(response Response, err error) time.Duration {
	var typed *Error
	if errors.As(err, &typed) && typed.RetryAfter > 0 {
		return typed.RetryAfter
	}
	return response.RetryAfter
}
