package settings

import (
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Gateway configures a gateway process. The deployment fills it in from the
// machine's description (deploy/gateway.jsonc).
type Gateway struct {
	// Node names the VM.
	Node string `json:"node"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Callers is the address that serves callers.
	Callers jsonc.Addr `json:"callers"`
	// Ready is the address on which the balancer asks for readiness.
	Ready jsonc.Addr `json:"ready"`
	// Peers is the address that serves other gateways and operators.
	Peers jsonc.Addr `json:"peers"`
	// Metrics is the address that serves counters. Empty means none.
	Metrics jsonc.Addr `json:"metrics"`
	// Store is the address of the platform's metadata store.
	Store jsonc.Addr `json:"store"`
	// Seeds are the peer addresses of some gateways, to begin with.
	Seeds []jsonc.Addr `json:"seeds"`
	// DrainNotice is how long a stopping gateway goes on taking connections
	// after it turned unready: the balancer notices after two misses of one
	// second. Default 2.4s.
	DrainNotice jsonc.Duration `json:"drain_notice"`
	// StopLimit bounds the whole stop; the platform kills after it.
	StopLimit jsonc.Duration `json:"stop_limit"`
	// UpstreamDrainTimeout is the time within which an upstream that is leaving must
	// get no more requests.
	UpstreamDrainTimeout jsonc.Duration `json:"upstream_drain"`
	// MaxGrantDuration is the longest time for which upstreams take grants.
	MaxGrantDuration jsonc.Duration `json:"longest_hold"`
	// RetryShare, RetryAllowance and RetryWindow bound second tries of all
	// gateways: in each window, per service, a share of the requests plus an
	// allowance.
	RetryShare     float64        `json:"retry_share"`
	RetryAllowance float64        `json:"retry_allowance"`
	RetryWindow    jsonc.Duration `json:"retry_window"`
	// WarmUpRateFactor and WarmUpSlack bound the requests that reach an upstream in any second
	// while it warms up, from all gateways: the rate that the configuration names times the
	// overage, plus the slack. Default 1 and 0.
	WarmUpRateFactor float64 `json:"warm_up_overage"`
	WarmUpRateSlack   float64 `json:"warm_up_slack"`
	// CPUCores is the share of a core that the machine has, 1 for a whole one.
	// Stronger machines lead and report for others.
	CPUCores float64 `json:"strength"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB int `json:"memory_mb"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `json:"log_level"`
	// Trace says where spans go.
	Trace Trace `json:"trace"`
}

// defaultGatewayDrainNotice is how long a stopping gateway still takes connections: the
// balancer asks once a second and takes it out after two misses.
const defaultGatewayDrainNotice = 2400 * time.Millisecond

// DefaultGateway returns the defaults.
func DefaultGateway() Gateway {
	return Gateway{
		WarmUpRateFactor: 1,
		DrainNotice:   jsonc.Duration(defaultGatewayDrainNotice),
		LogLevel:      "info",
		Trace:         Trace{Exporter: "off", SampleShare: 0.01},
	}
}

// Check implements jsonc.Checker.
func (g *Gateway) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	add := func(bad bool, path, message string) {
		if bad {
			out = append(out, jsonc.Diagnostic{Path: path, Message: message})
		}
	}
	add(g.Node == "", "node", "is required")
	add(g.Domain == "", "domain", "is required")
	add(!g.Callers.IsValid(), "callers", "is required")
	add(!g.Ready.IsValid(), "ready", "is required")
	add(!g.Peers.IsValid(), "peers", "is required")
	add(!g.Store.IsValid(), "store", "is required")
	add(g.StopLimit <= g.DrainNotice, "stop_limit", "must be longer than drain_notice")
	add(g.UpstreamDrainTimeout <= 0, "upstream_drain", "must be positive")
	add(g.MaxGrantDuration <= 0, "longest_hold", "must be positive")
	add(g.RetryShare < 0 || g.RetryShare > 1, "retry_share", "must lie between 0 and 1")
	add(g.RetryAllowance < 0, "retry_allowance", "must not be negative")
	add(g.RetryWindow <= 0, "retry_window", "must be positive")
	add(g.WarmUpRateFactor < 1, "warm_up_overage", "must be at least 1")
	add(g.WarmUpRateSlack < 0, "warm_up_slack", "must not be negative")
	add(g.CPUCores < 0, "strength", "must not be negative")
	add(g.MemoryMB <= 0, "memory_mb", "must be positive")
	add(!oneOf(g.LogLevel, "debug", "info", "warn", "error"), "log_level", `must be "debug", "info", "warn" or "error"`)
	add(!oneOf(g.Trace.Exporter, "off", "stdout", "otlp"), "trace.exporter", `must be "off", "stdout" or "otlp"`)
	return out
}
