package gateway

import (
	"context"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file makes calls that wait for changes (watches). A path that delivers nothing is detected
// only after the whole wait, and the success of other calls does not show that this path works. A
// watch therefore waits on one path only. When that path is silent, the call is repeated without a
// wait through a growing number of gateways at once, because the store may serve few of them. The
// gateway that returned a response is used for the next watch.

const (
	// watchSilenceLimit bounds the silence of a watch after its wait has ended: changes must be in
	// force everywhere within two seconds.
	watchSilenceLimit = 250 * time.Millisecond
	// searchRoundInterval is the time between rounds of a search. The first round asks
	// firstRoundSize gateways and each later round twice as many as the one before, so a hundred
	// are asked within half a second.
	searchRoundInterval = 100 * time.Millisecond
	firstRoundSize      = 4
	// maxSearchPeers bounds the number of gateways asked for one call.
	maxSearchPeers = 128
	// searchCooldown is how long after a search through all gateways failed only one round is made:
	// the store is then unavailable to every gateway that this one knows of.
	searchCooldown = 3 * time.Second
	// latencyWeight is the weight of a new call in the smoothed latency of the store. latencyFactor
	// times that latency is the silence allowed before another path is tried.
	latencyWeight = 0.2
	latencyFactor = 2
)

// watchPaths returns the paths of a call that waits for changes.
func (p *callPaths) watchPaths() []func(context.Context) int {
	first := p.startDirect
	if peer := p.store.relayForWatch(); peer != nil {
		first = func(ctx context.Context) int {
			p.startRelay(ctx, p.call, peer)
			return 1
		}
	}
	return []func(context.Context) int{first, p.searchRound}
}

// searchRound starts the next round, in which other gateways are asked without a wait. The first
// round also makes a direct call without a wait.
func (p *callPaths) searchRound(ctx context.Context) int {
	call := p.call.NonBlocking()
	started := 0
	if !p.peersChosen {
		p.peers, p.peersChosen = p.store.relayPeers(maxSearchPeers), true
		started = p.startDirectCall(ctx, call)
	}
	round := p.peers[:min(firstRoundSize<<p.rounds, len(p.peers))]
	p.peers = p.peers[len(round):]
	p.rounds++
	p.store.meters.inc(storeSearchRounds)
	for _, peer := range round {
		p.startRelay(ctx, call, peer)
	}
	if len(p.peers) > 0 && p.store.maySearchWidely() {
		p.remaining = append(p.remaining, p.searchRound)
	}
	return started + len(round)
}

// nextPathDelay returns how long the pending calls may be silent before the next path is started.
func (p *callPaths) nextPathDelay(waitEnd time.Time) time.Duration {
	waitLeft := max(time.Until(waitEnd), 0)
	switch {
	case p.call.Wait == 0:
		return fallbackDelay
	case p.rounds > 0:
		return p.store.allowedSilence(searchRoundInterval)
	}
	return p.store.allowedSilence(watchSilenceLimit) + waitLeft
}

// allowedSilence returns the given minimum, or more if the store is slow to answer, up to
// fallbackDelay.
func (s *storeCaller) allowedSilence(least time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(least, time.Duration(latencyFactor*float64(s.meanLatency))), fallbackDelay)
}

// recordLatency records how long the store took for a call without a wait.
func (s *storeCaller) recordLatency(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meanLatency += time.Duration(latencyWeight * float64(took-s.meanLatency))
}

// recordRelay records the gateway that relayed the last response of the store.
func (s *storeCaller) recordRelay(peer syncpb.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRelay = peer
}

// relayForWatch returns the gateway through which calls that wait are made, or nil while the store
// serves this machine.
func (s *storeCaller) relayForWatch() syncpb.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directFailing {
		return nil
	}
	return s.lastRelay
}

// recordSearchFailed records that all gateways were asked without success.
func (s *storeCaller) recordSearchFailed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.searchFailedAt = s.now()
}

// maySearchWidely reports whether more than one round may be made: only by a leader, and not within
// searchCooldown of a failed search. Otherwise hundreds of gateways without contact with a leader
// would all ask each other.
func (s *storeCaller) maySearchWidely() bool {
	if !s.isLeader() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searchFailedAt.IsZero() || s.now().Sub(s.searchFailedAt) >= searchCooldown
}
