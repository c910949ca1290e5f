package dispatch

import (
	"testing"
	"time"
)

// ownerRequest returns a request for a key of a1 that arrives now and may wait for the given time.
func ownerRequest(now time.Time, wait time.Duration) *Request {
	return &Request{
		Owner: "a1", Objective: time.Second, Deadline: now.Add(10 * time.Second), QueueUntil: now.Add(wait), ReceivedAt: now,
		OnDecision: func(Decision) {},
	}
}

// Guards against requests for a lost owner that wait for room until their waiting time has ended, while
// they could be served elsewhere.
func TestRequestsForLostOwnersAreRefusedAtOnce(t *testing.T) {
	const wait, longWait = 600 * ms, 3 * time.Second
	s := serviceWithWorkTime(100 * ms)
	now := at(100 * ms)
	var lost []Grant
	for range 3 {
		lost = append(lost, mustGrant(t, s, now, ownerRequest(now, wait)))
	}
	now = now.Add(2 * time.Second)
	var told Refusal
	waits := ownerRequest(now, longWait)
	waits.OnDecision = func(d Decision) { told = d.Refusal }
	if _, r, decided := offer(s, now, waits); decided {
		t.Errorf("a request that may wait for longer than the silence is refused: %v", r)
	}
	if _, r, decided := offer(s, now, ownerRequest(now, wait)); !decided || r != OwnerUnresponsive {
		t.Errorf("decided %v, refusal %v", decided, r)
	}
	now = now.Add(longWait - 2*time.Second)
	if s.Tick(now); told != OwnerUnresponsive {
		t.Errorf("the request that waits is told %v", told)
	}
	for _, g := range lost {
		s.Done(now, g, Answered)
	}
	mustGrant(t, s, now, ownerRequest(now, wait))
}

// Guards against many requests that are lost with an unreachable owner because they are sent together at
// the end of its backoff.
func TestLostOwnersGetOneRequestAtATime(t *testing.T) {
	s := serviceWithWorkTime(100 * ms)
	now := at(100 * ms)
	for range 4 {
		s.Done(now, mustGrant(t, s, now, ownerRequest(now, ms)), Unreachable)
		now = now.Add(maxBackoff)
	}
	probe := mustGrant(t, s, now, ownerRequest(now, 600*ms))
	if _, r, decided := offer(s, now, ownerRequest(now, 600*ms)); !decided || r != OwnerUnresponsive {
		t.Errorf("beside the probe: decided %v, refusal %v", decided, r)
	}
	s.Done(now.Add(ms), probe, Answered)
	for range 2 {
		mustGrant(t, s, now.Add(ms), ownerRequest(now.Add(ms), 600*ms))
	}
}
