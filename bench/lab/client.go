package lab

import (
	"time"
)

// call is one thing that a client wants, with its tries.
type call struct {
	sim       *simulation
	route     *Route
	key       uint16
	startedAt time.Duration
	tries     int
	// heldFor is how long gateways held tries that they refused.
	heldFor time.Duration
	ended   bool
	current *try
}

// try is one request of a client at a gateway.
type try struct {
	call      *call
	gateway   int
	startedAt time.Duration
	// left is what the client will wait at most, from began.
	maxWait time.Duration
	// withdraw is called when the client has left.
	onWithdraw func()
	ended      bool
}

// left is the time until the client leaves.
func (c *call) remaining() time.Duration { return c.startedAt + c.route.Patience.D() - c.sim.elapsed }

// ask makes one try at a random gateway that runs.
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

// leaves ends the call when its client has waited for long enough.
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

// served answers the try with success.
func (t *try) succeed() {
	t.deliver(func(c *call) {
		if c.sim.elapsed-c.startedAt <= c.route.Objective.D() {
			c.finish(onTime)
			return
		}
		c.finish(late)
	})
}

// refused answers that the request did not run, and when to come back.
func (t *try) refuse(retryAfter time.Duration) {
	t.call.heldFor += t.call.sim.elapsed - t.startedAt
	t.call.sim.tally.route(t.call.route).refusals++
	t.deliver(func(c *call) {
		if c.tries > c.route.Retries {
			c.finish(refused)
			return
		}
		c.sim.after(min(retryAfter, c.remaining()/3), c.sendTry)
	})
}

// failed answers that the request may have run.
func (t *try) fail() {
	t.deliver(func(c *call) {
		if !c.route.Idempotent || c.tries > c.route.Retries {
			c.finish(failed)
			return
		}
		c.sim.after(clientRetryDelay, c.sendTry)
	})
}

// clientPause is how long clients wait before they try again after a failure.
const clientRetryDelay = 30 * time.Millisecond

// finish brings an answer to the client.
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
