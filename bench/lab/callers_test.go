package lab

import "testing"

// TestGreedyCallersGetTheirShare guards against callers that ask three times as often as others, retry at
// once and are served that many times as much. Without a division of room by caller, a greedy caller had
// 3.9 times as many bookings served as another one, and 0.73 of the bookings of others were served (mean
// of eight seeds).
func TestGreedyCallersGetTheirShare(t *testing.T) {
	t.Parallel()
	sc := find(t, "greedy-caller")
	r := mean(simulateSeeds(sc, ablationSeeds), sc.Name, Product)
	lookups, bookings := r.Routes[0], r.Routes[1]
	if bookings.GreedyRatio > 1.5 || bookings.OthersServed < 0.88 {
		t.Errorf("bookings: a greedy caller gets %.2f times as much, %.3f of others' are served", bookings.GreedyRatio, bookings.OthersServed)
	}
	// Only a third of the lookups are for keys whose owners are overloaded.
	if lookups.GreedyRatio > 3 || lookups.OthersServed < 0.725 {
		t.Errorf("lookups: a greedy caller gets %.2f times as much, %.3f of others' are served", lookups.GreedyRatio, lookups.OthersServed)
	}
}
