package gateway

import (
	"context"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file makes calls that wait for changes. Such a call shows only after its whole wait that its
// way hears nothing, and other calls that get through say nothing of its way. So it waits on one
// way only; when that is silent, the changes that there are now are asked for by ever more gateways
// at once, as the store may serve few of them. The one that brought an answer is waited on next.

const (
	// seekPatience bounds the silence after its wait of a call that waits for changes: changes
	// are to be in force everywhere within two seconds.
	seekPatience = 250 * time.Millisecond
	// seekPause is the time between rounds, in which firstSeek gateways are asked and then twice
	// as many each time: a hundred within half a second.
	seekPause = 100 * time.Millisecond
	firstSeek = 4
	// mostSought bounds the gateways that are asked for one call.
	mostSought = 128
	// seekRest is how long after all gateways were asked in vain only one round is made: the
	// store is away then for all that count as in touch with it.
	seekRest = 3 * time.Second
	// latencyWeight is the weight of a new call in the mean latency of the store, latencyShare
	// how many times that it may be silent before it is asked another way.
	latencyWeight = 0.2
	latencyShare  = 2
)

// watchWays returns the ways of a call that waits for changes.
func (w *callWays) watchWays() []func(context.Context) int {
	first := w.direct
	if peer := w.store.goodRelay(); peer != nil {
		first = func(ctx context.Context) int {
			w.relayed(ctx, w.call, peer)
			return 1
		}
	}
	return []func(context.Context) int{first, w.seek}
}

// seek begins the next round, in which other gateways are asked without a wait, and the store from
// here with the first of them.
func (w *callWays) seek(ctx context.Context) int {
	call := w.call.NonBlocking()
	begun := 0
	if !w.chosen {
		w.peers, w.chosen = w.store.relays(mostSought), true
		begun = w.directly(ctx, call)
	}
	round := w.peers[:min(firstSeek<<w.rounds, len(w.peers))]
	w.peers = w.peers[len(round):]
	w.rounds++
	w.store.meters.inc(storeSought)
	for _, peer := range round {
		w.relayed(ctx, call, peer)
	}
	if len(w.peers) > 0 && w.store.seeksWidely() {
		w.left = append(w.left, w.seek)
	}
	return begun + len(round)
}

// patience is how long the calls that are under way may be silent before the next way is begun.
func (w *callWays) patience(waits time.Time) time.Duration {
	left := max(time.Until(waits), 0)
	switch {
	case w.call.Wait == 0:
		return callPatience
	case w.rounds > 0:
		return w.store.silenceAllowed(seekPause)
	}
	return w.store.silenceAllowed(seekPatience) + left
}

// silenceAllowed is the least silence, or more when the store is slow to answer.
func (s *storeCaller) silenceAllowed(least time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(max(least, time.Duration(latencyShare*float64(s.latency))), callPatience)
}

// noteLatency notes how long the store took for a call without a wait.
func (s *storeCaller) noteLatency(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency += time.Duration(latencyWeight * float64(took-s.latency))
}

// noteRelay notes the gateway that has brought the store's answer last.
func (s *storeCaller) noteRelay(peer syncpb.Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.good = peer
}

// goodRelay returns the gateway by way of which calls that wait are made; nil while the store
// serves this machine.
func (s *storeCaller) goodRelay() syncpb.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directFailing {
		return nil
	}
	return s.good
}

// soughtAll notes that all gateways were asked in vain.
func (s *storeCaller) soughtAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sought = s.now()
}

// seeksWidely reports whether more than one round is to be made: by a leader, unless all were asked
// in vain a moment ago. Hundreds of gateways that hear from no leader would ask each other.
func (s *storeCaller) seeksWidely() bool {
	if !s.leads() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sought.IsZero() || s.now().Sub(s.sought) >= seekRest
}
