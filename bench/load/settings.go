// Package load generates open-loop load on entries, and records the outcome of
// each request as its caller saw it.
package load

import (
	"fmt"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Service describes the traffic to one service.
type Service struct {
	Name string `json:"name"`
	// Rate is the mean number of requests per second.
	Rate float64 `json:"rate"`
	// Keys is the number of keys. Zipf is the exponent of the Zipf distribution
	// of their popularity and must be greater than 1.
	Keys uint64  `json:"keys"`
	Zipf float64 `json:"zipf"`
	// Writes is the fraction of non-idempotent requests, from 0 to 1.
	Writes float64 `json:"writes"`
	// Timeout is the deadline of each request. Default 2s.
	Timeout jsonc.Duration `json:"timeout"`
}

// Settings configures a run.
type Settings struct {
	// Entries lists the addresses at which the entries accept caller requests.
	Entries []jsonc.Addr `json:"entries"`
	// Ready lists the admin addresses of the entries, in the same order. If set,
	// entries that are not ready get no requests, as behind a load balancer.
	Ready    []jsonc.Addr   `json:"ready"`
	Services []Service      `json:"services"`
	Duration jsonc.Duration `json:"duration"`
	// HotShift is the interval at which a different set of keys becomes hot. Zero
	// keeps the same keys hot.
	HotShift jsonc.Duration `json:"hot_shift"`
	// MaxRetries limits how often a caller retries a request whose response allows it.
	MaxRetries int `json:"ask_again"`
	// MaxOutstanding limits the number of unanswered requests. Default 5000.
	MaxOutstanding int `json:"max_outstanding"`
	// Outcomes is the file to which one JSON line is written for each attempt.
	Outcomes string `json:"outcomes"`
	Seed     uint64 `json:"seed"`
}

// DefaultSettings returns the settings that apply where a file sets none.
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
	add(len(s.Ready) > 0 && len(s.Ready) != len(s.Entries), "ready", "must have one address for each entry")
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
		add(svc.Zipf <= 1, path+".zipf", "must be greater than 1")
		add(svc.Writes < 0 || svc.Writes > 1, path+".writes", "must be between 0 and 1")
	}
	return out
}
