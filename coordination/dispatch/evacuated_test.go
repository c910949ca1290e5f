package dispatch

import (
	"testing"
	"time"
)

func onlyDomain(evacuated string) func(string) bool {
	return func(domain string) bool { return domain == evacuated }
}

// TestEvacuatedUpstreamGetsNothing checks that an upstream in an evacuated failure domain gets
// neither first nor second tries, and that it gets requests again once the evacuation has ended.
func TestEvacuatedUpstreamGetsNothing(t *testing.T) {
	s := newService("a1", "b1")
	s.SetEvacuated(start, onlyDomain("a"))
	for range 2 {
		if g := mustGrant(t, s, start, newRequest()); g.Instance.ID != "b1" {
			t.Fatalf("sent to %s", g.Instance.ID)
		}
	}
	again := newRequest()
	again.Retry, again.Exclude = true, []string{"b1"}
	if _, r, decided := offer(s, start, again); !decided || r != NoUpstream {
		t.Errorf("second try: refusal %v, decided %v", r, decided)
	}
	s.SetUpstreams(start, instanceList("a1", "a2", "b1"))
	s.SetEvacuated(start, func(string) bool { return true })
	if _, r, decided := offer(s, start, newRequest()); !decided || r != NoUpstream {
		t.Errorf("with all domains evacuated: refusal %v, decided %v", r, decided)
	}
	s.SetEvacuated(start, onlyDomain("b"))
	if g := mustGrant(t, s, start, newRequest()); g.Instance.Domain != "a" {
		t.Errorf("sent to %s", g.Instance.ID)
	}
}

// TestWaitingRequestIsNotSentToEvacuatedDomain checks that a request that was already waiting when
// its upstream's failure domain was evacuated is not sent there when room becomes free.
func TestWaitingRequestIsNotSentToEvacuatedDomain(t *testing.T) {
	s := newService("a1")
	var sent []Grant
	for range 5 {
		if g, _, decided := offer(s, start, newRequest()); decided {
			sent = append(sent, g)
		}
	}
	req, refused := newRequest(), Refusal(0)
	req.OnDecision = func(d Decision) { refused = d.Refusal }
	if _, _, decided := offer(s, start, req); decided {
		t.Fatal("the request does not wait")
	}
	s.SetEvacuated(at(ms), onlyDomain("a"))
	for _, g := range sent {
		s.Done(at(2*ms), g, Answered)
	}
	s.Tick(at(61 * ms))
	if refused != NoUpstream {
		t.Errorf("refusal %v", refused)
	}
}

// TestEvacuatedOwnerDrains checks that an evacuated owner gets requests for its keys during
// evacuationGrace and none after that.
func TestEvacuatedOwnerDrains(t *testing.T) {
	s := newService("a1")
	s.SetEvacuated(start, onlyDomain("a"))
	owned := newRequest()
	owned.Owner = "a1"
	mustGrant(t, s, at(evacuationGrace/2), owned)
	late := newRequest()
	late.Owner, late.QueueUntil, late.Deadline = "a1", at(2*evacuationGrace), at(3*evacuationGrace)
	if _, r, decided := offer(s, at(evacuationGrace+ms), late); !decided || r != Evacuated {
		t.Errorf("refusal %v, decided %v", r, decided)
	}
}

// TestEvacuatedOwnerListedAgainHasNoSecondDrain checks that an evacuated owner that was missing
// from the list does not get a second grace period.
func TestEvacuatedOwnerListedAgainHasNoSecondDrain(t *testing.T) {
	s := newService("a1")
	s.SetEvacuated(start, onlyDomain("a"))
	s.SetUpstreams(at(time.Minute), nil)
	s.SetUpstreams(at(time.Minute), instanceList("a1"))
	if _, r, decided := offer(s, at(time.Minute), newOwnerRequest("a1")); !decided || r != Evacuated {
		t.Errorf("refusal %v, decided %v", r, decided)
	}
}
