package dispatch

import (
	"testing"
	"time"
)

func inDomain(evacuated string) func(string) bool {
	return func(domain string) bool { return domain == evacuated }
}

// TestEvacuatedUpstreamGetsNothing: neither first tries nor second ones nor what waits, and
// as soon as the evacuation has ended it serves again.
func TestEvacuatedUpstreamGetsNothing(t *testing.T) {
	s := newService("a1", "b1")
	s.SetEvacuated(start, inDomain("a"))
	for range 2 {
		if g := mustGrant(t, s, start, want()); g.Instance.ID != "b1" {
			t.Fatalf("sent to %s", g.Instance.ID)
		}
	}
	again := want()
	again.Retry, again.Exclude = true, []string{"b1"}
	if _, r, decided := s.Offer(start, again); !decided || r != NoUpstream {
		t.Errorf("a second try: refusal %v, decided %v", r, decided)
	}
	s.SetUpstreams(start, list("a1", "a2", "b1"))
	s.SetEvacuated(start, func(string) bool { return true })
	if _, r, decided := s.Offer(start, want()); !decided || r != NoUpstream {
		t.Errorf("with all evacuated: refusal %v, decided %v", r, decided)
	}
	s.SetEvacuated(start, inDomain("b"))
	if g := mustGrant(t, s, start, want()); g.Instance.Domain != "a" {
		t.Errorf("sent to %s", g.Instance.ID)
	}
}

// TestWaitingIsNotSentToAnEvacuatedDomain: a request that waits while its upstream's domain
// is evacuated does not go there when there is room again.
func TestWaitingIsNotSentToAnEvacuatedDomain(t *testing.T) {
	s := newService("a1")
	var sent []Grant
	for range 5 {
		if g, _, decided := s.Offer(start, want()); decided {
			sent = append(sent, g)
		}
	}
	w, refused := want(), Refusal(0)
	w.OnDecision = func(_ Grant, r Refusal) { refused = r }
	if _, _, decided := s.Offer(start, w); decided {
		t.Fatal("it does not wait")
	}
	s.SetEvacuated(at(ms), inDomain("a"))
	for _, g := range sent {
		s.Done(at(2*ms), g, Answered)
	}
	s.Tick(at(61 * ms))
	if refused != NoUpstream {
		t.Errorf("refusal %v", refused)
	}
}

// TestEvacuatedOwner gets requests for a moment, until its keys have moved, and then none.
func TestEvacuatedOwner(t *testing.T) {
	s := newService("a1")
	s.SetEvacuated(start, inDomain("a"))
	owned := want()
	owned.Owner = "a1"
	mustGrant(t, s, at(evacuationDrain/2), owned)
	late := want()
	late.Owner, late.QueueUntil, late.Deadline = "a1", at(2*evacuationDrain), at(3*evacuationDrain)
	if _, r, decided := s.Offer(at(evacuationDrain+ms), late); !decided || r != Evacuated {
		t.Errorf("refusal %v, decided %v", r, decided)
	}
}

// TestEvacuatedOwnerListedAgain: an owner in an evacuated failure domain that is not listed for a
// while has no second time in which it gets requests.
func TestEvacuatedOwnerListedAgain(t *testing.T) {
	s := newService("a1")
	s.SetEvacuated(start, inDomain("a"))
	s.SetUpstreams(at(time.Minute), nil)
	s.SetUpstreams(at(time.Minute), list("a1"))
	if _, r, decided := s.Offer(at(time.Minute), forOwner("a1")); !decided || r != Evacuated {
		t.Errorf("refusal %v, decided %v", r, decided)
	}
}
