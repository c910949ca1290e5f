package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/leadership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
)

// This file removes the entries of upstreams while the leader is suspended, and checks that they get no
// requests for longer than they may.

// stableTime is how long before a removal a gateway and its path to the store must have had no fault for the
// check.
const stableTime = 3 * time.Second

// servesRemoved is how long an upstream serves on after its entry was removed without a notice.
const servesRemoved = 3 * upstreamDrain

// leader returns the gateway that holds the lease, or nil.
func (d *deployment) leader() *gateway {
	var lease leadership.Lease
	if err := json.Unmarshal(d.store.Spec(leadership.StoreKind, leadership.StoreName), &lease); err != nil {
		return nil
	}
	for _, g := range d.gateways {
		if g.name == lease.Node {
			return g
		}
	}
	return nil
}

// removeWithoutLeader suspends the leader for a duration and removes the entry of an upstream, which goes on
// serving and announces nothing. It does nothing if the leader or the upstream has another fault.
func (d *deployment) removeWithoutLeader(u *upstream, pause time.Duration) error {
	leader := d.leader()
	if leader == nil || !leader.beginFault() {
		return nil
	}
	if !u.changing.CompareAndSwap(false, true) {
		leader.endFault()
		return nil
	}
	var suspension sync.WaitGroup
	var suspendErr error
	suspension.Go(func() {
		defer leader.endFault()
		leader.faults.record(func() { suspendErr = leader.pauseFor(pause) })
	})
	d.store.Remove(platform.InstancesKind, u.ID)
	u.removedAt = time.Now()
	err := d.endRemoved(u, servesRemoved)
	suspension.Wait()
	return errors.Join(suspendErr, err)
}

// requestsAfterRemoval returns the requests that a gateway sent to an upstream later than upstreamDrain after
// the store had taken the removal of its entry. Requests are not checked if the gateway, or the store, had a
// fault that kept it from learning of the removal.
func (l *requestLog) requestsAfterRemoval(u *upstream, g *gateway, arrivals []instance.Arrival, store *faultIntervals) []string {
	if u.removedAt.IsZero() {
		return nil
	}
	var out []string
	since := u.removedAt.Add(-stableTime)
	for _, arrival := range arrivals {
		after := l.byID[arrival.RequestID].sent.Sub(u.removedAt)
		excused := g.faults.overlaps(since, arrival.ReceivedAt) || g.storeFaults.overlaps(since, arrival.ReceivedAt) || store.overlaps(since, arrival.ReceivedAt)
		if after > upstreamDrain && !excused {
			out = append(out, fmt.Sprintf("request %s reached %s by %s %s after the removal of its entry", arrival.RequestID, u.ID, g.name, after))
		}
	}
	return out
}
