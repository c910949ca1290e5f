package ownership

import (
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/state/spans"
)

const (
	// maxClockSlowdown is the factor by which the clock of an upstream that measures a grant
	// may run slower than the local clock.
	maxClockSlowdown = 1.02
	// grantTransitMargin is added to the end of a grant for the time that its call is in transit.
	grantTransitMargin = 200 * time.Millisecond
)

// HoldWithMargin returns how long an upstream may hold keys after a grant of the given duration has
// arrived, measured by the local clock.
func HoldWithMargin(hold time.Duration) time.Duration {
	return time.Duration(float64(hold)*maxClockSlowdown) + grantTransitMargin
}

// Holds records which upstream may hold each key by the grants of one leader, and until when. It
// records by key, not by span, because spans are split and moved while grants for them are in flight.
// A grant is recorded before it is sent: until it has ended it counts as one that has just arrived.
//
// No key is granted to an upstream while another one may hold it. It is not safe for concurrent use.
type Holds struct {
	began time.Time
	// upstreams are the numbers of upstreams in keys; ids is the reverse. Number 0 is no upstream.
	upstreams map[string]int32
	ids       []string
	// addresses are the numbers of addresses in keys.
	addresses map[string]int32
	keys      [spans.MaxKey + 1]keyHold
	inFlight  map[*GrantCall]struct{}
}

// Process is where an upstream is called. An upstream that has restarted keeps its ID and may have another
// address.
type Process struct{ ID, Address string }

// keyHold is the latest hold of one key.
type keyHold struct {
	// until is measured from the creation of the Holds.
	until time.Duration
	// fence is the highest one with which the upstream was granted the key, address the one it was
	// granted at.
	fence             uint64
	upstream, address int32
}

// GrantCall is a grant in flight.
type GrantCall struct {
	keys  spans.KeyRange
	to    Process
	fence uint64
	hold  time.Duration
	// revoked are keys that the upstream has released since by a higher fence: it refuses the call.
	revoked []spans.KeyRange
	// ended is set if the process that was called has ended.
	ended bool
}

// HeldError reports that keys cannot be granted because another upstream may hold one of them.
type HeldError struct {
	Upstream string
	Until    time.Time
}

func (e *HeldError) Error() string {
	return fmt.Sprintf("upstream %s may hold the keys until %s", e.Upstream, e.Until.Format(time.RFC3339Nano))
}

// NewHolds returns a Holds without any holds. began is the current time.
func NewHolds(began time.Time) *Holds {
	return &Holds{began: began, upstreams: make(map[string]int32), ids: []string{""}, addresses: make(map[string]int32), inFlight: make(map[*GrantCall]struct{})}
}

// Begin records a grant that is about to be sent. It returns a *HeldError if another upstream may hold
// one of the keys.
func (h *Holds) Begin(now time.Time, keys spans.KeyRange, to Process, fence uint64, hold time.Duration) (*GrantCall, error) {
	if other, until := h.Other(now, keys, to.ID); other != "" {
		return nil, &HeldError{Upstream: other, Until: until}
	}
	c := &GrantCall{keys: keys, to: to, fence: fence, hold: hold}
	h.inFlight[c] = struct{}{}
	return c, nil
}

// End records the end of a grant. arrived reports whether the upstream may have accepted it.
func (h *Holds) End(now time.Time, c *GrantCall, arrived bool) {
	delete(h.inFlight, c)
	if !arrived || c.ended {
		return
	}
	ends := keyHold{
		until: now.Add(HoldWithMargin(c.hold)).Sub(h.began), fence: c.fence, upstream: h.number(c.to.ID), address: h.addressNumber(c.to.Address),
	}
	for key := int(c.keys.First); key <= int(c.keys.Last); key++ {
		if !c.isRevoked(uint16(key)) {
			h.keys[key] = h.keys[key].extend(ends)
		}
	}
}

// extend returns the hold after a grant that has ended. Grants to an earlier start of the upstream, which may
// end later, have lower fences.
func (k keyHold) extend(by keyHold) keyHold {
	if k.upstream != by.upstream {
		return by
	}
	until := max(k.until, by.until)
	if k.fence > by.fence {
		by = k
	}
	by.until = until
	return by
}

