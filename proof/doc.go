// Package proof holds the tests that drive the deterministic parts together:
// controllers, gates, leases and stand-in ownership, with fakes for the
// network, the clocks and the platform, against a simple oracle.
package proof
