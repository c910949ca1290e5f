// Package upstream simulates a server that owns keys exclusively. It accepts fenced grants,
// executes a limited number of requests at once, sheds excess load, drains, starts cold,
// and logs which requests it executed under which epoch.
package upstream

import (
	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Settings configures the simulated upstream.
type Settings struct {
	// ID names the upstream in logs.
	ID string `json:"id"`
	// Listen is the address for requests and control messages.
	Listen jsonc.Addr `json:"listen"`
	// ChecksFences makes it reject requests that its lease and grants do not cover.
	ChecksFences bool `json:"checks_fences"`
	// Slots is the number of requests executed at once. Default 4.
	Slots int `json:"slots"`
	// QueueLength is the number of requests that may wait for a slot. The upstream
	// sheds further ones. Default 4.
	QueueLength int `json:"queue_length"`
	// Connections bounds the open connections. Further ones are closed. Default 130.
	Connections int `json:"connections"`
	// ConnectionCost is an extra delay for the first request on a connection. Default 1ms.
	ConnectionCost jsonc.Duration `json:"connection_cost"`
	// ReadTime and WriteTime are the mean execution times of an idempotent and a
	// non-idempotent request. Defaults 4ms and 12ms.
	ReadTime  jsonc.Duration `json:"read_time"`
	WriteTime jsonc.Duration `json:"write_time"`
	// WarmUp is how long requests to a range are slow after a grant that was not
	// prepared. Default 0s.
	WarmUp jsonc.Duration `json:"warm_up"`
	// DistanceDelay is added to each request to simulate network distance. Default 0s.
	DistanceDelay jsonc.Duration `json:"distance_delay"`
	// OracleFile is the file to which one JSON line is appended for each executed
	// request. If it is empty, the log is kept in memory.
	OracleFile string `json:"oracle_file"`
	// Seed makes execution times reproducible.
	Seed uint64 `json:"seed"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ChecksFences:   true,
		Slots:          4,
		QueueLength:    4,
		Connections:    130,
		ConnectionCost: jsonc.Duration(1e6),
		ReadTime:       jsonc.Duration(4e6),
		WriteTime:      jsonc.Duration(12e6),
	}
}

// Check implements jsonc.Checker.
func (s *Settings) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	if s.ID == "" {
		out = append(out, jsonc.Diagnostic{Path: "id", Message: "is required"})
	}
	if !s.Listen.IsValid() {
		out = append(out, jsonc.Diagnostic{Path: "listen", Message: "is required"})
	}
	if s.Slots < 1 {
		out = append(out, jsonc.Diagnostic{Path: "slots", Message: "must be at least 1"})
	}
	if s.Connections < s.Slots {
		out = append(out, jsonc.Diagnostic{Path: "connections", Message: "must be at least the number of slots"})
	}
	return out
}
