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

// Step returns the commands to carry out now. It is called after events and at
// regular intervals.
func (c *Core) Step(now time.Time) []Command {
	if !c.Leads(now) {
		return nil
	}
	if c.doc == nil {
		return c.bootstrap(now)
	}
	if c.settler != nil && !c.settled {
		c.settled = c.settler.Settled(now, c.silentGrace())
	}
	var out []Command
	if c.canSettle(now) && c.free(now, Write{}) {
		if doc := c.edit(now); doc != nil {
			out = c.issue(out, Write{Doc: doc, Expect: c.version})
			return out
		}
	}
	out = c.distribute(now, out)
	out = c.revoke(now, out)
	out = c.grant(now, out)
	out = c.prepare(now, out)
	out = c.resets(now, out)
	out = c.redirects(now, out)
	return c.roster(now, out)
}

func (c *Core) free(now time.Time, cmd Command) bool {
	return !c.busy[cmd.key()] && !now.Before(c.retryAt[cmd.key()])
}

func (c *Core) issue(out []Command, cmd Command) []Command {
	c.busy[cmd.key()] = true
	return append(out, cmd)
}

func (c *Core) issueFree(now time.Time, out []Command, cmd Command) []Command {
	if !c.free(now, cmd) {
		return out
	}
	return c.issue(out, cmd)
}

func (c *Core) bootstrap(now time.Time) []Command {
	if !c.missing || !c.free(now, Write{}) {
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
	return c.issue(nil, Write{Doc: doc})
}

// entriesClear reports whether no entry can send to a range that is being
// released, and none has a request to it in flight.
func (c *Core) entriesClear(service string, span keyspace.Span) bool {
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

// released reports whether the owner of a releasing range certainly holds it
// no more.
func (c *Core) released(now time.Time, service string, r cell.Range) bool {
	if !c.settled {
		return false
	}
	u := c.doc.Upstream(r.Owner)
	if u == nil || u.State == cell.Lost {
		return c.lapsed(now, service, r)
	}
	return c.entriesClear(service, r.Span) && c.revoked[rangeID{service, r.Span, r.Epoch, r.Owner}]
}

// lapsed reports whether a lost upstream certainly serves nothing of the range
// any more.
func (c *Core) lapsed(now time.Time, service string, r cell.Range) bool {
	reset := c.reset[r.Owner] != ""
	switch {
	case c.evicted[r.Owner]:
		return true
	case c.services.ChecksFences(service):
		return reset || !now.Before(c.leases[r.Owner])
	case c.detector.Assess(now, r.Owner, "", c.reportsNeeded(now)).Health == detect.Gone:
		return true
	}
	// The process lives and does not check what it is sent: a reset does not
	// stop requests that are under way to it.
	return reset && c.entriesClear(service, r.Span)
}

// distribute hands the document to the voters of the cell, and the fence to
// the witnesses when the voters alone do not settle it.
func (c *Core) distribute(now time.Time, out []Command) []Command {
	for _, m := range c.voters() {
		if c.isDead(m.ID) {
			continue
		}
		if m.Cell == c.self.Cell {
			a := c.applied[m.ID]
			if a.Version < c.doc.Version || len(a.Busy) > 0 {
				out = c.issueFree(now, out, Apply{To: m, Doc: c.doc, DrainWait: c.limits.DrainWait})
			}
			continue
		}
		if !c.settled && !c.settler.Acked(m.ID) && now.Sub(c.fenceSeen) >= c.limits.WideAfter {
			out = c.issueFree(now, out, Raise{To: m, Fence: c.doc.Fence})
		}
	}
	return out
}

// revoke takes ranges back from living owners once no entry sends to them.
func (c *Core) revoke(now time.Time, out []Command) []Command {
	for _, u := range c.doc.Upstreams {
		if u.State == cell.Lost {
			continue
		}
		var list []control.Revocation
		for _, r := range rangesOf(c.doc, u.Service) {
			id := rangeID{u.Service, r.Span, r.Epoch, u.ID}
			if r.Phase == cell.Releasing && r.Owner == u.ID && !c.revoked[id] && c.entriesClear(u.Service, r.Span) {
				list = append(list, control.Revocation{Service: u.Service, Span: r.Span, Epoch: r.Epoch})
			}
		}
		if len(list) > 0 {
			out = c.issueFree(now, out, SendRevocations{Upstream: u, Revocations: list})
		}
	}
	return out
}

func rangesOf(doc *cell.Cell, service string) []cell.Range {
	if s := doc.Service(service); s != nil {
		return s.Ranges
	}
	return nil
}

// grant sends the grants of ranges whose former owner has released them.
func (c *Core) grant(now time.Time, out []Command) []Command {
	for _, u := range c.doc.Upstreams {
		if u.State == cell.Lost || u.Boot == "" {
			continue
		}
		var list []control.Grant
		for _, r := range rangesOf(c.doc, u.Service) {
			if r.Next != u.ID || c.granted[rangeID{u.Service, r.Span, r.Epoch + 1, u.ID}] {
				continue
			}
			if r.Phase == cell.Vacant || r.Phase == cell.Releasing && c.released(now, u.Service, r) {
				list = append(list, control.Grant{Service: u.Service, Span: r.Span, Epoch: r.Epoch + 1})
			}
		}
		if len(list) > 0 {
			out = c.issueFree(now, out, SendGrants{Upstream: u, Grants: list})
		}
	}
	return out
}

// prepare warms up the new owners of wanted moves.
func (c *Core) prepare(now time.Time, out []Command) []Command {
	byOwner := make(map[string][]control.Grant)
	for _, m := range c.moves {
		if m.To == "" || !c.usable(m.To) || c.isPrepared(now, m) {
			continue
		}
		byOwner[m.To] = append(byOwner[m.To], control.Grant{Service: m.Service, Span: m.Span, Prepare: true})
	}
	for _, id := range sortedKeys(byOwner) {
		out = c.issueFree(now, out, SendGrants{Upstream: *c.doc.Upstream(id), Grants: byOwner[id]})
	}
	return out
}

// resets clears upstreams that join or come back, before they count.
func (c *Core) resets(now time.Time, out []Command) []Command {
	for _, u := range c.doc.Upstreams {
		if u.Boot != "" || c.reset[u.ID] != "" || c.draining[u.ID] {
			continue
		}
		if u.State == cell.Lost && c.detector.Assess(now, u.ID, "", 1).Health != detect.Alive {
			continue
		}
		out = c.issueFree(now, out, Reset{Upstream: u})
	}
	return out
}

// redirects records exported ranges in their directory.
func (c *Core) redirects(now time.Time, out []Command) []Command {
	for _, s := range c.doc.Services {
		for _, r := range s.Ranges {
			if r.Phase == cell.Exported {
				out = c.issueFree(now, out, Redirect{Service: s.Name, Range: r})
			}
		}
	}
	return out
}

// roster publishes the members of the cell for the entries of other cells.
func (c *Core) roster(now time.Time, out []Command) []Command {
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
	return c.issueFree(now, out, Publish{Roster: next})
}
