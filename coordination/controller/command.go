package controller

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
)

// Command is an operation that the process running the core must perform. For each
// command it must call the matching On method exactly once, also if it failed.
type Command interface{ key() string }

// WriteDocument stores the cell document with a conditional update. It ends with
// OnWritten.
type WriteDocument struct {
	Doc *cell.Cell
	// Expect is the platform version that the update replaces; zero creates the
	// object.
	Expect uint64
}

// Apply sends the cell document to a voter of the cell. It ends with OnApplied.
type Apply struct {
	To  cell.Member
	Doc *cell.Cell
	// DrainWait limits how long the voter waits for requests in flight.
	DrainWait time.Duration
}

// RaiseFence asks a witness to acknowledge the fence. It ends with OnApplied.
type RaiseFence struct {
	To    cell.Member
	Fence uint64
}

// SendGrants grants ranges to an upstream. It ends with OnGranted.
type SendGrants struct {
	Upstream cell.Upstream
	Grants   []control.Grant
}

// SendRevocations revokes ranges from an upstream. It ends with OnRevoked.
type SendRevocations struct {
	Upstream    cell.Upstream
	Revocations []control.Revocation
}

// ResetUpstream makes an upstream drop all grants and take a new boot ID. It ends
// with OnReset.
type ResetUpstream struct{ Upstream cell.Upstream }

// RecordExport records an exported range in the directory of its service. It ends
// with OnExportRecorded.
type RecordExport struct {
	Service string
	Range   cell.Range
}

// PublishRoster stores the member list of the cell. It ends with OnRosterPublished.
type PublishRoster struct{ Roster cell.Roster }

func (c PublishRoster) key() string   { return "publish" }
func (c WriteDocument) key() string   { return "write" }
func (c Apply) key() string           { return "apply/" + c.To.ID }
func (c RaiseFence) key() string      { return "raise/" + c.To.ID }
func (c SendGrants) key() string      { return "grant/" + c.Upstream.ID }
func (c SendRevocations) key() string { return "revoke/" + c.Upstream.ID }
func (c ResetUpstream) key() string   { return "reset/" + c.Upstream.ID }
func (c RecordExport) key() string    { return "redirect/" + c.Service + "/" + c.Range.Span.String() }

// ApplyResult is the answer of a voter to Apply or RaiseFence.
type ApplyResult struct {
	Ack fence.Ack
	// Version is the version of the cell document that the voter uses; zero for
	// witnesses.
	Version uint64
	// Busy lists the released ranges that still have requests in flight.
	Busy []gate.BusyRange
	// Leases lists the longest unexpired leases that the voter gave to lost
	// upstreams.
	Leases []lease.RemainingLease
}
