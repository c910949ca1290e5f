package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
)

// Outcome records what a caller learned about one attempt of a request.
type Outcome struct {
	// Due is when the request was scheduled to be sent; Start and End delimit
	// the attempt. All are wall-clock times in nanoseconds since the Unix epoch.
	Due   int64 `json:"due"`
	Start int64 `json:"start"`
	End   int64 `json:"end"`

	Service    string `json:"service"`
	Key        string `json:"key"`
	RequestID  string `json:"request_id"`
	Attempt    int    `json:"try"`
	Idempotent bool   `json:"idempotent"`
	// Status is the HTTP status code, or zero if there was no response.
	Status int `json:"status"`
	// Kind is the error kind: empty for an upstream's own response, "no_answer"
	// if the connection ended without a usable response.
	Kind string `json:"kind,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Owner, ResponseKey, ResponseID and Epoch are taken from the response.
	Owner       string `json:"owner,omitempty"`
	ResponseKey string `json:"answer_key,omitempty"`
	ResponseID  string `json:"answer_id,omitempty"`
	Epoch       uint64 `json:"epoch,omitempty"`
}

// OK reports whether the upstream served the request successfully.
func (o Outcome) OK() bool { return o.Status == 200 && o.Kind == "" }

// Save writes the outcomes to a file as JSON lines.
func Save(path string, outcomes []Outcome) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("writing outcomes: %w", err)
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for _, o := range outcomes {
		if err := enc.Encode(o); err != nil {
			return fmt.Errorf("writing outcomes: %w", err)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing outcomes: %w", err)
	}
	return f.Close()
}

// ReadLines reads a file of JSON lines. It stops without an error at a line that
// does not decode: the last line is incomplete if its writer was killed.
func ReadLines[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading JSON lines: %w", err)
	}
	defer func() { _ = f.Close() }()
	var out []T
	dec := json.NewDecoder(bufio.NewReader(f))
	for dec.More() {
		var v T
		if err := dec.Decode(&v); err != nil {
			break
		}
		out = append(out, v)
	}
	return out, nil
}
