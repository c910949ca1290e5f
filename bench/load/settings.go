// Package load sends requests to entries in an open loop and records what
// callers were told.
package load

import (
	"fmt"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Service is the traffic of one service.
type Service struct {
	Name string `json:"name"`
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// Keys is the number of keys, Zipf the exponent of their popularity,
	// above 1.
	Keys uint64  `json:"keys"`
	Zipf float64 `json:"zipf"`
	// Writes is the share of non-idempotent requests, 0 to 1.
	Writes float64 `json:"writes"`
	// Timeout is the deadline of each request. Default 2s.
	Timeout jsonc.Duration `json:"timeout"`
}

// Settings configure a run.
type Settings struct {
	// Entries are the callers' addresses of the entries.
	Entries []jsonc.Addr `json:"entries"`
	// Ready are the admin addresses of the entries, in the same order. With
	// them, entries that are not ready get no requests, as behind a balancer.
	Ready    []jsonc.Addr   `json:"ready"`
	Services []Service      `json:"services"`
	Duration jsonc.Duration `json:"duration"`
	// HotShift is the time after which other keys become hot; none without.
	HotShift jsonc.Duration `json:"hot_shift"`
	// MaxRetries is how often a caller asks again when the answer allows it.
	MaxRetries int `json:"ask_again"`
	// MaxOutstanding bounds the requests without an answer. Default 5000.
	MaxOutstanding int `json:"max_outstanding"`
	// Outcomes is the file that receives one JSON line a request.
	Outcomes string `json:"outcomes"`
	Seed     uint64 `json:"seed"`
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{MaxOutstanding: 5000, Seed: 1}
}

// Check implements jsonc.Checker.
func (s *Settings) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	add := func(bad bool, path, message string) {
		if bad {
			out = append(out, jsonc.Diagnostic{Path: path, Message: message})
		}
	}
	add(len(s.Entries) == 0, "entries", "is required")
	add(len(s.Ready) > 0 && len(s.Ready) != len(s.Entries), "ready", "must be as many as entries")
	add(len(s.Services) == 0, "services", "is required")
	add(s.Duration <= 0, "duration", "must be positive")
	add(s.MaxOutstanding < 1, "max_outstanding", "must be positive")
	for _, e := range s.Entries {
		add(!e.Addr().IsLoopback(), "entries", "must be on the loopback interface")
	}
	for i, svc := range s.Services {
		path := fmt.Sprintf("services[%d]", i)
		add(svc.Name == "", path+".name", "is required")
		add(svc.Rate <= 0, path+".rate", "must be positive")
		add(svc.Keys < 1, path+".keys", "must be positive")
		add(svc.Zipf <= 1, path+".zipf", "must be above 1")
		add(svc.Writes < 0 || svc.Writes > 1, path+".writes", "must lie between 0 and 1")
	}
	return out
}
