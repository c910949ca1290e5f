package upstream

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
)

// Run is one line of the oracle log. It describes an executed request.
type Run struct {
	// At is the wall clock time in nanoseconds at which the upstream decided to execute
	// the request.
	At int64 `json:"at"`
	// End is the wall clock time in nanoseconds at which the execution ended. It is zero
	// in the line written at the start.
	End        int64  `json:"end,omitempty"`
	Upstream   string `json:"upstream"`
	Service    string `json:"service"`
	Key        string `json:"key"`
	RequestID  string `json:"request_id"`
	Epoch      uint64 `json:"epoch"`
	Idempotent bool   `json:"idempotent"`
}

// oracle appends runs to a file with one write per line, so that the file of a killed
// process contains everything that it executed. Without a file it keeps runs in memory.
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
		return nil, fmt.Errorf("open oracle log: %w", err)
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
