package controller

import (
	"slices"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/state/cell"
)

// Limits of the witness set. It is small because the controller asks every witness
// about each fence that stays unsettled, and spread over cells because a whole
// failure domain may be cut off at once.
const (
	maxWitnesses     = 5
	witnessesPerCell = 2
)

// Leads reports whether this entry runs the controller of its cell, that is, whether
// it has the lowest ID among the voters in contact. Without a document or a voter in
// contact, the lowest ID of all entries counts. Two entries may lead at once for a
// short time.
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
// controller and its successor.
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

// reportsNeeded returns how many entries must have reported on an upstream before it
// can be declared lost: half of the live voters, rounded up.
func (c *Core) reportsNeeded(now time.Time) int {
	live := 0
	for _, m := range c.doc.Quorum.Local {
		if h, ok := c.contacts[m.ID]; m.ID == c.self.ID || ok && c.inContact(now, h) {
			live++
		}
	}
	return (live + 1) / 2
}

// isLowest reports whether this entry has the lowest ID of the entries of the cell
// that are in contact and accepted by among.
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

// inContact reports whether the member was heard from within MemberTTL.
func (c *Core) inContact(now time.Time, h contact) bool {
	return now.Sub(h.lastContact) < c.limits.MemberTTL
}

// voters returns the voters of all quorums of the known document.
func (c *Core) voters() []cell.Member {
	if c.settlement == nil {
		return nil
	}
	return c.settlement.Voters()
}

// canSettle reports whether enough voters are in contact for a new fence to become
// settled. Without this check a controller that is cut off could remove votes and
// ranges that it cannot assign again. Previous quorums count until the current fence
// is settled; after that no entry relies on them.
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

// halfInContact reports whether at least half of the members are in contact or are
// known to have ended.
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

// desiredQuorum returns the quorum that the cell should have: its live entries as local
// voters and, if there are witnesses, these entries and the witnesses as wide voters.
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

// chooseWitnesses selects voters of other cells as witnesses. Current witnesses that
// are still on the roster of their cell are kept, so that the set changes rarely.
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
