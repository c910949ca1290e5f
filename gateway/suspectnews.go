package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file tells other gateways of requests that end upstreams: such a request comes to one
// gateway after the other, and each sees one of its crashes.

// suspectsAgain is how long a message is used again: a leader answers hundreds of reports a second,
// and the crashes of a lost failure domain are hundreds of requests.
const suspectsCacheTime = 50 * time.Millisecond

// mostSuspectsTold bounds what is taken over from one message, of each kind.
const maxSuspectsPerMessage = 512

// messages tells what was seen of late and what is refused. The message is not to be changed.
func (s *suspects) message() *syncpb.Suspects {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.cachedAt) >= suspectsCacheTime {
		s.cached, s.cachedAt = s.buildMessage(now), now
	}
	return s.cached
}

// pack makes the message; nil when there is nothing to be told. The lock is held.
func (s *suspects) buildMessage(now time.Time) *syncpb.Suspects {
	crashes, clearings := s.book.Tell(now)
	ends := s.book.EndsOfLate(now)
	if len(crashes) == 0 && len(clearings) == 0 && len(ends) == 0 {
		return nil
	}
	m := &syncpb.Suspects{}
	for _, c := range crashes {
		m.Crashes = append(m.Crashes, &syncpb.Crash{Digest: uint64(c.Digest), Event: uint32(c.Event), AgeMs: milliseconds(now.Sub(c.At))})
	}
	for _, c := range clearings {
		m.Clearings = append(m.Clearings, &syncpb.Clearing{Digest: uint64(c.Digest), AgeMs: milliseconds(now.Sub(c.At))})
	}
	for _, e := range ends {
		m.Ends = append(m.Ends, &syncpb.UpstreamEnd{Upstream: e.Upstream, Incarnation: uint32(e.Incarnation), AgeMs: milliseconds(now.Sub(e.At))})
	}
	return m
}

// told takes over what another gateway tells. What is beyond the bound is counted and dropped.
func (s *suspects) applyMessage(m *syncpb.Suspects) {
	if m == nil {
		return
	}
	if len(m.Crashes) > maxSuspectsPerMessage || len(m.Clearings) > maxSuspectsPerMessage || len(m.Ends) > maxSuspectsPerMessage {
		s.meters.inc(suspectsUnsound)
		return
	}
	now := s.now()
	ago := func(ms uint32) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	var ownCrashes []poison.Crash
	s.mu.Lock()
	for _, c := range m.Clearings {
		s.book.Clear(poison.Clearing{Digest: poison.Digest(c.Digest), At: ago(c.AgeMs)})
	}
	crashes := make([]poison.Crash, 0, len(m.Crashes))
	for _, c := range m.Crashes {
		crashes = append(crashes, poison.Crash{Digest: poison.Digest(c.Digest), Event: poison.Event(c.Event), At: ago(c.AgeMs)})
	}
	s.book.Told(crashes)
	for _, e := range m.Ends {
		ownCrashes = append(ownCrashes, s.book.Ended(ago(e.AgeMs), e.Upstream, instances.Incarnation(e.Incarnation))...)
	}
	s.mu.Unlock()
	s.logCrashes(ownCrashes, "", "gateway")
}
