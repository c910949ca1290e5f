package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// callResult is the result of a call on one path.
type callResult struct {
	direct bool
	// peer is the gateway that relayed the call.
	peer    syncpb.Peer
	started time.Time
	waited  bool
	status  int
	body    []byte
	err     error
}

// callPaths makes one call to the store on several paths and tracks the attempts in progress.
type callPaths struct {
	store *storeCaller
	call  platform.Call
	// remaining holds functions that start the paths not tried yet; each returns how many calls it
	// has started.
	remaining []func(context.Context) int
	// pending counts the calls in progress. Each delivers one result.
	pending int
	results chan callResult
	// peers are the gateways not asked yet. It is valid once peersChosen is set.
	peers       []syncpb.Peer
	peersChosen bool
	// rounds counts the search rounds, in which a call that waits is repeated without a wait.
	rounds int
	// progress signals that bytes of a response have arrived.
	progress chan struct{}
}

// paths returns the paths of a call, the first one to try in front.
func (s *storeCaller) paths(c platform.Call) *callPaths {
	p := &callPaths{store: s, call: c, results: make(chan callResult, 1+maxRelays), progress: make(chan struct{}, 1)}
	if c.Wait > 0 {
		p.remaining = p.watchPaths()
		return p
	}
	relays := []func(context.Context) int{p.startAllRelays}
	if c.Method == http.MethodGet {
		relays = slices.Repeat([]func(context.Context) int{p.startNextRelay}, maxRelays)
	}
	if s.avoidsDirect() {
		p.remaining = append(relays, p.startDirect)
	} else {
		p.remaining = append([]func(context.Context) int{p.startDirect}, relays...)
	}
	return p
}

// startDirect starts the call from this gateway.
func (p *callPaths) startDirect(ctx context.Context) int { return p.startDirectCall(ctx, p.call) }

// startDirectCall starts the given variant of the call from this gateway.
func (p *callPaths) startDirectCall(ctx context.Context, c platform.Call) int {
	started := time.Now()
	go func() {
		status, body, err := p.store.callDirectWithProgress(ctx, c, p.signalProgress)
		p.deliver(ctx, callResult{direct: true, started: started, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
	return 1
}

// deliver passes a result to run, unless run has already returned.
func (p *callPaths) deliver(ctx context.Context, r callResult) {
	select {
	case p.results <- r:
	case <-ctx.Done():
	}
}

// signalProgress signals that a part of a response has arrived. At most one signal is buffered.
func (p *callPaths) signalProgress() {
	select {
	case p.progress <- struct{}{}:
	default:
	}
}

// startAllRelays starts the call through several gateways at once.
func (p *callPaths) startAllRelays(ctx context.Context) int {
	peers := p.store.relayPeers(maxRelays)
	for _, peer := range peers {
		p.startRelay(ctx, p.call, peer)
	}
	return len(peers)
}

// startNextRelay starts the call through the best gateway that has not been asked yet.
func (p *callPaths) startNextRelay(ctx context.Context) int {
	if !p.peersChosen {
		p.peers, p.peersChosen = p.store.relayPeers(maxRelays), true
	}
	if len(p.peers) == 0 {
		return 0
	}
	p.startRelay(ctx, p.call, p.peers[0])
	p.peers = p.peers[1:]
	return 1
}

// startRelay starts the given variant of the call through one other gateway.
func (p *callPaths) startRelay(ctx context.Context, c platform.Call, peer syncpb.Peer) {
	started := time.Now()
	go func() {
		status, body, err := p.store.callViaRelay(ctx, peer, c, p.signalProgress)
		p.deliver(ctx, callResult{peer: peer, started: started, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
}

// startNext starts the next path on which a call can be made, if one remains.
func (p *callPaths) startNext(ctx context.Context) {
	for started := 0; started == 0 && len(p.remaining) > 0; p.remaining = p.remaining[1:] {
		started = p.remaining[0](ctx)
		p.pending += started
	}
}

// ensurePending starts the next path if no call is in progress, and reports whether one is in
// progress then.
func (p *callPaths) ensurePending(ctx context.Context) bool {
	if p.pending == 0 {
		p.startNext(ctx)
	}
	return p.pending > 0
}

// run makes the call and returns the first result that the store has served.
func (p *callPaths) run(ctx context.Context) (int, []byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waitEnd := time.Now().Add(p.call.Wait)
	nextPath := time.NewTimer(p.nextPathDelay(waitEnd))
	defer nextPath.Stop()
	for p.ensurePending(ctx) {
		select {
		case r := <-p.results:
			p.pending--
			switch {
			case servedByStore(r.status, r.err):
				p.recordSuccess(r)
				return r.status, r.body, nil
			case r.direct && answerTooLarge(r.err):
				// The store is reachable. The response would be as large on another path.
				return 0, nil, r.err
			case r.direct && ctx.Err() == nil:
				p.store.recordDirectFailure()
			}
			nextPath.Reset(p.nextPathDelay(waitEnd))
		case <-p.progress:
			nextPath.Reset(fallbackDelay + max(time.Until(waitEnd), 0))
		case <-nextPath.C:
			p.startNext(ctx)
			nextPath.Reset(p.nextPathDelay(waitEnd))
		case <-ctx.Done():
			return 0, nil, context.Cause(ctx)
		}
	}
	if p.rounds > 0 && len(p.peers) == 0 {
		p.store.recordSearchFailed()
	}
	p.store.recordFailure()
	return 0, nil, errStoreUnreachable
}

// recordSuccess updates the state of the paths after a result that the store has served. If a
// relay answered a search first, the path on which the call waited was silent, so the direct path
// counts as failed.
func (p *callPaths) recordSuccess(r callResult) {
	p.store.recordSuccess(r.direct)
	if !r.waited {
		p.store.recordLatency(time.Since(r.started))
	}
	if r.direct {
		return
	}
	p.store.recordRelay(r.peer)
	if p.rounds > 0 {
		p.store.log.Info("watch silent, changes fetched through other gateways", "rounds", p.rounds)
		p.store.recordDirectFailure()
	}
}
