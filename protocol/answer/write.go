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

// Body is the JSON form of an error answer.
type Body struct {
	Kind    Kind   `json:"kind"`
	Ran     Ran    `json:"ran"`
	Again   bool   `json:"again"`
	Message string `json:"message"`
}

// Write sends the answer for err by the table. Headers already set on w stay,
// a time to come back among them.
func Write(w http.ResponseWriter, err error) {
	kind := KindOf(err)
	row := kind.Row()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(header.Kind, string(kind))
	h.Set(header.Ran, string(row.Ran))
	if after := retryAfter(row, err); after > 0 && h.Get("Retry-After") == "" {
		seconds := int(math.Ceil(after.Seconds()))
		h.Set("Retry-After", strconv.Itoa(max(seconds, 1)))
	}
	w.WriteHeader(row.Status)
	_ = json.NewEncoder(w).Encode(Body{Kind: kind, Ran: row.Ran, Again: row.Again, Message: err.Error()})
}

func retryAfter(row Row, err error) time.Duration {
	var known *Error
	if errors.As(err, &known) && known.RetryAfter > 0 {
		return known.RetryAfter
	}
	return row.RetryAfter
}
