package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// callResult is how one way of making a call ended.
type callResult struct {
	direct bool
	// peer is the gateway by way of which it was made.
	peer    syncpb.Peer
	started time.Time
	waited  bool
	status  int
	body    []byte
	err     error
}

// callWays are the ways of making one call to the store, and those under way.
type callPaths struct {
	store *storeCaller
	call  platform.Call
	// left begin the ways not tried yet and return how many calls they have begun.
	remaining []func(context.Context) int
	// running counts the calls under way. Each gives one result.
	pending int
	results chan callResult
	// peers are the gateways left to ask one after the other, once chosen says so.
	peers       []syncpb.Peer
	peersChosen bool
	// rounds counts those in which a call that waits was made without a wait.
	rounds int
	// arriving tells that bytes of an answer have arrived.
	progress chan struct{}
}

// ways returns the ways of making a call, the one to be tried first in front.
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

// direct begins the call from here.
func (w *callPaths) startDirect(ctx context.Context) int { return w.startDirectCall(ctx, w.call) }

// directly begins a form of the call from here.
func (w *callPaths) startDirectCall(ctx context.Context, c platform.Call) int {
	started := time.Now()
	go func() {
		status, body, err := w.store.callDirectWithProgress(ctx, c, w.noteProgress)
		w.deliver(ctx, callResult{direct: true, started: started, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
	return 1
}

// give hands a result over, unless nobody wants it any more.
func (w *callPaths) deliver(ctx context.Context, r callResult) {
	select {
	case w.results <- r:
	case <-ctx.Done():
	}
}

// noteArriving tells that the answer is on its way. One note waits at most.
func (w *callPaths) noteProgress() {
	select {
	case w.progress <- struct{}{}:
	default:
	}
}

// relayedAtOnce begins the call by way of several other gateways.
func (w *callPaths) startAllRelays(ctx context.Context) int {
	peers := w.store.relayPeers(maxRelays)
	for _, peer := range peers {
		w.startRelay(ctx, w.call, peer)
	}
	return len(peers)
}

// relayedNext begins the call by way of the best gateway that was not asked yet.
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

// relayed begins a form of the call by way of one other gateway.
func (w *callPaths) startRelay(ctx context.Context, c platform.Call, peer syncpb.Peer) {
	started := time.Now()
	go func() {
		status, body, err := w.store.callViaRelay(ctx, peer, c, w.noteProgress)
		w.deliver(ctx, callResult{peer: peer, started: started, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
}

// next begins the next way that is open, if one is left.
func (w *callPaths) startNext(ctx context.Context) {
	for started := 0; started == 0 && len(w.remaining) > 0; w.remaining = w.remaining[1:] {
		started = w.remaining[0](ctx)
		w.pending += started
	}
}

// goesOn reports whether a call is under way, and begins the next way if none is.
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
				// The store is reached. Another way's answer would be as large.
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

// succeeded notes what a result that the store has served says of its way. A call that waits from
// here and was passed by one from elsewhere has been silent.
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
		w.store.log.Info("changes asked for by other gateways, a call that waits heard nothing", "rounds", w.rounds)
		w.store.noteDirectFailure()
	}
}
