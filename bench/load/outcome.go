package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
)

// Outcome is what a caller was told about one try of a request.
type Outcome struct {
	// Due is when the request should have been sent, Start and End bound the
	// try; all are wall clock readings in nanoseconds.
	Due   int64 `json:"due"`
	Start int64 `json:"start"`
	End   int64 `json:"end"`

	Service    string `json:"service"`
	Key        string `json:"key"`
	RequestID  string `json:"request_id"`
	Attempt    int    `json:"try"`
	Idempotent bool   `json:"idempotent"`
	// Status is the HTTP status; zero when no answer came.
	Status int `json:"status"`
	// Kind is the error kind, "" for an upstream's own answer, "no_answer"
	// when the connection gave none.
	Kind string `json:"kind,omitempty"`
	Ran  string `json:"ran,omitempty"`
	// Owner, AnswerKey, AnswerID and Epoch are read from the answer.
	Owner     string `json:"owner,omitempty"`
	AnswerKey string `json:"answer_key,omitempty"`
	AnswerID  string `json:"answer_id,omitempty"`
	Epoch     uint64 `json:"epoch,omitempty"`
}

// OK reports whether the upstream answered the request.
func (o Outcome) OK() bool { return o.Status == 200 && o.Kind == "" }

// Save writes outcomes to a file, one a line.
func Save(path string, outcomes []Outcome) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	w := bufio.NewWriter(f)
	enc := json.NewEncoder(w)
	for _, o := range outcomes {
		if err := enc.Encode(o); err != nil {
			return fmt.Errorf("outcomes: %w", err)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("outcomes: %w", err)
	}
	return f.Close()
}

// ReadLines reads a file of JSON lines. A last line that was cut off by the
// end of its writer is left out.
func ReadLines[T any](path string) ([]T, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
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
