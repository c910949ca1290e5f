package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// This file checks whether upstreams on which runs were aborted have ended.

// maxEndChecks bounds the upstreams that are checked at the same time, for each kind of check.
const maxEndChecks = 8

// checks holds the upstreams that are being checked. It is safe for concurrent use.
type checks struct {
	mu        sync.Mutex
	upstreams map[string]bool
}

// begin reports whether a check of an upstream may begin: none is in progress, and not too many of others.
func (c *checks) begin(upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upstreams[upstream] || len(c.upstreams) >= maxEndChecks {
		return false
	}
	if c.upstreams == nil {
		c.upstreams = make(map[string]bool)
	}
	c.upstreams[upstream] = true
	return true
}

func (c *checks) end(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upstreams, upstream)
}

// checkAborted connects in the background to an upstream on which a run was aborted. Requests would show
// later that it has ended, as they avoid it now, and the aborted one may be sent elsewhere meanwhile.
func (s *suspects) checkAborted(inst instances.Instance) {
	if s.probeLink == nil || !s.aborted.begin(inst.ID) {
		return
	}
	go func() {
		accepted, err := s.probeLink(context.Background(), inst.Address)
		s.aborted.end(inst.ID)
		switch {
		case err == nil:
			s.mu.Lock()
			s.book.ConnectionAccepted(accepted, inst.ID, inst.Incarnation())
			s.mu.Unlock()
		case errors.Is(err, pool.ErrRefused):
			s.dialRefused(inst)
		}
	}()
}

// dialRefused records that an upstream on which a run was aborted, here or at another gateway, refused a
// connection, and checks whether it has ended.
func (s *suspects) dialRefused(inst instances.Instance) {
	s.mu.Lock()
	now := s.now()
	s.book.DialRefused(now, inst.ID)
	possible := s.book.EndPossible(now, inst.ID, inst.Incarnation())
	s.mu.Unlock()
	if possible {
		s.reportNow()
	}
	s.confirmEnd(inst, now)
}

// endCheckers is the number of gateways that check an end which another one has reported as possible.
const endCheckers = 3

// checkForOther checks an end that another gateway has reported as possible. That one may be unable to confirm
// it, as it is cut off from other upstreams.
func (s *suspects) checkForOther(p poison.PossibleEnd) {
	v := s.view.inst.Load()
	if v == nil {
		return
	}
	inst := v.Get(p.Upstream)
	if inst == nil || inst.Incarnation() != p.Incarnation {
		return
	}
	s.mu.Lock()
	chosen := s.rng.Float64()*float64(s.gateways()) < endCheckers
	s.mu.Unlock()
	if chosen {
		s.checkAborted(*inst)
	}
}

// confirmEnd checks in the background whether the end of an upstream whose address refused a connection
// at the given time is likely: a few other upstreams, of its failure domain if there are any, all take
// connections from here. Otherwise this gateway may be cut off from some of them. It does nothing
// while such a check is in progress.
func (s *suspects) confirmEnd(refused instances.Instance, at time.Time) {
	if s.probeLink == nil || !s.confirming.begin(refused.ID) {
		return
	}
	addresses := s.confirmingAddresses(refused)
	go func() {
		defer s.confirming.end(refused.ID)
		if !s.allAccept(addresses) {
			s.meters.inc(suspectsUnconfirmed)
			s.log.Info("end of an upstream is not confirmed", "upstream", refused.ID, "asked", len(addresses))
			return
		}
		s.mu.Lock()
		crashes := s.book.UpstreamEnded(at, refused.ID, refused.Incarnation(), poison.RefusedDial)
		urgent := s.isUrgent(crashes)
		s.mu.Unlock()
		if urgent {
			s.reportNow()
		}
		s.logCrashes(crashes, poison.RefusedDial)
	}()
}

// allAccept reports whether there are addresses and all of them accept a connection from here.
func (s *suspects) allAccept(addresses []string) bool {
	var all sync.WaitGroup
	var failed atomic.Bool
	for _, addr := range addresses {
		all.Go(func() {
			if _, err := s.probeLink(context.Background(), addr); err != nil {
				failed.Store(true)
			}
		})
	}
	all.Wait()
	return len(addresses) > 0 && !failed.Load()
}

// confirmingAddresses returns the addresses of the upstreams that must take a connection to confirm the
// end of the given one.
func (s *suspects) confirmingAddresses(refused instances.Instance) []string {
	v := s.view.inst.Load()
	if v == nil {
		return nil
	}
	var same, others []poison.End
	for inst := range v.All() {
		process := poison.End{Upstream: inst.ID, Incarnation: inst.Incarnation()}
		switch {
		case inst.ID == refused.ID:
		case inst.Domain == refused.Domain:
			same = append(same, process)
		default:
			others = append(others, process)
		}
	}
	if len(same) == 0 {
		same = others
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	var out []string
	for _, id := range s.book.Confirming(s.now(), same) {
		out = append(out, v.Get(id).Address)
	}
	return out
}
