// Package settings defines the settings of the entry and gateway processes, with
// their defaults and validation.
package settings

import (
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// TLS configures the key pair and certificate authority of a listener. The files
// are reloaded when they change.
type TLS struct {
	// Cert and Key are the paths of PEM files. If they are empty, the listener
	// uses plain TCP.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// Authority is the path of a PEM file with the certificate authority that
	// must have signed the certificates of peers. It is required between entries.
	Authority string `json:"authority"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Trace configures the export of trace spans.
type Trace struct {
	// Exporter is "off", "stdout" or "otlp". The default is "off".
	Exporter string `json:"exporter"`
	// Endpoint is the address of the OTLP/HTTP receiver.
	Endpoint jsonc.Addr `json:"endpoint,omitzero"`
	// SampleShare is the fraction of requests that are traced, between 0 and 1.
	// The default is 0.01.
	SampleShare float64 `json:"sample_share"`
}

// Entry configures an entry process.
type Entry struct {
	// ID is the name of the VM that the entry runs on. It must be unique.
	ID string `json:"id"`
	// Domain is the failure domain of the entry.
	Domain string `json:"domain"`
	// Cell is the name of the cell that the entry belongs to. The default is the
	// failure domain.
	Cell string `json:"cell"`
	// Callers is the address that accepts requests from callers.
	Callers jsonc.Addr `json:"callers"`
	// Peers is the address that accepts messages and requests from other entries.
	Peers jsonc.Addr `json:"peers"`
	// Admin is the address that serves operator requests, readiness and metrics.
	Admin jsonc.Addr `json:"admin"`
	// Platform is the address of the platform's object service.
	Platform jsonc.Addr `json:"platform"`
	// PlatformTimeout is the timeout of one call to the platform. The default is
	// 1s.
	PlatformTimeout jsonc.Duration `json:"platform_timeout"`
	// Seeds are peer addresses of other entries, from which the entry fetches
	// documents at startup.
	Seeds []jsonc.Addr `json:"seeds"`
	// HeartbeatInterval is the time between heartbeats to voters. The default is
	// 400ms.
	HeartbeatInterval jsonc.Duration `json:"beat_interval"`
	// RenewInterval is the time between lease renewals. The default is 300ms.
	RenewInterval jsonc.Duration `json:"renew_interval"`
	// DrainNotice is how long a stopping entry continues to serve requests after
	// it reports not ready, so that the load balancer notices. The default is 1s.
	DrainNotice jsonc.Duration `json:"drain_notice"`
	// DrainLimit is the timeout of a graceful shutdown. The default is 15s.
	DrainLimit jsonc.Duration `json:"drain_limit"`
	// CallerTLS configures TLS on the listener for callers.
	CallerTLS TLS `json:"caller_tls"`
	// PeerTLS configures mutual TLS between entries.
	PeerTLS TLS `json:"peer_tls"`
	// Trace configures the export of trace spans.
	Trace Trace `json:"trace"`
	// LogLevel is "debug", "info", "warn" or "error". The default is "info".
	LogLevel string `json:"log_level"`
	// Seed seeds the random number generator, which makes random choices
	// reproducible. Zero selects a random seed.
	Seed uint64 `json:"seed"`
}

// promiseTTL is the lifetime of voter promises and upstream leases that the intervals
// are validated against: three heartbeats or three renewals must fit into it.
const promiseTTL = 1200 * time.Millisecond

// Default intervals and timeouts of an entry. Each interval fits into promiseTTL three
// times.
const (
	defaultHeartbeatInterval = 400 * time.Millisecond
	defaultRenewInterval     = 300 * time.Millisecond
	// defaultDrainLimit exceeds the sum of the longest request deadline, 10 s, and the
	// default DrainNotice.
	defaultDrainLimit = 15 * time.Second
)

// DefaultEntry returns the default settings of an entry.
func DefaultEntry() Entry {
	return Entry{
		PlatformTimeout:   jsonc.Duration(time.Second),
		HeartbeatInterval: jsonc.Duration(defaultHeartbeatInterval),
		RenewInterval:     jsonc.Duration(defaultRenewInterval),
		DrainNotice:       jsonc.Duration(time.Second),
		DrainLimit:        jsonc.Duration(defaultDrainLimit),
		Trace:             Trace{Exporter: "off", SampleShare: 0.01},
		LogLevel:          "info",
	}
}

// Check implements jsonc.Checker. It also sets Cell to its default.
func (e *Entry) Check() []jsonc.Diagnostic {
	if e.Cell == "" {
		e.Cell = e.Domain
	}
	var out []jsonc.Diagnostic
	add := func(bad bool, path, message string) {
		if bad {
			out = append(out, jsonc.Diagnostic{Path: path, Message: message})
		}
	}
	add(e.ID == "", "id", "is required")
	add(e.Domain == "", "domain", "is required")
	add(!e.Callers.IsValid(), "callers", "is required")
	add(!e.Peers.IsValid(), "peers", "is required")
	add(!e.Admin.IsValid(), "admin", "is required")
	add(!e.Platform.IsValid(), "platform", "is required")
	add(sameAddr(e.Callers, e.Peers), "peers", "has the same address as callers")
	add(sameAddr(e.Callers, e.Admin), "admin", "has the same address as callers")
	add(sameAddr(e.Peers, e.Admin), "admin", "has the same address as peers")
	add(e.PlatformTimeout <= 0, "platform_timeout", "must be positive")
	add(e.HeartbeatInterval <= 0, "beat_interval", "must be positive")
	add(e.HeartbeatInterval.D()*3 > promiseTTL, "beat_interval", "must be at most 400ms, a third of the promise lifetime of 1.2s")
	add(e.RenewInterval <= 0, "renew_interval", "must be positive")
	add(e.RenewInterval.D()*3 > promiseTTL, "renew_interval", "must be at most 400ms, a third of the lease lifetime of 1.2s")
	add(e.DrainNotice < 0, "drain_notice", "must not be negative")
	add(e.DrainLimit < e.DrainNotice, "drain_limit", "must be at least drain_notice")
	add(e.Trace.SampleShare < 0 || e.Trace.SampleShare > 1, "trace.sample_share", "must be between 0 and 1")
	add(!oneOf(e.Trace.Exporter, "off", "stdout", "otlp"), "trace.exporter", `must be "off", "stdout" or "otlp"`)
	add(e.Trace.Exporter == "otlp" && !e.Trace.Endpoint.IsValid(), "trace.endpoint", "is required for the otlp exporter")
	add(!oneOf(e.LogLevel, "debug", "info", "warn", "error"), "log_level", `must be "debug", "info", "warn" or "error"`)
	out = append(out, checkTLS("caller_tls", e.CallerTLS, false)...)
	return append(out, checkTLS("peer_tls", e.PeerTLS, true)...)
}

// checkTLS checks the TLS settings of a listener. With mutual TLS, an authority is
// required too.
func checkTLS(path string, t TLS, mutual bool) []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	if (t.Cert == "") != (t.Key == "") {
		out = append(out, jsonc.Diagnostic{Path: path, Message: "cert and key must be set together"})
	}
	if mutual && t.Enabled() && t.Authority == "" {
		out = append(out, jsonc.Diagnostic{Path: path + ".authority", Message: "is required for TLS between entries"})
	}
	return out
}

// sameAddr reports whether a and b are the same address. Port 0 selects a free port, so
// such addresses never conflict.
func sameAddr(a, b jsonc.Addr) bool {
	return a.IsValid() && b.IsValid() && a.Port() != 0 && a.AddrPort == b.AddrPort
}

// oneOf reports whether v is one of the allowed values.
func oneOf(v string, allowed ...string) bool {
	for _, a := range allowed {
		if v == a {
			return true
		}
	}
	return false
}