// Release records that the upstream has released the keys and refuses grants with a lower fence.
func (h *Holds) Release(keys spans.KeyRange, upstream string, fence uint64) {
	number := h.number(upstream)
	for key := int(keys.First); key <= int(keys.Last); key++ {
		if h.keys[key].upstream == number {
			h.keys[key] = keyHold{}
		}
	}
	for c := range h.inFlight {
		if c.to.ID == upstream && c.fence < fence && c.keys.Overlaps(keys) {
			c.revoked = append(c.revoked, keys)
		}
	}
}

// Terminated records that the process has ended and holds nothing. Another process of the same upstream may
// run at another address.
func (h *Holds) Terminated(p Process) {
	upstream, address := h.number(p.ID), h.addressNumber(p.Address)
	for key := range h.keys {
		if k := &h.keys[key]; k.upstream == upstream && k.address == address {
			*k = keyHold{}
		}
	}
	for c := range h.inFlight {
		if c.to == p {
			c.ended = true
		}
	}
}

// Until returns until when the upstream may hold one of the keys; the zero time if it holds none. While
// a grant to it is in flight, that is the time for a grant that arrives now.
func (h *Holds) Until(now time.Time, keys spans.KeyRange, upstream string) time.Time {
	number, latest := h.number(upstream), keyHold{}
	for _, k := range h.keys[int(keys.First) : int(keys.Last)+1] {
		if k.upstream == number && k.until > latest.until {
			latest = k
		}
	}
	until := h.timeOf(latest)
	for c := range h.inFlight {
		if at := now.Add(HoldWithMargin(c.hold)); c.to.ID == upstream && c.mayTakeEffect(keys) && at.After(until) {
			until = at
		}
	}
	return until
}

// Other returns an upstream other than the given one that may hold one of the keys now, and until when;
// "" if there is none.
func (h *Holds) Other(now time.Time, keys spans.KeyRange, except string) (upstream string, until time.Time) {
	for c := range h.inFlight {
		if c.to.ID != except && c.mayTakeEffect(keys) {
			return c.to.ID, now.Add(HoldWithMargin(c.hold))
		}
	}
	number, since := h.number(except), now.Sub(h.began)
	for i := int(keys.First); i <= int(keys.Last); i++ {
		if k := &h.keys[i]; k.upstream != number && k.upstream != 0 && k.until > since {
			return h.ids[k.upstream], h.timeOf(*k)
		}
	}
	return "", time.Time{}
}

// timeOf returns the end of a hold; the zero time if there is none.
func (h *Holds) timeOf(k keyHold) time.Time {
	if k.upstream == 0 {
		return time.Time{}
	}
	return h.began.Add(k.until)
}

// number returns the number of the upstream, and assigns one if it has none.
func (h *Holds) number(upstream string) int32 {
	n, ok := h.upstreams[upstream]
	if !ok && upstream != "" {
		n = int32(len(h.ids))
		h.upstreams[upstream] = n
		h.ids = append(h.ids, upstream)
	}
	return n
}

// addressNumber returns the number of the address, and assigns one if it has none.
func (h *Holds) addressNumber(address string) int32 {
	n, ok := h.addresses[address]
	if !ok {
		n = int32(len(h.addresses) + 1)
		h.addresses[address] = n
	}
	return n
}

// mayTakeEffect reports whether the grant may give its upstream one of the keys.
func (c *GrantCall) mayTakeEffect(keys spans.KeyRange) bool {
	if c.ended || !c.keys.Overlaps(keys) {
		return false
	}
	if len(c.revoked) == 0 {
		return true
	}
	for key := int(max(keys.First, c.keys.First)); key <= int(min(keys.Last, c.keys.Last)); key++ {
		if !c.isRevoked(uint16(key)) {
			return true
		}
	}
	return false
}

func (c *GrantCall) isRevoked(key uint16) bool {
	for _, keys := range c.revoked {
		if keys.Contains(key) {
			return true
		}
	}
	return false
}
