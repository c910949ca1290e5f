package gateway

import (
	"net/http"
	"testing"

	"github.com/rockcroft/rockcroft/state/routing"
)

// TestCallerIsTeamOrAddress guards against callers that change with each connection, and against counting
// the members of a team, or different addresses, as one.
func TestCallerIsTeamOrAddress(t *testing.T) {
	of := func(remote string, team *routing.Team) uint64 {
		return callerOf(&request{Request: &http.Request{RemoteAddr: remote}, team: team})
	}
	if of("192.0.2.1:1000", nil) != of("192.0.2.1:2000", nil) || of("[2001:db8::1]:1", nil) != of("[2001:db8::1]:2", nil) {
		t.Error("the port changes the caller")
	}
	if of("192.0.2.1:1000", nil) == of("192.0.2.2:1000", nil) {
		t.Error("two addresses are one caller")
	}
	a, b := &routing.Team{Name: "a"}, &routing.Team{Name: "b"}
	if of("192.0.2.1:1", a) != of("192.0.2.2:1", a) || of("192.0.2.1:1", a) == of("192.0.2.1:1", b) {
		t.Error("the caller is not the team")
	}
	if of("", nil) == 0 || of("no address", nil) == 0 {
		t.Error("an invalid address makes the caller unknown")
	}
}
