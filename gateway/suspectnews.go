package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file exchanges information about requests that crash upstreams with other gateways, and lets
// operators list them and let them through again. Such a request is sent to one gateway after the
// other, and each sees only one of the crashes.

// suspectsCacheTime is how long a message is reused: a leader answers hundreds of reports a second,
// and the loss of a failure domain can produce crashes for hundreds of requests.
const suspectsCacheTime = 50 * time.Millisecond

// maxSuspectsPerMessage bounds what is accepted from one message, for each kind of item.
const maxSuspectsPerMessage = 512

// message returns the recent crashes, clearings and ends of upstreams, and the refused requests.
// The caller must not change the message.
func (s *suspects) message() *syncpb.Suspects {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.cachedAt) >= suspectsCacheTime {
		s.cached, s.cachedAt = s.buildMessage(now), now
	}
	return s.cached
}

// buildMessage builds the message, or returns nil if there is nothing to send. The caller holds the
// lock.
func (s *suspects) buildMessage(now time.Time) *syncpb.Suspects {
	crashes, clearings := s.book.Export(now)
	ends := s.book.RecentEnds(now)
	contradictions := s.book.RecentContradictions(now)
	possible := s.book.Possible(now)
	if len(crashes) == 0 && len(clearings) == 0 && len(ends) == 0 && len(contradictions) == 0 && len(possible) == 0 {
		return nil
	}
	m := &syncpb.Suspects{}
	for _, c := range crashes {
		m.Crashes = append(m.Crashes, &syncpb.Crash{
			Digest: uint64(c.Digest), Event: uint32(c.Event), Run: uint32(c.Run), AgeMs: milliseconds(now.Sub(c.At)), ConnectionAgeMs: connectionAge(c.Connected, c.At),
		})
	}
	for _, c := range clearings {
		m.Clearings = append(m.Clearings, &syncpb.Clearing{Digest: uint64(c.Digest), AgeMs: milliseconds(now.Sub(c.At))})
	}
	for _, e := range ends {
		m.Ends = append(m.Ends, &syncpb.UpstreamEnd{Upstream: e.Upstream, Incarnation: uint32(e.Incarnation), AgeMs: milliseconds(now.Sub(e.At))})
	}
	for _, a := range contradictions {
		m.ContradictedEnds = append(m.ContradictedEnds, &syncpb.UpstreamEnd{
			Upstream: a.Upstream, Incarnation: uint32(a.Incarnation), AgeMs: milliseconds(now.Sub(a.Sent)), ConnectionAgeMs: connectionAge(a.Connected, a.Sent),
		})
	}
	for _, p := range possible {
		m.PossibleEnds = append(m.PossibleEnds, &syncpb.PossibleEnd{
			Digest: uint64(p.Digest), Upstream: p.Upstream, Incarnation: uint32(p.Incarnation), AgeMs: milliseconds(now.Sub(p.At)),
			ConnectionAgeMs: connectionAge(p.Connected, p.At), Run: uint32(p.Run),
		})
	}
	return m
}

// connectionAge returns the age of a connection at the given time for messages, in which zero means unknown.
func connectionAge(connected, at time.Time) uint32 {
	return milliseconds(max(at.Sub(connected), 0)) + 1
}

// connectedAt is the reverse of connectionAge. An unknown age counts as a long one.
func connectedAt(at time.Time, ageMs uint32) time.Time {
	if ageMs == 0 {
		return time.Time{}
	}
	return at.Add(-time.Duration(ageMs-1) * time.Millisecond)
}

// applyMessage applies a message of another gateway. A message that exceeds the bound is counted
// and dropped.
func (s *suspects) applyMessage(m *syncpb.Suspects) {
	if m == nil {
		return
	}
	if max(len(m.Crashes), len(m.Clearings), len(m.Ends), len(m.ContradictedEnds), len(m.PossibleEnds)) > maxSuspectsPerMessage {
		s.meters.inc(suspectsInvalid)
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
		at := ago(c.AgeMs)
		crashes = append(crashes, poison.Crash{Digest: poison.Digest(c.Digest), Event: poison.Event(c.Event), Run: poison.Run(c.Run), At: at, Connected: connectedAt(at, c.ConnectionAgeMs)})
	}
	urgent := s.isUrgent(s.book.Merge(crashes))
	for _, e := range m.Ends {
		ownCrashes = append(ownCrashes, s.book.UpstreamEnded(ago(e.AgeMs), e.Upstream, instances.Incarnation(e.Incarnation), poison.OtherGateway)...)
	}
	for _, a := range m.ContradictedEnds {
		if a.ConnectionAgeMs == 0 {
			continue
		}
		sent := ago(a.AgeMs)
		s.book.Contradict(now, poison.Answer{
			Upstream: a.Upstream, Incarnation: instances.Incarnation(a.Incarnation), Connected: connectedAt(sent, a.ConnectionAgeMs), Sent: sent,
		})
	}
	for _, e := range m.PossibleEnds {
		at := ago(e.AgeMs)
		p := poison.PossibleEnd{
			Digest: poison.Digest(e.Digest), Run: poison.Run(e.Run), Upstream: e.Upstream, Incarnation: instances.Incarnation(e.Incarnation), At: at, Connected: connectedAt(at, e.ConnectionAgeMs),
		}
		if s.book.AddPossible(now, p) {
			urgent = true
			defer s.checkForOther(p)
		}
	}
	s.mu.Unlock()
	if urgent {
		s.reportNow()
	}
	s.logCrashes(ownCrashes, poison.OtherGateway)
}

// isUrgent reports whether other gateways must learn of crashes without delay: one of the requests was present
// at others before. The caller holds the lock.
func (s *suspects) isUrgent(crashes []poison.Crash) bool {
	return slices.ContainsFunc(crashes, func(c poison.Crash) bool { return s.book.CrashCount(c.Digest) > 1 })
}

// reportNow makes reports that wait for updates end. The caller does not hold the lock, as changes of the view
// are applied with the view locked.
func (s *suspects) reportNow() {
	s.mu.Lock()
	s.cachedAt = time.Time{}
	s.mu.Unlock()
	s.version.Add(1)
	s.view.notify()
}

// Suspects implements placementpb.Placement.
func (p *placements) Suspects(ctx context.Context, r *placementpb.SuspectsRequest) (*placementpb.SuspectsState, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.Suspects)
	}
	out := &placementpb.SuspectsState{}
	for _, s := range p.suspects.list() {
		out.List = append(out.List, &placementpb.Suspect{
			Digest: digestText(s.Digest), Crashes: uint32(s.Crashes), Refused: s.Refused, LastMs: uint64(p.now().Sub(s.Last).Milliseconds()),
		})
	}
	return out, nil
}

// LiftSuspect implements placementpb.Placement.
func (p *placements) LiftSuspect(ctx context.Context, r *placementpb.Lift) (*placementpb.SuspectsState, error) {
	d, err := parseDigest(r.Digest)
	if err != nil {
		return nil, rpcError(answer.BadRequest, err.Error())
	}
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.LiftSuspect)
	}
	p.suspects.clear(d, r.By)
	return p.Suspects(ctx, &placementpb.SuspectsRequest{})
}
