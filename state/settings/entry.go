// Package settings holds the settings of the system's programs.
package settings

import (
	"time"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// TLS names the key pair and authority of one listener. Files are read again
// when they change.
type TLS struct {
	// Cert and Key are PEM files. Empty means plain TCP.
	Cert string `json:"cert"`
	Key  string `json:"key"`
	// Authority is the PEM file of the authority that peers must be signed
	// by. It is required between entries.
	Authority string `json:"authority"`
}

// Enabled reports whether the listener uses TLS.
func (t TLS) Enabled() bool { return t.Cert != "" }

// Trace says where spans go.
type Trace struct {
	// Exporter is "off", "stdout" or "otlp". Default "off".
	Exporter string `json:"exporter"`
	// Endpoint is the address of the OTLP receiver over HTTP.
	Endpoint jsonc.Addr `json:"endpoint,omitzero"`
	// SampleShare is the share of requests traced, 0 to 1. Default 0.01.
	SampleShare float64 `json:"sample_share"`
}

// Entry configures an entry process.
type Entry struct {
	// ID names the VM of the entry. It must be unique.
	ID string `json:"id"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Cell is the unit of authority. Default: the failure domain.
	Cell string `json:"cell"`
	// Callers is the address that serves callers.
	Callers jsonc.Addr `json:"callers"`
	// Peers is the address that serves other entries.
	Peers jsonc.Addr `json:"peers"`
	// Admin is the address that serves operators, readiness and counters.
	Admin jsonc.Addr `json:"admin"`
	// Platform is the address of the platform's object service.
	Platform jsonc.Addr `json:"platform"`
	// PlatformTimeout bounds one call to the platform. Default 1s.
	PlatformTimeout jsonc.Duration `json:"platform_timeout"`
	// Seeds are peer addresses of other entries, to learn from at the start.
	Seeds []jsonc.Addr `json:"seeds"`
	// HeartbeatInterval is the time between beats to voters. Default 400ms.
	HeartbeatInterval jsonc.Duration `json:"beat_interval"`
	// RenewInterval is the time between lease renewals. Default 300ms.
	RenewInterval jsonc.Duration `json:"renew_interval"`
	// DrainNotice is how long a stopping entry goes on serving after it turned
	// unready, until the balancer has noticed. Default 1s.
	DrainNotice jsonc.Duration `json:"drain_notice"`
	// DrainLimit bounds the graceful stop. Default 15s.
	DrainLimit jsonc.Duration `json:"drain_limit"`
	// CallerTLS protects the callers' listener.
	CallerTLS TLS `json:"caller_tls"`
	// PeerTLS protects messages between entries, both ways.
	PeerTLS TLS `json:"peer_tls"`
	// Trace says where spans go.
	Trace Trace `json:"trace"`
	// LogLevel is "debug", "info", "warn" or "error". Default "info".
	LogLevel string `json:"log_level"`
	// Seed makes the random choices repeatable; zero takes a random one.
	Seed uint64 `json:"seed"`
}

// promiseTTL is the least time that beats have to fit into.
const promiseTTL = 1200 * time.Millisecond

// The defaults of an entry's times. Beats and renewals fit three times into promiseTTL.
const (
	defaultHeartbeatInterval  = 400 * time.Millisecond
	defaultRenewInterval = 300 * time.Millisecond
	// defaultDrainLimit is longer than the longest deadline of a request, 10 s, and the
	// notice before it.
	defaultDrainLimit = 15 * time.Second
)

// DefaultEntry returns the defaults.
func DefaultEntry() Entry {
	return Entry{
		PlatformTimeout: jsonc.Duration(time.Second),
		HeartbeatInterval:    jsonc.Duration(defaultHeartbeatInterval),
		RenewInterval:   jsonc.Duration(defaultRenewInterval),
		DrainNotice:     jsonc.Duration(time.Second),
		DrainLimit:      jsonc.Duration(defaultDrainLimit),
		Trace:           Trace{Exporter: "off", SampleShare: 0.01},
		LogLevel:        "info",
	}
}

// Check implements jsonc.Checker.
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
	add(e.HeartbeatInterval.D()*3 > promiseTTL, "beat_interval", "must fit three times into the promise of 1.2s")
	add(e.RenewInterval <= 0, "renew_interval", "must be positive")
	add(e.RenewInterval.D()*3 > promiseTTL, "renew_interval", "must fit three times into the lease of 1.2s")
	add(e.DrainNotice < 0, "drain_notice", "must not be negative")
	add(e.DrainLimit < e.DrainNotice, "drain_limit", "must be at least drain_notice")
	add(e.Trace.SampleShare < 0 || e.Trace.SampleShare > 1, "trace.sample_share", "must lie between 0 and 1")
	add(!oneOf(e.Trace.Exporter, "off", "stdout", "otlp"), "trace.exporter", `must be "off", "stdout" or "otlp"`)
	add(e.Trace.Exporter == "otlp" && !e.Trace.Endpoint.IsValid(), "trace.endpoint", "is required for otlp")
	add(!oneOf(e.LogLevel, "debug", "info", "warn", "error"), "log_level", `must be "debug", "info", "warn" or "error"`)
	out = append(out, checkTLS("caller_tls", e.CallerTLS, false)...)
	return append(out, checkTLS("peer_tls", e.PeerTLS, true)...)
}

func checkTLS(path string, t TLS, mutual bool) []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	if (t.Cert == "") != (t.Key == "") {
		out = append(out, jsonc.Diagnostic{Path: path, Message: "cert and key go together"})
	}
	if mutual && t.Enabled() && t.Authority == "" {
		out = append(out, jsonc.Diagnostic{Path: path + ".authority", Message: "is required between entries"})
	}
	return out
}

func sameAddr(a, b jsonc.Addr) bool {
	return a.IsValid() && b.IsValid() && a.Port() != 0 && a.AddrPort == b.AddrPort
}

func oneOf(v string, list ...string) bool {
	for _, one := range list {
		if v == one {
			return true
		}
	}
	return false
}
