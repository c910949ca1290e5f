package instances

// Load is what an upstream says of itself with an answer.
type Load struct {
	// Running and Waiting are the requests that it has, Slots how many it runs at once.
	Running, Waiting, Slots int
	// Slowness is how many times as long as usual work takes on its machine at the moment;
	// zero when it does not say.
	Slowness float64
}
