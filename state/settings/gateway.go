package settings

import (
	"net/netip"
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// Gateway configures a gateway process. The deployment renders the settings file
// from the template deploy/gateway.jsonc and the description of the VM.
type Gateway struct {
	// Node is the name of the VM that the gateway runs on.
	Node string `json:"node"`
	// Domain is the failure domain of the gateway.
	Domain string `json:"domain"`
	// Regions are the regions of all failure domains, by domain. Traffic within a region is
	// preferred. Without it, all domains count as in one region.
	Regions map[string]string `json:"regions,omitempty"`
	// Callers is the address that accepts requests from callers.
	Callers jsonc.Addr `json:"callers"`
	// Ready is the address that serves the load balancer's readiness checks.
	Ready jsonc.Addr `json:"ready"`
	// Peers is the address that accepts requests from other gateways and operators.
	Peers jsonc.Addr `json:"peers"`
	// Metrics is the address that serves metrics. If it is empty, metrics are not
	// served.
	Metrics jsonc.Addr `json:"metrics"`
	// Store is the address of the platform's metadata store.
	Store jsonc.Addr `json:"store"`
	// Seeds are the peer addresses of some gateways to contact at startup.
	Seeds []jsonc.Addr `json:"seeds"`
	// UpstreamSource is the local IP address of connections to upstreams. By default the system
	// chooses it.
	UpstreamSource string `json:"upstream_source,omitempty"`
	// DrainNotice is how long a stopping gateway continues to accept connections
	// after it reports not ready. The load balancer checks once per second and
	// stops sending connections after two failed checks. The default is 2.4s.
	DrainNotice jsonc.Duration `json:"drain_notice"`
	// StopLimit is the timeout of the entire shutdown. The platform kills the
	// process when it expires.
	StopLimit jsonc.Duration `json:"stop_limit"`
	// UpstreamDrainTimeout is the time within which gateways must stop sending
	// requests to an upstream that is leaving.
	UpstreamDrainTimeout jsonc.Duration `json:"upstream_drain"`
	// MaxGrantDuration is the longest duration of a grant that upstreams accept.
	MaxGrantDuration jsonc.Duration `json:"longest_hold"`
	// RetryShare, RetryAllowance and RetryWindow define the retry budget of each
	// service across all gateways: within each RetryWindow, RetryShare times the
	// number of requests plus RetryAllowance.
	RetryShare     float64        `json:"retry_share"`
	RetryAllowance float64        `json:"retry_allowance"`
	RetryWindow    jsonc.Duration `json:"retry_window"`
	// WarmUpRateFactor and WarmUpRateSlack limit the requests that all gateways together send
	// to an upstream in any second while it warms up: the configured rate times the factor,
	// plus the slack. The defaults are 1 and 0.
	WarmUpRateFactor float64 `json:"warm_up_overage"`
	WarmUpRateSlack  float64 `json:"warm_up_slack"`
	// RevocationTimeout is the time after which a revoked credential must not be accepted by any
	// gateway, also by one that has not heard of its revocation. The default is 0, which means that
	// gateways without contact to the store accept it for as long as they have not heard.
	RevocationTimeout jsonc.Duration `json:"revocation_timeout"`
	// QuotaSlack is how many requests beyond a team's quota are tolerated. The default is 0.
	QuotaSlack float64 `json:"quota_slack"`
	// CPUCores is the CPU capacity of the VM in cores; it may be a fraction, and 1 is
	// a whole core. Gateways with more CPU are preferred as leaders and for sending
	// the reports of other gateways.
	CPUCores float64 `json:"strength"`
	// MemoryMB is the memory limit of the process in MB.
	MemoryMB int `json:"memory_mb"`
	// LinkMbps is what the network link of the VM carries, in Mbit/s. Zero means that it is not known and
	// that large responses are not bound by it. The default is 0.
	LinkMbps float64 `json:"link_mbps"`
	// LogLevel is "debug", "info", "warn" or "error". The default is "info".
	LogLevel string `json:"log_level"`
	// Trace configures the export of trace spans.
	Trace Trace `json:"trace"`
}

// defaultGatewayDrainNotice exceeds the 2 s that the load balancer needs to notice: it
// checks readiness once per second and removes the gateway after two failed checks.
const defaultGatewayDrainNotice = 2400 * time.Millisecond

// maxLinkMbps bounds the rate of a link. No link of a VM carries a Tbit/s, so a higher value is probably
// in another unit.
const maxLinkMbps = 1e6

// DefaultGateway returns the default settings of a gateway.
func DefaultGateway() Gateway {
	return Gateway{
		WarmUpRateFactor: 1,
		DrainNotice:      jsonc.Duration(defaultGatewayDrainNotice),
		LogLevel:         "info",
		Trace:            Trace{Exporter: "off", SampleShare: 0.01},
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
	add(g.UpstreamSource != "" && !isIP(g.UpstreamSource), "upstream_source", "must be an IP address")
	add(g.StopLimit <= g.DrainNotice, "stop_limit", "must be longer than drain_notice")
	add(g.UpstreamDrainTimeout <= 0, "upstream_drain", "must be positive")
	add(g.MaxGrantDuration <= 0, "longest_hold", "must be positive")
	add(g.RetryShare < 0 || g.RetryShare > 1, "retry_share", "must be between 0 and 1")
	add(g.RetryAllowance < 0, "retry_allowance", "must not be negative")
	add(g.RetryWindow <= 0, "retry_window", "must be positive")
	add(g.WarmUpRateFactor < 1, "warm_up_overage", "must be at least 1")
	add(g.WarmUpRateSlack < 0, "warm_up_slack", "must not be negative")
	add(g.RevocationTimeout < 0, "revocation_timeout", "must not be negative")
	add(g.QuotaSlack < 0, "quota_slack", "must not be negative")
	add(g.CPUCores < 0, "strength", "must not be negative")
	add(g.LinkMbps < 0 || g.LinkMbps > maxLinkMbps, "link_mbps", "must be between 0 and 1000000")
	add(g.MemoryMB <= 0, "memory_mb", "must be positive")
	add(!oneOf(g.LogLevel, "debug", "info", "warn", "error"), "log_level", `must be "debug", "info", "warn" or "error"`)
	add(!oneOf(g.Trace.Exporter, "off", "stdout", "otlp"), "trace.exporter", `must be "off", "stdout" or "otlp"`)
	return out
}

func isIP(text string) bool {
	_, err := netip.ParseAddr(text)
	return err == nil
}
