package instances

// Load is the load that an upstream reports in a response.
type Load struct {
	// Running and Waiting are the numbers of requests running and queued at the upstream, Slots the
	// number it runs concurrently.
	Running, Waiting, Slots int
	// Slowness is the factor by which work currently takes longer than usual on the upstream's
	// machine; zero if it is not reported.
	Slowness float64
}
