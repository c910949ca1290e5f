package upstream

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Run is one line of the oracle log: a request that was executed.
type Run struct {
	// At is the wall clock in nanoseconds when the run was decided.
	At int64 `json:"at"`
	// End is the wall clock in nanoseconds when the run ended; zero on the
	// line written at the start.
	End        int64  `json:"end,omitempty"`
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	Key        string `json:"key"`
	RequestID  string `json:"request_id"`
	Epoch      uint64 `json:"epoch"`
	Idempotent bool   `json:"idempotent"`
}

// oracle appends runs to a file, one write a line, so that a killed process
// leaves everything it ran.
type oracle struct {
	mu       sync.Mutex
	file     *os.File
	runs     []Run
	inMemory bool
}

func openOracle(path string) (*oracle, error) {
	if path == "" {
		return &oracle{inMemory: true}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("oracle log: %w", err)
	}
	return &oracle{file: f}, nil
}

func (o *oracle) add(r Run) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inMemory {
		o.runs = append(o.runs, r)
		return
	}
	line, err := json.Marshal(r)
	if err != nil {
		return
	}
	_, _ = o.file.Write(append(line, '\n'))
}

func (o *oracle) snapshot() []Run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Run(nil), o.runs...)
}
