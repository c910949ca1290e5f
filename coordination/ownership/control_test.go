package ownership

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

const (
	ms       = time.Millisecond
	testHold = 4 * time.Second
)

// TestSilentOwnerLosesItsKeys checks that an owner that answers neither control calls nor requests
// loses its keys after SilentOwnerTimeout and no sooner.
func TestSilentOwnerLosesItsKeys(t *testing.T) {
	c := ControlHealth{FailingSince: start, LastFailed: at(500 * ms), LastGranted: at(-ms), LastAnswered: at(-200 * ms)}
	if !c.MayKeep(at(SilentOwnerTimeout-ms), testHold) || c.MayKeep(at(SilentOwnerTimeout), testHold) {
		t.Error("the keys are not taken exactly at the timeout")
	}
	if c.MayRenew() {
		t.Error("grants of a silent owner may be renewed")
	}
}

// TestAnsweringOwnerKeepsItsKeys checks that an owner that answers requests while control calls
// fail keeps its keys, and that its grants are renewed only if it has answered since the last
// failed call.
func TestAnsweringOwnerKeepsItsKeys(t *testing.T) {
	c := ControlHealth{FailingSince: start, LastFailed: at(1900 * ms), LastGranted: at(100 * ms), LastAnswered: at(1950 * ms)}
	now := at(2 * time.Second)
	if !c.MayKeep(now, testHold) || !c.MayRenew() {
		t.Error("an owner that answers requests loses its keys or its renewals")
	}
	c.LastFailed = at(1960 * ms)
	if c.MayRenew() {
		t.Error("an answer from before the last failed call allows a renewal")
	}
	if c.ProbeAnswered = true; !c.MayRenew() {
		t.Error("an answered probe does not allow a renewal")
	}
}

// TestOwnerWithoutGrantsLosesItsKeys checks that an owner that answers requests loses its keys
// before its last grant expires: without a new grant it will stop answering.
func TestOwnerWithoutGrantsLosesItsKeys(t *testing.T) {
	for now := time.Duration(0); now < 2*testHold; now += 10 * ms {
		c := ControlHealth{FailingSince: start, LastFailed: at(now), LastGranted: at(-ms), LastAnswered: at(now)}
		if c.MayKeep(at(now), testHold) && now+SilentOwnerTimeout+answerValidity >= testHold {
			t.Fatalf("the owner keeps its keys %s after the last grant", now)
		}
	}
}

// TestControlUnreliable checks that only failing calls to owners that answer requests count as
// unreliable. Calls to lost owners are no evidence about those to others.
func TestControlUnreliable(t *testing.T) {
	now := at(time.Second)
	lost := ControlHealth{FailingSince: start, LastAnswered: at(-time.Second)}
	callsFail := ControlHealth{FailingSince: start, LastAnswered: at(900 * ms)}
	healthy := ControlHealth{LastAnswered: at(900 * ms)}
	for want, list := range map[bool][][]ControlHealth{
		true:  {{callsFail, callsFail, healthy, healthy, healthy}, {callsFail, callsFail}},
		false: {{lost, lost, lost, healthy}, {callsFail, healthy}, {callsFail, callsFail, healthy, healthy, healthy, healthy, healthy, healthy, healthy}, nil},
	} {
		for _, all := range list {
			if ControlUnreliable(now, all) != want {
				t.Errorf("ControlUnreliable is not %v for %v", want, all)
			}
		}
	}
}
