package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/state/cell"
)

// Sizes of the witness set: few, because each is asked at every unsettled
// fence, and spread, because a domain may be cut off whole.
const (
	maxWitnesses     = 5
	witnessesPerCell = 2
)

// Leads reports whether this entry runs the controller of its cell: it has the
// lowest ID of the voters heard lately. Two may believe so for a while.
func (c *Core) Leads(now time.Time) bool {
	if c.doc == nil {
		return c.isLowest(now, func(string) bool { return true })
	}
	if c.isLowest(now, c.doc.Quorum.HasLocal) {
		return true
	}
	if c.doc.Quorum.HasLocal(c.self.ID) || c.anyVoterInContact(now) {
		return false
	}
	return c.isLowest(now, func(string) bool { return true })
}

// Leaders returns the live voters with the lowest and the second lowest ID: the
// controller and the one that would follow it.
func (c *Core) Leaders(now time.Time) []cell.Member {
	if c.doc == nil {
		return nil
	}
	var out []cell.Member
	for _, m := range c.doc.Quorum.Local {
		h, ok := c.contacts[m.ID]
		if m.ID == c.self.ID || ok && c.inContact(now, h) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, compareMembers)
	return out[:min(2, len(out))]
}

// reportsNeeded is the number of entries that must have reported on an upstream
// before it can be lost: half of the live voters.
func (c *Core) reportsNeeded(now time.Time) int {
	live := 0
	for _, m := range c.doc.Quorum.Local {
		if h, ok := c.contacts[m.ID]; m.ID == c.self.ID || ok && c.inContact(now, h) {
			live++
		}
	}
	return (live + 1) / 2
}

func (c *Core) isLowest(now time.Time, among func(string) bool) bool {
	if !among(c.self.ID) {
		return false
	}
	for id, h := range c.contacts {
		if h.member.Cell == c.self.Cell && id < c.self.ID && among(id) && c.inContact(now, h) {
			return false
		}
	}
	return true
}

func (c *Core) anyVoterInContact(now time.Time) bool {
	for _, m := range c.doc.Quorum.Local {
		if h, ok := c.contacts[m.ID]; ok && c.inContact(now, h) {
			return true
		}
	}
	return false
}

func (c *Core) inContact(now time.Time, h contact) bool {
	return now.Sub(h.lastContact) < c.limits.MemberTTL
}

// voters returns everyone who votes in the known document, in any quorum.
func (c *Core) voters() []cell.Member {
	if c.settlement == nil {
		return nil
	}
	return c.settlement.Voters()
}

// canSettle reports whether enough voters are in contact for a new fence to
// become settled. Without that, a controller that is cut off would only take
// votes and ranges away that nobody can hand out again. Former quorums count
// until the present fence is settled: nobody follows them after that.
func (c *Core) canSettle(now time.Time) bool {
	quorums := []cell.Quorum{c.doc.Quorum}
	if !c.settled {
		quorums = append(quorums, c.doc.Previous...)
	}
	for _, q := range quorums {
		if !c.halfInContact(now, q.Local) || !c.halfInContact(now, q.Wide) {
			return false
		}
	}
	return true
}

func (c *Core) halfInContact(now time.Time, set []cell.Member) bool {
	count := 0
	for _, m := range set {
		h, ok := c.contacts[m.ID]
		if m.ID == c.self.ID || c.isDead(m.ID) || ok && c.inContact(now, h) {
			count++
		}
	}
	return 2*count >= len(set)
}

// wantedQuorum returns the live entries of the cell, and the witnesses.
func (c *Core) desiredQuorum(now time.Time) cell.Quorum {
	q := cell.Quorum{Local: []cell.Member{c.self}}
	for _, h := range c.contacts {
		if h.member.Cell == c.self.Cell && h.member.ID != c.self.ID && c.inContact(now, h) {
			q.Local = append(q.Local, h.member)
		}
	}
	slices.SortFunc(q.Local, compareMembers)
	witnesses := c.chooseWitnesses()
	if len(witnesses) > 0 {
		q.Wide = append(slices.Clone(q.Local), witnesses...)
	}
	return q
}

func compareMembers(a, b cell.Member) int { return strings.Compare(a.ID, b.ID) }

// witnesses picks voters of other cells. Current witnesses that still stand in
// their own cell's document are kept, so that the set changes rarely.
func (c *Core) chooseWitnesses() []cell.Member {
	var out []cell.Member
	perCell := make(map[string]int)
	add := func(m cell.Member) {
		known := slices.ContainsFunc(out, func(o cell.Member) bool { return o.ID == m.ID })
		if known || m.Cell == c.self.Cell || len(out) >= maxWitnesses || perCell[m.Cell] >= witnessesPerCell {
			return
		}
		perCell[m.Cell]++
		out = append(out, m)
	}
	if c.doc != nil {
		for _, m := range c.doc.Quorum.Wide {
			if other := c.rosters[m.Cell]; other != nil && slices.Contains(other.Members, m) {
				add(m)
			}
		}
	}
	for round := range witnessesPerCell {
		for _, name := range sortedKeys(c.rosters) {
			members := c.rosters[name].Members
			if round < len(members) {
				add(members[round])
			}
		}
	}
	slices.SortFunc(out, compareMembers)
	return out
}

func sameQuorum(a, b cell.Quorum) bool {
	return slices.Equal(a.Local, b.Local) && sameSet(a.Wide, b.Wide)
}

func sameSet(a, b []cell.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.Contains(b, m) {
			return false
		}
	}
	return true
}
