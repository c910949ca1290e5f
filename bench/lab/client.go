package lab

import (
	"time"
)

// call is a request of a client, including its retries.
type call struct {
	sim   *simulation
	route *Route
	key   uint16
	// caller is the number of the caller, from 1; 0 if gateways do not know it. The first ones are greedy.
	caller    int
	startedAt time.Duration
	tries     int
	// refusals counts the tries that gateways refused.
	refusals int
	// heldFor is the total time for which gateways held tries that they refused.
	heldFor time.Duration
	ended   bool
	current *try
}

// try is one request of a call to a gateway, which sends it to upstreams in one or more attempts.
type try struct {
	call      *call
	gateway   int
	startedAt time.Duration
	// maxWait is how long after startedAt the client stops waiting.
	maxWait time.Duration
	// onWithdraw is called when the client has stopped waiting; nil if the try was never accepted.
	onWithdraw func()
	ended      bool
}

// remaining returns the time until the client stops waiting.
func (c *call) remaining() time.Duration { return c.startedAt + c.route.Patience.D() - c.sim.elapsed }

// service returns the service of the call's route.
func (c *call) service() *Service {
	services := c.sim.sc.Services
	for i := range services {
		if services[i].Name == c.route.Service {
			return &services[i]
		}
	}
	return nil
}

// sendTry sends a try to a random gateway that is up.
func (c *call) sendTry() {
	if c.ended {
		return
	}
	c.tries++
	t := &try{call: c, gateway: c.sim.pickGateway()}
	c.current = t
	c.sim.after(c.sim.sc.ClientHop.D(), func() {
		t.startedAt, t.maxWait = c.sim.elapsed, c.remaining()
		if !t.ended && t.maxWait > 0 {
			c.sim.policy.submit(t)
		}
	})
}

// giveUp ends the call when the client's patience is exhausted.
func (c *call) giveUp() {
	if c.ended {
		return
	}
	c.finish(failed)
	if t := c.current; t != nil && t.onWithdraw != nil {
		c.sim.after(c.sim.sc.ClientHop.D(), func() {
			if !t.ended {
				t.ended = true
				t.onWithdraw()
			}
		})
	}
}

// succeed responds that the request ran.
func (t *try) succeed() {
	t.deliver(func(c *call) {
		if c.sim.elapsed-c.startedAt <= c.route.Objective.D() {
			c.finish(onTime)
			return
		}
		c.finish(late)
	})
}

// refuse responds that the request did not run, and how long the client should wait before it
// retries.
func (t *try) refuse(retryAfter time.Duration) {
	t.call.heldFor += t.call.sim.elapsed - t.startedAt
	t.call.refusals++
	t.call.sim.tally.route(t.call.route).addRefusal(t.call.refusals)
	t.deliver(func(c *call) {
		if c.tries > c.retries() {
			c.finish(refused)
			return
		}
		if c.greedy() {
			c.sendTry()
			return
		}
		c.sim.after(min(retryAfter, c.remaining()/3), c.sendTry)
	})
}

// fail responds that the request may have run.
func (t *try) fail() {
	t.deliver(func(c *call) {
		if !c.route.Idempotent || c.tries > c.route.Retries {
			c.finish(failed)
			return
		}
		c.sim.after(clientRetryDelay, c.sendTry)
	})
}

// greedy reports whether the caller ignores the time to come back.
func (c *call) greedy() bool { return c.caller > 0 && c.caller <= c.route.GreedyCallers }

// retries returns how often the caller retries a refused call.
func (c *call) retries() int {
	if c.greedy() {
		return greedyFactor*(c.route.Retries+1) - 1
	}
	return c.route.Retries
}

// greedyFactor is how many times as many requests, and tries of each, greedy callers make.
const greedyFactor = 3

// clientRetryDelay is how long clients wait before they retry after a failure.
const clientRetryDelay = 30 * time.Millisecond

// deliver transmits a response to the client and handles it there.
func (t *try) deliver(then func(*call)) {
	if t.ended {
		return
	}
	t.ended = true
	t.call.sim.after(t.call.sim.sc.ClientHop.D(), func() {
		if !t.call.ended {
			then(t.call)
		}
	})
}

func (c *call) finish(o outcome) {
	c.ended = true
	c.sim.tally.end(c, o)
}
