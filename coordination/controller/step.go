package controller

import (
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/detect"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// Step returns the commands to perform now. It must be called after events and at
// regular intervals.
func (c *Core) Step(now time.Time) []Command {
	if !c.Leads(now) {
		return nil
	}
	if c.doc == nil {
		return c.bootstrap(now)
	}
	if c.settlement != nil && !c.settled {
		c.settled = c.settlement.Settled(now, c.silentGrace())
	}
	var out []Command
	if c.canSettle(now) && c.canIssue(now, WriteDocument{}) {
		if doc := c.edit(now); doc != nil {
			out = c.issue(out, WriteDocument{Doc: doc, Expect: c.version})
			return out
		}
	}
	out = c.distributeDocument(now, out)
	out = c.sendRevocations(now, out)
	out = c.sendGrants(now, out)
	out = c.sendPreparations(now, out)
	out = c.sendResets(now, out)
	out = c.recordExports(now, out)
	return c.publishRoster(now, out)
}

// canIssue reports whether the command is neither in flight nor waiting for a retry.
func (c *Core) canIssue(now time.Time, cmd Command) bool {
	return !c.inFlight[cmd.key()] && !now.Before(c.retryAt[cmd.key()])
}

// issue appends the command to out and marks it as in flight.
func (c *Core) issue(out []Command, cmd Command) []Command {
	c.inFlight[cmd.key()] = true
	return append(out, cmd)
}

// tryIssue issues the command if canIssue allows it.
func (c *Core) tryIssue(now time.Time, out []Command, cmd Command) []Command {
	if !c.canIssue(now, cmd) {
		return out
	}
	return c.issue(out, cmd)
}

// bootstrap creates the first document of a cell, with this entry as the only voter.
func (c *Core) bootstrap(now time.Time) []Command {
	if !c.documentMissing || !c.canIssue(now, WriteDocument{}) {
		return nil
	}
	doc := &cell.Cell{
		Name:    c.self.Cell,
		Domain:  c.self.Domain,
		Version: 1,
		Fence:   1,
		WriteID: c.newID(),
		Quorum:  cell.Quorum{Local: []cell.Member{c.self}},
	}
	return c.issue(nil, WriteDocument{Doc: doc})
}

// entriesDrained reports whether no entry can send requests to a range that is being
// released, and none has such a request in flight.
func (c *Core) entriesDrained(service string, span keyspace.Span) bool {
	if !c.settled {
		return false
	}
	for _, a := range c.applied {
		busy := slices.ContainsFunc(a.Busy, func(b gate.BusyRange) bool {
			return b.Service == service && b.Overlaps(span)
		})
		if busy {
			return false
		}
	}
	return true
}

// released reports whether the owner of a range that is being released is proven not
// to hold it any more.
func (c *Core) released(now time.Time, service string, r cell.Range) bool {
	if !c.settled {
		return false
	}
	u := c.doc.Upstream(r.Owner)
	if u == nil || u.State == cell.Lost {
		return c.lostOwnerReleased(now, service, r)
	}
	return c.entriesDrained(service, r.Span) && c.revoked[grantID{service, r.Span, r.Epoch, r.Owner}]
}

// lostOwnerReleased reports whether a lost upstream is proven not to serve any
// request for the range any more.
func (c *Core) lostOwnerReleased(now time.Time, service string, r cell.Range) bool {
	reset := c.resetBoots[r.Owner] != ""
	switch {
	case c.evicted[r.Owner]:
		return true
	case c.services.ChecksFences(service):
		return reset || !now.Before(c.leaseEnds[r.Owner])
	case c.detector.Assess(now, r.Owner, "", c.reportsNeeded(now)).Health == detect.Gone:
		return true
	}
	// The process may be running and does not check the epoch of requests, so a
	// reset does not stop requests that are already in flight to it.
	return reset && c.entriesDrained(service, r.Span)
}

// distributeDocument sends the document to the voters of the cell. If these do not
// settle the fence within WitnessDelay, it sends the fence to the witnesses too.
func (c *Core) distributeDocument(now time.Time, out []Command) []Command {
	for _, m := range c.voters() {
		if c.isDead(m.ID) {
			continue
		}
		if m.Cell == c.self.Cell {
			a := c.applied[m.ID]
			if a.Version < c.doc.Version || len(a.Busy) > 0 {
				out = c.tryIssue(now, out, Apply{To: m, Doc: c.doc, DrainWait: c.limits.DrainWait})
			}
			continue
		}
		if !c.settled && !c.settlement.Acked(m.ID) && now.Sub(c.fenceSeenAt) >= c.limits.WitnessDelay {
			out = c.tryIssue(now, out, RaiseFence{To: m, Fence: c.doc.Fence})
		}
	}
	return out
}

// sendRevocations revokes releasing ranges from owners that are not lost, once no
// entry sends requests to the ranges any more.
func (c *Core) sendRevocations(now time.Time, out []Command) []Command {
	for _, u := range c.doc.Upstreams {
		if u.State == cell.Lost {
			continue
		}
		var list []control.Revocation
		for _, r := range rangesOf(c.doc, u.Service) {
			id := grantID{u.Service, r.Span, r.Epoch, u.ID}
			if r.Phase == cell.Releasing && r.Owner == u.ID && !c.revoked[id] && c.entriesDrained(u.Service, r.Span) {
				list = append(list, control.Revocation{Service: u.Service, Span: r.Span, Epoch: r.Epoch})
			}
		}
		if len(list) > 0 {
			out = c.tryIssue(now, out, SendRevocations{Upstream: u, Revocations: list})
		}
	}
	return out
}

// rangesOf returns the ranges of the service, or nil if the cell does not have it.
func rangesOf(doc *cell.Cell, service string) []cell.Range {
	if s := doc.Service(service); s != nil {
		return s.Ranges
	}
	return nil
}

// sendGrants grants ranges to their next owners once the former owners have released
// them.
func (c *Core) sendGrants(now time.Time, out []Command) []Command {
	for _, u := range c.doc.Upstreams {
		if u.State == cell.Lost || u.Boot == "" {
			continue
		}
		var list []control.Grant
		for _, r := range rangesOf(c.doc, u.Service) {
			if r.Next != u.ID || c.granted[grantID{u.Service, r.Span, r.Epoch + 1, u.ID}] {
				continue
			}
			if r.Phase == cell.Vacant || r.Phase == cell.Releasing && c.released(now, u.Service, r) {
				list = append(list, control.Grant{Service: u.Service, Span: r.Span, Epoch: r.Epoch + 1})
			}
		}
		if len(list) > 0 {
			out = c.tryIssue(now, out, SendGrants{Upstream: u, Grants: list})
		}
	}
	return out
}

// sendPreparations asks the new owners of pending moves to prepare for their ranges.
func (c *Core) sendPreparations(now time.Time, out []Command) []Command {
	byOwner := make(map[string][]control.Grant)
	for _, m := range c.pendingMoves {
		if m.To == "" || !c.usable(m.To) || c.isPrepared(now, m) {
			continue
		}
		byOwner[m.To] = append(byOwner[m.To], control.Grant{Service: m.Service, Span: m.Span, Prepare: true})
	}
	for _, id := range sortedKeys(byOwner) {
		out = c.tryIssue(now, out, SendGrants{Upstream: *c.doc.Upstream(id), Grants: byOwner[id]})
	}
	return out
}

// sendResets resets upstreams that join or come back after a loss. They are granted
// ranges only after that.
func (c *Core) sendResets(now time.Time, out []Command) []Command {
	for _, u := range c.doc.Upstreams {
		if u.Boot != "" || c.resetBoots[u.ID] != "" || c.draining[u.ID] {
			continue
		}
		if u.State == cell.Lost && c.detector.Assess(now, u.ID, "", 1).Health != detect.Alive {
			continue
		}
		out = c.tryIssue(now, out, ResetUpstream{Upstream: u})
	}
	return out
}

// recordExports records exported ranges in the directories of their services.
func (c *Core) recordExports(now time.Time, out []Command) []Command {
	for _, s := range c.doc.Services {
		for _, r := range s.Ranges {
			if r.Phase == cell.Exported {
				out = c.tryIssue(now, out, RecordExport{Service: s.Name, Range: r})
			}
		}
	}
	return out
}

// publishRoster publishes the local voters of the cell for the entries of other
// cells, if they have changed.
func (c *Core) publishRoster(now time.Time, out []Command) []Command {
	known := c.rosters[c.self.Cell]
	if known != nil && slices.Equal(known.Members, c.doc.Quorum.Local) {
		return out
	}
	next := cell.Roster{
		Cell:    c.self.Cell,
		Domain:  c.self.Domain,
		Version: c.doc.Version,
		WriteID: c.newID(),
		Members: c.doc.Quorum.Local,
	}
	return c.tryIssue(now, out, PublishRoster{Roster: next})
}
