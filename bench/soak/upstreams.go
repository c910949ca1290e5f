package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/relay"
)

// This file starts, restarts, replaces and ends the stand-in upstreams.

// upstream is one process of a stand-in upstream, behind a relay.
type upstream struct {
	*instance.Instance
	service string
	domain  string
	relay   *relay.Relay
	server  *http.Server
	// startTime is when the process started.
	startTime time.Time
	// pathFaults records when the path from the gateways to it had a fault.
	pathFaults faultIntervals
	// changing is set while it is being replaced or restarted.
	changing atomic.Bool
	// removedAt is when its entry was removed without a notice; zero if it was not. It is read after the run.
	removedAt time.Time
}

// newUpstreamID returns an ID that is unique among runs beside each other: a port that one of them has given up may be
// taken by another one, whose upstreams must not run its requests.
func (d *deployment) newUpstreamID(service string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreamsStarted++
	return fmt.Sprintf("i-%s-%d-%d", service, os.Getpid(), d.upstreamsStarted)
}

// addUpstream starts an upstream with a new ID.
func (d *deployment) addUpstream(service, domain string) error {
	u, err := d.startUpstream(d.newUpstreamID(service), service, domain, nil)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.upstreams = append(d.upstreams, u)
	d.mu.Unlock()
	return nil
}

// startUpstream starts the process of an upstream and registers it. It is behind the given relay, that of an upstream
// whose address it takes over, or behind one of its own if that is nil.
func (d *deployment) startUpstream(id, service, domain string, r *relay.Relay) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if r != nil {
		r.Retarget(l.Addr().String())
	} else if r, err = relay.NewAt(relayIP(), l.Addr().String()); err != nil {
		return nil, err
	}
	u := &upstream{
		Instance: instance.New(id, service == keyedService, requestDuration, d.oracle),
		service:  service, domain: domain, relay: r, startTime: time.Now(),
	}
	d.setCrashHandler(u)
	d.mu.Lock()
	d.allUpstreams = append(d.allUpstreams, u)
	d.applyLinks(u)
	u.SetResponseFaults(d.responseFaults)
	d.mu.Unlock()
	u.server = &http.Server{Handler: u.Instance, ConnContext: instance.WithConn}
	// Serve ends with the process or when the server is closed, so its error carries no
	// information.
	go func() { _ = u.server.Serve(l) }()
	d.register(u, "ready")
	return u, nil
}

// relayIP returns the loopback address of the relays to upstreams. It is that of this run alone: the port of a relay
// that was closed is still known to gateways for a while, and on a common address something that no cut applies to
// could take it over.
func relayIP() string {
	const octet = 256
	return fmt.Sprintf("127.78.%d.%d", os.Getpid()/octet%octet, os.Getpid()%octet)
}

// restartUpstream ends the process of an upstream and, after the downtime, starts it again
// with the same ID at another address. It does nothing if the upstream is already being
// replaced or restarted.
func (d *deployment) restartUpstream(u *upstream, downtime time.Duration) error {
	if !u.changing.CompareAndSwap(false, true) {
		return nil
	}
	return d.restartClaimed(u, downtime)
}

// restartClaimed is restartUpstream for a caller that has set the upstream's changing flag.
func (d *deployment) restartClaimed(u *upstream, downtime time.Duration) error {
	u.relay.Close()
	err := u.server.Close()
	u.Terminate()
	time.Sleep(downtime)
	next, startErr := d.startUpstream(u.ID, u.service, u.domain, nil)
	if startErr != nil {
		return errors.Join(err, startErr)
	}
	d.replaceInList(u, next)
	return err
}

// replaceInList puts an upstream into the place of another one in the list of the current ones.
func (d *deployment) replaceInList(former, next *upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.upstreams, former); i >= 0 {
		d.upstreams[i] = next
	}
}

// takeOverAddress ends the process of an upstream and starts another one, with an ID of its own, at the same address.
// The entry of the former one is removed after a duration. It does nothing if the upstream is already being replaced
// or restarted.
func (d *deployment) takeOverAddress(u *upstream, entryLasts time.Duration) error {
	if !u.changing.CompareAndSwap(false, true) {
		return nil
	}
	u.Terminate()
	next, startErr := d.startUpstream(d.newUpstreamID(u.service), u.service, u.domain, u.relay)
	err := u.server.Close()
	if startErr != nil {
		return errors.Join(err, startErr)
	}
	d.replaceInList(u, next)
	time.Sleep(entryLasts)
	d.store.Remove(platform.InstancesKind, u.ID)
	return err
}

// register writes the instance document of an upstream to the store.
func (d *deployment) register(u *upstream, state string) {
	var body platform.InstanceBody
	body.Address, body.StartedMs = u.relay.Addr(), uint64(u.startTime.UnixMilli())
	body.Info.Service, body.Info.Zone, body.Info.Slots = u.service, u.domain, slots
	body.Status.State = state
	d.store.Put(platform.InstancesKind, u.ID, body)
}

// upstreamAt returns the current upstream with index n modulo their number.
func (d *deployment) upstreamAt(n int) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[n%len(d.upstreams)]
}

// replaceUpstream removes an upstream as the platform does, and starts another one. The
// upstream announces in its responses that it leaves; announce may also announce it in the
// store.
func (d *deployment) replaceUpstream(u *upstream, announce func()) error {
	if !u.changing.CompareAndSwap(false, true) {
		return nil
	}
	u.AnnounceLeaving()
	announce()
	time.Sleep(leaveDuration)
	d.store.Remove(platform.InstancesKind, u.ID)
	return d.endRemoved(u, leaveDuration)
}

// endRemoved starts another upstream in place of one whose entry has been removed, and ends that one after a
// duration in which it serves on.
func (d *deployment) endRemoved(u *upstream, serves time.Duration) error {
	d.mu.Lock()
	for i, other := range d.upstreams {
		if other == u {
			d.upstreams = append(d.upstreams[:i:i], d.upstreams[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	if err := d.addUpstream(u.service, u.domain); err != nil {
		return err
	}
	time.Sleep(serves)
	u.relay.Close()
	u.Terminate()
	return u.server.Close()
}

// leaveDuration is how long an upstream stays registered after it has announced that it
// leaves, and how long it continues to serve after its removal.
const leaveDuration = 2500 * time.Millisecond

func (d *deployment) recordRestartError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restartErrs = append(d.restartErrs, err)
}
