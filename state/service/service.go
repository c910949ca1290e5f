// Package service defines the configuration document of a service. The platform
// stores it, and it applies in every failure domain.
package service

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Weights are the relative weights of the costs that are considered when ranges of
// the service move. Their sum does not matter.
type Weights struct {
	// Imbalance weights the load of the busiest upstream divided by the mean load.
	Imbalance float64 `json:"imbalance"`
	// Churn weights the fraction of the load that changes owner.
	Churn float64 `json:"churn"`
	// Unavailable weights the time for which moved keys have no owner.
	Unavailable float64 `json:"unavailable"`
}

// Config is the configuration of one service.
type Config struct {
	Name string `json:"name"`
	// Version increases by one with each accepted change. It is set by the system.
	Version uint64 `json:"version,omitempty"`
	// WriteID identifies the write. It is set by the system.
	WriteID string `json:"write_id,omitempty"`
	// ChecksFences is true if the upstreams reject requests without a valid
	// lease and epoch. Otherwise fencing relies on the entries alone.
	ChecksFences bool `json:"checks_fences"`
	// Slots is the number of requests that one upstream executes concurrently. The
	// default is 4.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections from all entries of a cell
	// to one upstream. The default is 130.
	Connections int `json:"connections"`
	// DefaultDeadline applies to requests without a deadline. The default is 2s.
	DefaultDeadline jsonc.Duration `json:"default_deadline"`
	// MaxDeadline is the longest deadline that callers may request. The default is
	// 10s.
	MaxDeadline jsonc.Duration `json:"max_deadline"`
	// QueueLength is the maximum number of requests that wait at one entry for one
	// upstream. The default is 128.
	QueueLength int `json:"queue_length"`
	// MaxBody is the maximum size of a request body in bytes. The default is 1048576.
	MaxBody int64 `json:"max_body"`
	// RetryShare is the number of retries allowed per request, on average. The
	// default is 0.1.
	RetryShare float64 `json:"retry_share"`
	// CallerRate is the maximum number of requests per second from one caller to one
	// entry. Zero means no limit.
	CallerRate float64 `json:"caller_rate"`
	// Rebalance allows the system to move ranges automatically, limited by
	// MovesPerMinute.
	Rebalance bool `json:"rebalance"`
	// MovesPerMinute is the maximum number of ranges that rebalancing moves per
	// minute in one cell. The default is 30.
	MovesPerMinute int `json:"moves_per_minute"`
	// Weights are the relative weights of the costs of a move. The default of each
	// is 1.
	Weights Weights `json:"weights"`
}

// LongestDeadline is the upper limit of MaxDeadline. If upstreams do not enforce
// fencing, a controller waits this long until requests that unresponsive entries may
// have sent to them have ended.
const LongestDeadline = 10 * time.Second

// defaultDeadline applies if neither the caller nor the operator specifies a deadline. It
// is several times the longest processing time in the users' workload descriptions.
const defaultDeadline = 2 * time.Second

// Default returns a configuration with all defaults set.
func Default() Config {
	return Config{
		ChecksFences:    true,
		Slots:           4,
		Connections:     130,
		DefaultDeadline: jsonc.Duration(defaultDeadline),
		MaxDeadline:     jsonc.Duration(LongestDeadline),
		QueueLength:     128,
		MaxBody:         1 << 20,
		RetryShare:      0.1,
		MovesPerMinute:  30,
		Weights:         Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
	}
}

// Check implements jsonc.Checker.
func (c *Config) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	add := func(bad bool, path, message string) {
		if bad {
			out = append(out, jsonc.Diagnostic{Path: path, Message: message})
		}
	}
	add(c.Name == "", "name", "is required")
	add(c.Slots < 1, "slots", "must be at least 1")
	add(c.Connections < c.Slots, "connections", "must be at least the slots")
	add(c.DefaultDeadline <= 0, "default_deadline", "must be positive")
	add(c.MaxDeadline < c.DefaultDeadline, "max_deadline", "must be at least default_deadline")
	add(c.MaxDeadline.D() > LongestDeadline, "max_deadline", "must be at most 10s: hand-overs count on it")
	add(c.QueueLength < 0, "queue_length", "must not be negative")
	add(c.MaxBody < 0, "max_body", "must not be negative")
	add(c.RetryShare < 0 || c.RetryShare > 1, "retry_share", "must lie between 0 and 1")
	add(c.CallerRate < 0, "caller_rate", "must not be negative")
	add(c.MovesPerMinute < 0, "moves_per_minute", "must not be negative")
	add(c.Rebalance && c.MovesPerMinute == 0, "moves_per_minute", "is 0 while rebalance is on")
	w := c.Weights
	add(w.Imbalance < 0 || w.Churn < 0 || w.Unavailable < 0, "weights", "must not be negative")
	add(c.Rebalance && w.Imbalance == 0, "weights.imbalance", "is 0 while rebalance is on")
	return out
}

// Decode parses and validates a service document. Missing fields get their defaults.
func Decode(data []byte) (*Config, error) {
	c := Default()
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("decode service document: %w", err)
	}
	if diagnostics := c.Check(); len(diagnostics) > 0 {
		return nil, jsonc.Diagnostics(diagnostics)
	}
	return &c, nil
}
