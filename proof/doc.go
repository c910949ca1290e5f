// Package proof holds randomized simulation tests of the coordination protocol. They
// run the deterministic components together (controllers, gates, leases and the
// ownership of stand-in upstreams) with fakes for the network, the clocks and the
// platform, and check that two upstreams never own a key at the same time.
package proof
