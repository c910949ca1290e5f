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

// TestSilentOwnerLosesItsKeys when neither calls nor requests are answered, and no sooner than it
// did by calls alone.
func TestSilentOwnerLosesItsKeys(t *testing.T) {
	c := ControlHealth{FailingSince: start, LastFailed: at(500 * ms), LastGranted: at(-ms), LastAnswered: at(-200 * ms)}
	if !c.MayKeep(at(SilentOwnerTimeout-ms), testHold) || c.MayKeep(at(SilentOwnerTimeout), testHold) {
		t.Error("its keys are taken too soon or too late")
	}
	if c.MayRenew() {
		t.Error("grants are renewed that may hold the keys of a lost owner for longer")
	}
}

// TestAnsweringOwnerKeepsItsKeys while requests to it are answered, and is renewed.
func TestAnsweringOwnerKeepsItsKeys(t *testing.T) {
	c := ControlHealth{FailingSince: start, LastFailed: at(1900 * ms), LastGranted: at(100 * ms), LastAnswered: at(1950 * ms)}
	now := at(2 * time.Second)
	if !c.MayKeep(now, testHold) || !c.MayRenew() {
		t.Error("an owner that answers requests is taken for lost")
	}
	c.LastFailed = at(1960 * ms)
	if c.MayRenew() {
		t.Error("what it answered before the last call failed is no sign of life after it")
	}
	if c.ProbeAnswered = true; !c.MayRenew() {
		t.Error("a trial was answered since")
	}
}

// TestOwnerThatNoGrantReaches loses its keys though it answers requests: it will not for long.
func TestOwnerThatNoGrantReaches(t *testing.T) {
	for now := time.Duration(0); now < 2*testHold; now += 10 * ms {
		c := ControlHealth{FailingSince: start, LastFailed: at(now), LastGranted: at(-ms), LastAnswered: at(now)}
		if c.MayKeep(at(now), testHold) && now+SilentOwnerTimeout+answerValidity >= testHold {
			t.Fatalf("it keeps its keys %s after the last grant", now)
		}
	}
}

// TestUnreliable: calls to several owners fail that answer requests. Owners that are lost say
// nothing of the calls to others.
func TestUnreliable(t *testing.T) {
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
				t.Errorf("unreliable is not %v of %v", want, all)
			}
		}
	}
}
