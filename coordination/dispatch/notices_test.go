package dispatch

import (
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
)

// newOwnerRequest returns a request for a key of the owner.
func newOwnerRequest(owner string) *Request {
	req := newRequest()
	req.Owner = owner
	return req
}

// answerWithNotice ends a granted request with a response that carries a notice.
func answerWithNotice(s *Service, now time.Time, g Grant, n notice.Notice) {
	s.ApplyNotice(now, g, n)
	s.Done(now, g, Answered)
}

// TestLeavingNoticeStopsRequests checks that an upstream gets no requests from its leaving notice
// on, and that a later response without the notice does not revoke it.
func TestLeavingNoticeStopsRequests(t *testing.T) {
	s := newService("a1", "b1")
	answerWithNotice(s, start, mustGrant(t, s, start, newRequest()), notice.Notice{Leaving: true})
	for i := range 4 {
		g := mustGrant(t, s, at(time.Duration(i)*ms), newRequest())
		if g.Instance.ID != "b1" {
			t.Fatalf("sent to %s", g.Instance.ID)
		}
	}
	s.ApplyNotice(at(10*ms), Grant{Instance: s.upstream(start, "a1").Instance}, notice.Notice{})
	if r := s.blockedReason(at(time.Hour), s.upstream(start, "a1")); r != Leaving {
		t.Errorf("after a response without a notice: refusal %v", r)
	}
}

// TestLeavingNoticeOfOwner checks that an owner that announced its shutdown gets requests for its
// keys for a limited time. After that, waiting requests are refused and those already granted are
// not sent.
func TestLeavingNoticeOfOwner(t *testing.T) {
	s := newService("a1")
	g := mustGrant(t, s, start, newOwnerRequest("a1"))
	answerWithNotice(s, start, g, notice.Notice{Leaving: true})
	granted := mustGrant(t, s, at(s.drainTime), newOwnerRequest("a1"))
	for range 8 {
		offer(s, at(s.drainTime), newOwnerRequest("a1"))
	}
	refused := Refusal(0)
	req := newOwnerRequest("a1")
	req.QueueUntil, req.Deadline = at(time.Minute), at(time.Hour)
	req.Objective = time.Hour
	req.OnDecision = func(d Decision) { refused = d.Refusal }
	if _, r, decided := offer(s, at(s.drainTime), req); decided {
		t.Fatalf("decided at once: refusal %v", r)
	}
	if !s.MaySend(at(s.drainTime), granted) {
		t.Error("granted request may not be sent within the grace period")
	}
	after := at(s.drainTime + ms)
	s.Tick(after)
	if refused != Leaving {
		t.Errorf("waiting request: refusal %v", refused)
	}
	if s.MaySend(after, granted) {
		t.Error("granted request may be sent after the grace period")
	}
	if _, r, decided := offer(s, after, newOwnerRequest("a1")); !decided || r != Leaving {
		t.Errorf("after the grace period: refusal %v, decided %v", r, decided)
	}
	cold := newOwnerRequest("a1")
	cold.Cold = true
	if _, r, decided := offer(s, after, cold); !decided || r != Leaving {
		t.Errorf("cold key after the grace period: refusal %v, decided %v", r, decided)
	}
}

// TestNoticesOutlastMissingEntries checks that an upstream's notices stay valid when it is missing
// from the list and then listed again, and that they do not apply to its next incarnation.
func TestNoticesOutlastMissingEntries(t *testing.T) {
	s := newService("a1", "b1")
	born := instanceList("a1", "b1")
	born[0].StartedMs = 1000
	s.SetUpstreams(start, born)
	answerWithNotice(s, start, Grant{Instance: *born[0], GrantedAt: start}, notice.Notice{Leaving: true})
	s.SetUpstreams(at(ms), instanceList("b1"))
	s.SetUpstreams(at(time.Minute), born)
	if s.ownerBlockedReason(at(time.Minute+s.drainTime+ms), s.upstream(start, "a1")) != Leaving {
		t.Error("the leaving notice is lost")
	}
	again := instanceList("a1", "b1")
	again[0].StartedMs = 2000
	s.SetUpstreams(at(2*time.Minute), again)
	if r := s.blockedReason(at(time.Hour), s.upstream(start, "a1")); r != 0 {
		t.Errorf("next incarnation: refusal %v", r)
	}
	s.ApplyNotice(at(2*time.Minute), Grant{Instance: *born[0]}, notice.Notice{Leaving: true})
	if r := s.blockedReason(at(time.Hour), s.upstream(start, "a1")); r != 0 {
		t.Errorf("next incarnation, after a response of the previous one: refusal %v", r)
	}
}

// TestEntryRevokesLeaving checks that an upstream that only its registry entry marked as leaving
// gets requests again when the mark is removed, and has a new grace period when it is marked
// again.
func TestEntryRevokesLeaving(t *testing.T) {
	s := newService("a1")
	leaving := instanceList("a1")
	leaving[0].Leaving = true
	s.SetUpstreams(start, leaving)
	s.SetUpstreams(at(time.Minute), instanceList("a1"))
	g := mustGrant(t, s, at(time.Minute), newOwnerRequest("a1"))
	s.Done(at(time.Minute), g, Answered)
	s.SetUpstreams(at(2*time.Minute), leaving)
	if r := s.ownerBlockedReason(at(2*time.Minute+s.drainTime), s.upstream(start, "a1")); r != 0 {
		t.Errorf("within the second grace period: refusal %v", r)
	}
}

