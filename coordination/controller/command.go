package controller

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
)

// Command is something the process around the core has to do. Each ends with
// exactly one call of the matching On method, also when it fails.
type Command interface{ key() string }

// Write stores the document by a conditional update. Answer: OnWritten.
type WriteDocument struct {
	Doc *cell.Cell
	// Expect is the platform version to replace; zero creates the object.
	Expect uint64
}

// Apply hands the document to a voter of the cell. Answer: OnApplied.
type Apply struct {
	To  cell.Member
	Doc *cell.Cell
	// DrainWait bounds how long the voter waits for requests in flight.
	DrainWait time.Duration
}

// Raise tells a witness to follow the fence. Answer: OnApplied.
type RaiseFence struct {
	To    cell.Member
	Fence uint64
}

// SendGrants gives ranges to an upstream. Answer: OnGranted.
type SendGrants struct {
	Upstream cell.Upstream
	Grants   []control.Grant
}

// SendRevocations takes ranges back from an upstream. Answer: OnRevoked.
type SendRevocations struct {
	Upstream    cell.Upstream
	Revocations []control.Revocation
}

// Reset makes an upstream drop all grants and take a new boot id. Answer:
// OnReset.
type ResetUpstream struct{ Upstream cell.Upstream }

// Redirect records an exported range in the directory of its service. Answer:
// OnRedirected.
type RecordExport struct {
	Service string
	Range   cell.Range
}

// Publish stores the member list of the cell. Answer: OnPublished.
type PublishRoster struct{ Roster cell.Roster }

func (c PublishRoster) key() string   { return "publish" }
func (c WriteDocument) key() string   { return "write" }
func (c Apply) key() string           { return "apply/" + c.To.ID }
func (c RaiseFence) key() string      { return "raise/" + c.To.ID }
func (c SendGrants) key() string      { return "grant/" + c.Upstream.ID }
func (c SendRevocations) key() string { return "revoke/" + c.Upstream.ID }
func (c ResetUpstream) key() string   { return "reset/" + c.Upstream.ID }
func (c RecordExport) key() string    { return "redirect/" + c.Service + "/" + c.Range.Span.String() }

// Applied is the answer of a voter to Apply or Raise.
type ApplyResult struct {
	Ack fence.Ack
	// Version is the cell version that the voter holds; zero for witnesses.
	Version uint64
	// Busy are the released ranges to which requests are still in flight.
	Busy []gate.BusyRange
	// Leases are the longest leases that the voter gave to upstreams.
	Leases []lease.RemainingLease
}
