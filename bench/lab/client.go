package lab

import (
	"time"
)

// call is one thing that a client wants, with its tries.
type call struct {
	sim   *simulation
	route *Route
	key   uint16
	began time.Duration
	tries int
	// heldFor is how long gateways held tries that they refused.
	heldFor time.Duration
	ended   bool
	current *try
}

// try is one request of a client at a gateway.
type try struct {
	call    *call
	gateway int
	began   time.Duration
	// left is what the client will wait at most, from began.
	left time.Duration
	// withdraw is called when the client has left.
	withdraw func()
	ended    bool
}

// left is the time until the client leaves.
func (c *call) left() time.Duration { return c.began + c.route.Patience.D() - c.sim.elapsed }

// ask makes one try at a random gateway that runs.
func (c *call) ask() {
	if c.ended {
		return
	}
	c.tries++
	t := &try{call: c, gateway: c.sim.pickGateway()}
	c.current = t
	c.sim.after(c.sim.sc.ClientHop.D(), func() {
		t.began, t.left = c.sim.elapsed, c.left()
		if !t.ended && t.left > 0 {
			c.sim.policy.submit(t)
		}
	})
}

// leaves ends the call when its client has waited for long enough.
func (c *call) leaves() {
	if c.ended {
		return
	}
	c.end(failed)
	if t := c.current; t != nil && t.withdraw != nil {
		c.sim.after(c.sim.sc.ClientHop.D(), func() {
			if !t.ended {
				t.ended = true
				t.withdraw()
			}
		})
	}
}

// served answers the try with success.
func (t *try) served() {
	t.finish(func(c *call) {
		if c.sim.elapsed-c.began <= c.route.Objective.D() {
			c.end(onTime)
			return
		}
		c.end(late)
	})
}

// refused answers that the request did not run, and when to come back.
func (t *try) refused(again time.Duration) {
	t.call.heldFor += t.call.sim.elapsed - t.began
	t.call.sim.tally.route(t.call.route).refusals++
	t.finish(func(c *call) {
		if c.tries > c.route.Retries {
			c.end(refused)
			return
		}
		c.sim.after(min(again, c.left()/3), c.ask)
	})
}

// failed answers that the request may have run.
func (t *try) failed() {
	t.finish(func(c *call) {
		if !c.route.Idempotent || c.tries > c.route.Retries {
			c.end(failed)
			return
		}
		c.sim.after(clientPause, c.ask)
	})
}

// clientPause is how long clients wait before they try again after a failure.
const clientPause = 30 * time.Millisecond

// finish brings an answer to the client.
func (t *try) finish(then func(*call)) {
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

func (c *call) end(o outcome) {
	c.ended = true
	c.sim.tally.end(c, o)
}
