package controller

import (
	"time"

	"github.com/rockcroft/rockcroft/state/cell"
)

// This file takes over how commands ended.

// OnWritten ends a Write. Version is the platform version of the document.
func (c *Core) OnWritten(now time.Time, cmd Write, version uint64, err error) {
	c.done(now, cmd, err)
	if err == nil {
		c.OnDocument(now, cmd.Doc, version)
	}
}

// OnApplied ends an Apply or a Raise.
func (c *Core) OnApplied(now time.Time, cmd Command, a Applied, err error) {
	c.done(now, cmd, err)
	if err != nil || c.settler == nil || a.Ack.Fence < c.settler.Fence() {
		return
	}
	c.settler.Record(now, a.Ack)
	if _, raise := cmd.(Raise); raise {
		return
	}
	c.applied[a.Ack.Voter] = a
	for _, l := range a.Leases {
		until := now.Add(l.Remaining + c.drift(l.Remaining))
		if until.After(c.leases[l.Upstream]) {
			c.leases[l.Upstream] = until
		}
	}
}

func (c *Core) drift(d time.Duration) time.Duration {
	return d * time.Duration(c.limits.Fence.DriftPercent) / 100
}

// OnGranted ends a SendGrants.
func (c *Core) OnGranted(now time.Time, cmd SendGrants, err error) {
	c.done(now, cmd, err)
	if err != nil {
		return
	}
	for _, g := range cmd.Grants {
		if g.Prepare {
			c.prepared[prepareID{g.Service, g.Span, cmd.Upstream.ID}] = now
			continue
		}
		c.granted[rangeID{g.Service, g.Span, g.Epoch, cmd.Upstream.ID}] = true
	}
}

// OnRevoked ends a SendRevocations.
func (c *Core) OnRevoked(now time.Time, cmd SendRevocations, err error) {
	c.done(now, cmd, err)
	if err != nil {
		return
	}
	for _, r := range cmd.Revocations {
		c.revoked[rangeID{r.Service, r.Span, r.Epoch, cmd.Upstream.ID}] = true
	}
}

// OnReset ends a Reset with the new boot id of the upstream.
func (c *Core) OnReset(now time.Time, cmd Reset, boot string, err error) {
	c.done(now, cmd, err)
	if err == nil {
		c.reset[cmd.Upstream.ID] = boot
		c.detector.Reset(now, cmd.Upstream.ID)
		for id := range c.granted {
			if id.holder == cmd.Upstream.ID {
				delete(c.granted, id)
			}
		}
	}
}

// OnRedirected ends a Redirect with the directory as it is now.
func (c *Core) OnRedirected(now time.Time, cmd Redirect, d *cell.Directory, err error) {
	c.done(now, cmd, err)
	if err == nil {
		c.OnDirectory(d)
	}
}

// OnPublished ends a Publish.
func (c *Core) OnPublished(now time.Time, cmd Publish, err error) {
	c.done(now, cmd, err)
	if err == nil {
		c.OnRoster(now, &cmd.Roster)
	}
}

func (c *Core) done(now time.Time, cmd Command, err error) {
	delete(c.busy, cmd.key())
	if err != nil {
		c.retryAt[cmd.key()] = now.Add(c.limits.RetryAfter)
	} else {
		delete(c.retryAt, cmd.key())
	}
}
