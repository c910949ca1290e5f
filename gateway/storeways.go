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
	w := &callPaths{store: s, call: c, results: make(chan callResult, 1+maxRelays), progress: make(chan struct{}, 1)}
	if c.Wait > 0 {
		w.remaining = w.watchPaths()
		return w
	}
	relays := []func(context.Context) int{w.startAllRelays}
	if c.Method == http.MethodGet {
		relays = slices.Repeat([]func(context.Context) int{w.startNextRelay}, maxRelays)
	}
	if s.avoidsDirect() {
		w.remaining = append(relays, w.startDirect)
	} else {
		w.remaining = append([]func(context.Context) int{w.startDirect}, relays...)
	}
	return w
}

// startDirect starts the call from this gateway.
func (w *callPaths) startDirect(ctx context.Context) int { return w.startDirectCall(ctx, w.call) }

// startDirectCall starts the given variant of the call from this gateway.
func (w *callPaths) startDirectCall(ctx context.Context, c platform.Call) int {
	started := time.Now()
	go func() {
		status, body, err := w.store.callDirectWithProgress(ctx, c, w.noteProgress)
		w.deliver(ctx, callResult{direct: true, started: started, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
	return 1
}

// deliver passes a result to run, unless run has already returned.
func (w *callPaths) deliver(ctx context.Context, r callResult) {
	select {
	case w.results <- r:
	case <-ctx.Done():
	}
}

// noteProgress signals that part of a response has arrived. At most one signal is buffered.
func (w *callPaths) noteProgress() {
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

// startAllRelays starts the call through several gateways at once.
func (w *callPaths) startAllRelays(ctx context.Context) int {
	peers := w.store.relayPeers(maxRelays)
	for _, peer := range peers {
		w.startRelay(ctx, w.call, peer)
	}
	return len(peers)
}

// startNextRelay starts the call through the best gateway that has not been asked yet.
func (w *callPaths) startNextRelay(ctx context.Context) int {
	if !w.peersChosen {
		w.peers, w.peersChosen = w.store.relayPeers(maxRelays), true
	}
	if len(w.peers) == 0 {
		return 0
	}
	w.startRelay(ctx, w.call, w.peers[0])
	w.peers = w.peers[1:]
	return 1
}

// startRelay starts the given variant of the call through one other gateway.
func (w *callPaths) startRelay(ctx context.Context, c platform.Call, peer syncpb.Peer) {
	started := time.Now()
	go func() {
		status, body, err := w.store.callViaRelay(ctx, peer, c, w.noteProgress)
		w.deliver(ctx, callResult{peer: peer, started: started, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
}

// startNext starts the next path on which a call can be made, if one remains.
func (w *callPaths) startNext(ctx context.Context) {
	for started := 0; started == 0 && len(w.remaining) > 0; w.remaining = w.remaining[1:] {
		started = w.remaining[0](ctx)
		w.pending += started
	}
}

// ensurePending starts the next path if no call is in progress, and reports whether one is in
// progress then.
func (w *callPaths) ensurePending(ctx context.Context) bool {
	if w.pending == 0 {
		w.startNext(ctx)
	}
	return w.pending > 0
}

// run makes the call and returns the first result that the store has served.
func (w *callPaths) run(ctx context.Context) (int, []byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waitEnd := time.Now().Add(w.call.Wait)
	nextPath := time.NewTimer(w.nextPathDelay(waitEnd))
	defer nextPath.Stop()
	for w.ensurePending(ctx) {
		select {
		case r := <-w.results:
			w.pending--
			switch {
			case servedByStore(r.status, r.err):
				w.noteSuccess(r)
				return r.status, r.body, nil
			case r.direct && answerTooLarge(r.err):
				// The store is reachable. The response would be as large on another path.
				return 0, nil, r.err
			case r.direct && ctx.Err() == nil:
				w.store.noteDirectFailure()
			}
			nextPath.Reset(w.nextPathDelay(waitEnd))
		case <-w.progress:
			nextPath.Reset(fallbackDelay + max(time.Until(waitEnd), 0))
		case <-nextPath.C:
			w.startNext(ctx)
			nextPath.Reset(w.nextPathDelay(waitEnd))
		case <-ctx.Done():
			return 0, nil, context.Cause(ctx)
		}
	}
	if w.rounds > 0 && len(w.peers) == 0 {
		w.store.noteSearchFailed()
	}
	w.store.noteFailure()
	return 0, nil, errStoreUnreachable
}

// noteSuccess updates what is known about the paths after a result that the store has served. If a
// relay answered a search first, the path on which the call waited was silent, so the direct path
// counts as failed.
func (w *callPaths) noteSuccess(r callResult) {
	w.store.noteSuccess(r.direct)
	if !r.waited {
		w.store.noteLatency(time.Since(r.started))
	}
	if r.direct {
		return
	}
	w.store.noteRelay(r.peer)
	if w.rounds > 0 {
		w.store.log.Info("watch silent, changes fetched through other gateways", "rounds", w.rounds)
		w.store.noteDirectFailure()
	}
}