// TestRestingUpstreamGetsNothing checks that a resting upstream gets no requests, as an owner or
// otherwise, until the announced end of its rest, regardless of its later responses. Then it gets
// one request at a time until one is answered.
func TestRestingUpstreamGetsNothing(t *testing.T) {
	s := newService("a1", "b1")
	asked := mustGrant(t, s, start, newRequest())
	early := mustGrant(t, s, start, newOwnerRequest("a1"))
	s.ApplyNotice(start, asked, notice.Notice{Rest: 3 * time.Second})
	s.Done(start, asked, Overloaded)
	if s.MaySend(start, early) {
		t.Error("request granted before the rest may be sent")
	}
	s.ApplyNotice(at(ms), early, notice.Notice{})
	s.ApplyNotice(at(2*ms), early, notice.Notice{Rest: time.Second})
	s.Done(at(3*ms), early, Answered)
	for _, d := range []time.Duration{4 * ms, time.Second + 3*ms, 3*time.Second - ms} {
		later := newOwnerRequest("a1")
		later.QueueUntil, later.Deadline = at(time.Minute), at(time.Minute)
		if _, r, decided := offer(s, at(d), later); !decided || r != Resting {
			t.Errorf("owner after %s: refusal %v, decided %v", d, r, decided)
		}
		if g := mustGrant(t, s, at(d), newRequest()); g.Instance.ID != "b1" {
			t.Errorf("sent to %s after %s", g.Instance.ID, d)
		} else {
			s.Done(at(d), g, Answered)
		}
		if left := s.RestRemaining(at(d), later); left != 3*time.Second-d {
			t.Errorf("rest of %s remaining after %s", left, d)
		}
	}
	probe := mustGrant(t, s, at(3*time.Second), newOwnerRequest("a1"))
	if _, r, decided := offer(s, at(3*time.Second), newOwnerRequest("a1")); decided && r == 0 {
		t.Error("two requests at once after the rest")
	}
	s.Done(at(3*time.Second+ms), probe, Answered)
	for range 2 {
		mustGrant(t, s, at(3*time.Second+2*ms), newOwnerRequest("a1"))
	}
}

// TestRequestsWaitingForRestingUpstreamAreRefused checks that requests waiting for a resting
// upstream are refused at once with Resting, also those that any upstream can serve.
func TestRequestsWaitingForRestingUpstreamAreRefused(t *testing.T) {
	s := serviceWithWorkTime(10 * ms)
	var last Grant
	for range int(2 * maxInFlightPerSlot) {
		req := newRequest()
		req.Objective = time.Minute
		last = mustGrant(t, s, start, req)
	}
	refused := make(map[string]Refusal)
	for name, req := range map[string]*Request{"owner": newOwnerRequest("a1"), "any": newRequest()} {
		req.OnDecision = func(d Decision) { refused[name] = d.Refusal }
		if _, r, decided := offer(s, start, req); decided {
			t.Fatalf("%s decided at once: refusal %v", name, r)
		}
	}
	s.ApplyNotice(at(ms), last, notice.Notice{Rest: time.Second})
	s.Done(at(ms), last, Overloaded)
	s.Tick(at(2 * ms))
	if refused["owner"] != Resting || refused["any"] != Resting || s.Waiting() != 0 {
		t.Errorf("refused %v, %d waiting", refused, s.Waiting())
	}
	if _, r, decided := offer(s, at(3*ms), newRequest()); !decided || r != Resting {
		t.Errorf("next request: refusal %v, decided %v", r, decided)
	}
}

// TestRestIsBounded checks that a rest of a day is cut to notice.MaxRest.
func TestRestIsBounded(t *testing.T) {
	s := newService("a1")
	g := mustGrant(t, s, start, newRequest())
	s.ApplyNotice(start, g, notice.Notice{Rest: 24 * time.Hour})
	s.Done(start, g, Overloaded)
	if left := s.RestRemaining(start, newRequest()); left != 5*time.Minute {
		t.Errorf("rest of %s, want 5m", left)
	}
}

// TestNoticesOfUnlistedUpstream checks that notices of an upstream that is missing from the list
// apply from their arrival once it is listed again, and that those of another incarnation do not.
// Requests already granted are not sent while it is missing.
func TestNoticesOfUnlistedUpstream(t *testing.T) {
	s := newService("a1")
	born := instanceList("a1")
	born[0].StartedMs = 2000
	s.SetUpstreams(start, born)
	now, later := mustGrant(t, s, start, newRequest()), mustGrant(t, s, start, newOwnerRequest("a1"))
	s.SetUpstreams(at(ms), nil)
	if s.MaySend(at(2*ms), later) {
		t.Error("granted request may be sent to an unlisted upstream")
	}
	answerWithNotice(s, at(2*ms), now, notice.Notice{Leaving: true, Rest: 3 * time.Second})
	former := now
	former.Instance.StartedMs = 1000
	answerWithNotice(s, at(3*ms), former, notice.Notice{Rest: time.Minute})
	s.SetUpstreams(at(time.Second), born)
	if left := s.RestRemaining(at(time.Second), newRequest()); left != 2*time.Second+2*ms {
		t.Errorf("rest of %s remaining", left)
	}
	if r := s.ownerBlockedReason(at(3*time.Second+3*ms), s.upstream(start, "a1")); r != Leaving {
		t.Errorf("second grace period for an owner listed again: refusal %v", r)
	}
}
