package lab

import (
	"fmt"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// run is one request at an upstream.
type run struct {
	call     *call
	upstream *upstream
	// reply delivers the outcome; it is called at most once.
	reply func(dispatch.Outcome)
	// load is the load that the upstream reported with its response, or nil.
	load *instances.Load
	// limit is the rate limit that the upstream named with its response, if limitNamed.
	limit      float64
	limitNamed bool
	started    time.Duration
	running    bool
	ended      bool
}

// upstream runs a limited number of requests at once, queues some and rejects the rest.
type upstream struct {
	sim      *simulation
	service  *Service
	instance instances.Instance
	speed    float64
	// slowdown is the factor of an active disturbance, otherwise 1.
	slowdown float64
	// warmUntil is the end of the warm-up; warmUpArrivals are the recent arrivals during it.
	warmUntil      time.Duration
	warmUpArrivals []time.Duration
	// noise is the current slowdown of its machine, normally 1.
	noise            float64
	silent, refusing bool
	leaving          bool
	failedAt         time.Duration
	running          []*run
	queue            []*run
	busy             time.Duration
	peak             int
	suspectedLost    bool
	// arrived and rejected count requests, opened the connections for them; senders are the gateways
	// that sent requests.
	arrived, rejected, opened int
	senders                   map[int]bool
	// arrivals are the times of recent arrivals; limit is the rate limit that it names, or nil.
	arrivals []time.Duration
	limit    *namedLimit
}

// failureDomains is the number of failure domains of every scenario.
const failureDomains = 4

func newUpstream(sim *simulation, s *Service, i int) *upstream {
	speed := 1.0
	if len(s.Speeds) > 0 {
		// Each failure domain gets all speeds.
		speed = s.Speeds[(i/failureDomains+i)%len(s.Speeds)]
	}
	u := &upstream{
		sim: sim, service: s, speed: speed, slowdown: 1, noise: 1, senders: make(map[int]bool),
		instance: instances.Instance{
			ID: fmt.Sprintf("%s-%d", s.Name, i), Service: s.Name, Slots: s.Slots,
			Domain: domainName(i % failureDomains),
		},
	}
	if s.NoiseShare > 0 {
		// The machines change at different times.
		sim.after(time.Duration(sim.noiseRNG.Float64()*float64(s.NoiseEvery.D())), u.redrawNoise)
	}
	return u
}

// redrawNoise periodically draws the noise of the machine.
func (u *upstream) redrawNoise() {
	u.noise = 1
	if u.sim.noiseRNG.Float64() < u.service.NoiseShare {
		u.noise = u.service.NoiseFactor
	}
	u.sim.after(u.service.NoiseEvery.D(), u.redrawNoise)
}

// reportedLoad returns the load reported with a response, or nil if the service reports none.
func (u *upstream) reportedLoad() *instances.Load {
	if !u.service.ReportsLoad {
		return nil
	}
	return &instances.Load{Running: len(u.running), Waiting: len(u.queue), Slots: u.service.Slots, Slowness: u.noise / u.speed}
}

func domainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// receive handles a request from a gateway.
func (u *upstream) receive(r *run) {
	u.recordArrival()
	u.arrived++
	if u.service.Keyed {
		u.sim.tally.ownerArrivals++
	}
	switch {
	case r.ended || u.silent:
		return
	case u.refusing:
		u.respond(r, dispatch.ConnectionRefused)
	case u.failIfOverloaded():
		u.respond(r, dispatch.ConnectionBroken)
	case u.service.Keyed && !u.owns(r.call.key):
		u.respond(r, dispatch.NotOwner)
	case len(u.running) < u.service.Slots:
		u.startRun(r)
	case len(u.queue) < u.service.Queue:
		u.queue = append(u.queue, r)
	default:
		u.rejectFull(r)
	}
	u.peak = max(u.peak, len(u.running)+len(u.queue))
}

// rejectFull handles a request for which there is no slot or queue place, according to WhenFull.
func (u *upstream) rejectFull(r *run) {
	u.sim.tally.fullUpstream++
	u.rejected++
	if u.service.Keyed {
		u.sim.tally.ownerRejections++
	}
	switch u.service.WhenFull {
	case FullRefuses:
		u.respond(r, dispatch.Overloaded)
	case FullResets:
		u.respond(r, dispatch.ConnectionBroken)
	}
}

func (u *upstream) owns(key uint16) bool {
	s := u.sim.controller.tables[u.service.Name].Find(key)
	return s.Owner == u.instance.ID && !s.Moving()
}

// respond ends a request and sends the outcome to the gateway.
func (u *upstream) respond(r *run, o dispatch.Outcome) {
	r.ended = true
	r.limit, r.limitNamed = u.currentLimit()
	u.sim.after(u.sim.hopDelay(), func() { r.reply(o) })
}

func (u *upstream) startRun(r *run) {
	r.running, r.started = true, u.sim.elapsed
	u.running = append(u.running, r)
	took := u.sim.drawWorkTime(r.call.route)
	factor := u.noise / u.currentSpeed()
	if u.isWarmingUp() {
		factor *= u.service.WarmUpFactor
	}
	if u.service.Keyed && u.sim.controller.isCold(u.service, r.call.key) {
		factor *= u.service.ColdFactor
	}
	u.sim.after(time.Duration(float64(took)*factor), func() {
		if r.ended || u.silent || u.refusing {
			return
		}
		r.load = u.reportedLoad()
		u.freeSlot(r)
		u.respond(r, dispatch.Answered)
		u.startQueued()
	})
}

// freeSlot frees the slot of a running request.
func (u *upstream) freeSlot(r *run) {
	u.running = slices.DeleteFunc(u.running, func(other *run) bool { return other == r })
	u.busy += u.sim.elapsed - r.started
}

// startQueued starts queued requests in the free slots. Those for keys that have moved are refused.
func (u *upstream) startQueued() {
	for len(u.queue) > 0 && len(u.running) < u.service.Slots {
		r := u.queue[0]
		u.queue = u.queue[1:]
		switch {
		case r.ended:
		case u.service.Keyed && !u.owns(r.call.key):
			u.respond(r, dispatch.NotOwner)
		default:
			u.startRun(r)
		}
	}
}

// cancel drops a request whose connection was closed.
func (u *upstream) cancel(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	if r.running {
		u.freeSlot(r)
		u.sim.tally.route(r.call.route).wastedTime += u.sim.elapsed - r.started
		u.startQueued()
	}
}

// fail makes the upstream stop responding or refuse connections, and drops its requests.
func (u *upstream) fail(refuse bool) {
	u.silent, u.refusing, u.failedAt = !refuse, refuse, u.sim.elapsed
	lost := append(u.queue, u.running...)
	for len(u.running) > 0 {
		u.freeSlot(u.running[0])
	}
	u.queue = nil
	for _, r := range lost {
		if refuse && !r.ended {
			u.respond(r, dispatch.ConnectionBroken)
		}
	}
}

// recover makes the upstream serve again. It owns no keys until it is assigned some.
func (u *upstream) recover() { u.silent, u.refusing, u.suspectedLost = false, false, false }

// isRunningAny reports whether a request for one of the keys is running.
func (u *upstream) isRunningAny(k spans.KeyRange) bool {
	for _, r := range u.running {
		if k.Contains(r.call.key) {
			return true
		}
	}
	return false
}
