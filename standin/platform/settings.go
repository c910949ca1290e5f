// Package platform simulates the platform's object service. It keeps objects in memory and
// can simulate faults: outages, added latency and lost responses.
package platform

import (
	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Settings configures the simulated platform.
type Settings struct {
	// Listen is the address of the object API.
	Listen jsonc.Addr `json:"listen"`
	// Latency is added to each call. Default 2ms.
	Latency jsonc.Duration `json:"latency"`
	// WritesPerSecond bounds the rate of writes. Default 400.
	WritesPerSecond int `json:"writes_per_second"`
	// ReadsPerSecond bounds the rate of reads and watches together. Default 2000.
	ReadsPerSecond int `json:"reads_per_second"`
	// VMLag is how long a change of the VM list takes to become visible. Default 30s.
	VMLag jsonc.Duration `json:"vm_lag"`
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Latency:         jsonc.Duration(2e6),
		WritesPerSecond: 400,
		ReadsPerSecond:  2000,
		VMLag:           jsonc.Duration(30e9),
	}
}

// Check implements jsonc.Checker.
func (s *Settings) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	if !s.Listen.IsValid() {
		out = append(out, jsonc.Diagnostic{Path: "listen", Message: "is required"})
	}
	if s.WritesPerSecond <= 0 || s.ReadsPerSecond <= 0 {
		out = append(out, jsonc.Diagnostic{Path: "writes_per_second", Message: "writes_per_second and reads_per_second must be positive"})
	}
	return out
}
