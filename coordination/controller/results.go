package controller

import (
	"time"

	"github.com/rockcroft/rockcroft/state/cell"
)

// This file handles the results of commands.

// OnWritten handles the result of a WriteDocument. Version is the new platform
// version of the document.
func (c *Core) OnWritten(now time.Time, cmd WriteDocument, version uint64, err error) {
	c.commandEnded(now, cmd, err)
	if err == nil {
		c.OnDocument(now, cmd.Doc, version)
	}
}

// OnApplied handles the result of an Apply or a RaiseFence.
func (c *Core) OnApplied(now time.Time, cmd Command, a ApplyResult, err error) {
	c.commandEnded(now, cmd, err)
	if err != nil || c.settlement == nil || a.Ack.Fence < c.settlement.Fence() {
		return
	}
	c.settlement.Record(now, a.Ack)
	if _, raise := cmd.(RaiseFence); raise {
		return
	}
	c.applied[a.Ack.Voter] = a
	for _, l := range a.Leases {
		until := now.Add(l.Remaining + c.drift(l.Remaining))
		if until.After(c.leaseEnds[l.Upstream]) {
			c.leaseEnds[l.Upstream] = until
		}
	}
}

// drift returns the largest difference between two clocks over the duration.
func (c *Core) drift(d time.Duration) time.Duration {
	return d * time.Duration(c.limits.Fence.DriftPercent) / 100
}

// OnGranted handles the result of a SendGrants.
func (c *Core) OnGranted(now time.Time, cmd SendGrants, err error) {
	c.commandEnded(now, cmd, err)
	if err != nil {
		return
	}
	for _, g := range cmd.Grants {
		if g.Prepare {
			c.prepared[prepareID{g.Service, g.Span, cmd.Upstream.ID}] = now
			continue
		}
		c.granted[grantID{g.Service, g.Span, g.Epoch, cmd.Upstream.ID}] = true
	}
}

// OnRevoked handles the result of a SendRevocations.
func (c *Core) OnRevoked(now time.Time, cmd SendRevocations, err error) {
	c.commandEnded(now, cmd, err)
	if err != nil {
		return
	}
	for _, r := range cmd.Revocations {
		c.revoked[grantID{r.Service, r.Span, r.Epoch, cmd.Upstream.ID}] = true
	}
}

// OnReset handles the result of a ResetUpstream. Boot is the new boot ID of the
// upstream.
func (c *Core) OnReset(now time.Time, cmd ResetUpstream, boot string, err error) {
	c.commandEnded(now, cmd, err)
	if err == nil {
		c.resetBoots[cmd.Upstream.ID] = boot
		c.detector.Reset(now, cmd.Upstream.ID)
		for id := range c.granted {
			if id.holder == cmd.Upstream.ID {
				delete(c.granted, id)
			}
		}
	}
}

// OnExportRecorded handles the result of a RecordExport. D is the directory as it is
// now.
func (c *Core) OnExportRecorded(now time.Time, cmd RecordExport, d *cell.Directory, err error) {
	c.commandEnded(now, cmd, err)
	if err == nil {
		c.OnDirectory(d)
	}
}

// OnRosterPublished handles the result of a PublishRoster.
func (c *Core) OnRosterPublished(now time.Time, cmd PublishRoster, err error) {
	c.commandEnded(now, cmd, err)
	if err == nil {
		c.OnRoster(now, &cmd.Roster)
	}
}

// commandEnded allows the command to be issued again, after a delay if it failed.
func (c *Core) commandEnded(now time.Time, cmd Command, err error) {
	delete(c.inFlight, cmd.key())
	if err != nil {
		c.retryAt[cmd.key()] = now.Add(c.limits.RetryAfter)
	} else {
		delete(c.retryAt, cmd.key())
	}
}
