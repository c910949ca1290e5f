// Package upstream is a stand-in for a server that owns keys exclusively: it
// takes fenced grants, has a number of slots, sheds, drains and starts cold,
// and writes down what it ran under which epoch.
package upstream

import (
	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Settings configure the stand-in.
type Settings struct {
	// ID names the upstream in logs.
	ID string `json:"id"`
	// Listen is the address for requests and control.
	Listen jsonc.Addr `json:"listen"`
	// ChecksFences makes it refuse requests without lease and epoch.
	ChecksFences bool `json:"checks_fences"`
	// Slots is the number of requests run at once. Default 4.
	Slots int `json:"slots"`
	// QueueLength is the number of requests that wait for a slot before the
	// upstream sheds. Default 4.
	QueueLength int `json:"queue_length"`
	// Connections bounds open connections; more are closed. Default 130.
	Connections int `json:"connections"`
	// ConnectionCost delays the first request of a connection. Default 1ms.
	ConnectionCost jsonc.Duration `json:"connection_cost"`
	// ReadTime and WriteTime are the mean times to run an idempotent and a
	// non-idempotent request. Defaults 4ms and 12ms.
	ReadTime  jsonc.Duration `json:"read_time"`
	WriteTime jsonc.Duration `json:"write_time"`
	// WarmUp is the time a range runs slowly after a grant that was not
	// prepared. Default 0s, as no unit is needed for none.
	WarmUp jsonc.Duration `json:"warm_up"`
	// DistanceDelay is added to each request for the network. Default none.
	DistanceDelay jsonc.Duration `json:"distance_delay"`
	// OracleFile receives one JSON line for each run; empty for none.
	OracleFile string `json:"oracle_file"`
	// Seed makes run times repeatable.
	Seed uint64 `json:"seed"`
}

// DefaultSettings returns the defaults.
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
		out = append(out, jsonc.Diagnostic{Path: "connections", Message: "must be at least the slots"})
	}
	return out
}
