// Package service holds the configuration document of a service, kept by the
// platform and in force in every failure domain.
package service

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Weights say what the service minds most when its ranges move. They need not
// add up to anything.
type Weights struct {
	// Imbalance weighs the load of the busiest upstream over the mean.
	Imbalance float64 `json:"imbalance"`
	// Churn weighs the share of load that changes owner.
	Churn float64 `json:"churn"`
	// Unavailable weighs the time that moved keys have no owner.
	Unavailable float64 `json:"unavailable"`
}

// Config is the configuration of one service.
type Config struct {
	Name string `json:"name"`
	// Version rises by one with each accepted change. Set by the system.
	Version uint64 `json:"version,omitempty"`
	// WriteID identifies the write. Set by the system.
	WriteID string `json:"write_id,omitempty"`
	// ChecksFences says that the upstreams refuse requests without a valid
	// lease and epoch. Otherwise the entries are the only fence.
	ChecksFences bool `json:"checks_fences"`
	// Slots is the number of requests one upstream runs at once. Default 4.
	Slots int `json:"slots"`
	// Connections bounds the connections of all entries of a cell to one
	// upstream. Default 130.
	Connections int `json:"connections"`
	// DefaultDeadline applies when the caller names none. Default 2s.
	DefaultDeadline jsonc.Duration `json:"default_deadline"`
	// MaxDeadline bounds what callers may ask for. Default 10s.
	MaxDeadline jsonc.Duration `json:"max_deadline"`
	// QueueLength bounds the requests that wait per upstream and entry.
	// Default 128.
	QueueLength int `json:"queue_length"`
	// MaxBody bounds the body of a request, in bytes. Default 1048576.
	MaxBody int64 `json:"max_body"`
	// RetryShare is the number of retries allowed per request. Default 0.1.
	RetryShare float64 `json:"retry_share"`
	// CallerRate bounds the requests a second of one caller at one entry;
	// zero means no bound.
	CallerRate float64 `json:"caller_rate"`
	// Rebalance lets the system move ranges by itself, within MovesPerMinute.
	Rebalance bool `json:"rebalance"`
	// MovesPerMinute bounds the ranges moved by rebalancing in one cell.
	// Default 30.
	MovesPerMinute int `json:"moves_per_minute"`
	// Weights say what matters most. Default 1 each.
	Weights Weights `json:"weights"`
}

// LongestDeadline bounds the deadline of any request. A controller waits this
// long for requests of silent entries to upstreams that check nothing.
const LongestDeadline = 10 * time.Second

// defaultDeadline holds when neither the caller nor the operator names one: a few times
// the longest work on the users' sheets.
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

// Decode parses and checks a service document.
func Decode(data []byte) (*Config, error) {
	c := Default()
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("service document: %w", err)
	}
	if findings := c.Check(); len(findings) > 0 {
		return nil, jsonc.Diagnostics(findings)
	}
	return &c, nil
}
