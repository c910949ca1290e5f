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
	peer   syncpb.Peer
	began  time.Time
	waited bool
	status int
	body   []byte
	err    error
}

// callWays are the ways of making one call to the store, and those under way.
type callWays struct {
	store *storeCaller
	call  platform.Call
	// left begin the ways not tried yet and return how many calls they have begun.
	left []func(context.Context) int
	// running counts the calls under way. Each gives one result.
	running int
	results chan callResult
	// peers are the gateways left to ask one after the other, once chosen says so.
	peers  []syncpb.Peer
	chosen bool
	// rounds counts those in which a call that waits was made without a wait.
	rounds int
	// arriving tells that bytes of an answer have arrived.
	arriving chan struct{}
}

// ways returns the ways of making a call, the one to be tried first in front.
func (s *storeCaller) ways(c platform.Call) *callWays {
	w := &callWays{store: s, call: c, results: make(chan callResult, 1+mostRelays), arriving: make(chan struct{}, 1)}
	if c.Wait > 0 {
		w.left = w.watchWays()
		return w
	}
	relays := []func(context.Context) int{w.relayedAtOnce}
	if c.Method == http.MethodGet {
		relays = slices.Repeat([]func(context.Context) int{w.relayedNext}, mostRelays)
	}
	if s.avoidsDirect() {
		w.left = append(relays, w.direct)
	} else {
		w.left = append([]func(context.Context) int{w.direct}, relays...)
	}
	return w
}

// direct begins the call from here.
func (w *callWays) direct(ctx context.Context) int { return w.directly(ctx, w.call) }

// directly begins a form of the call from here.
func (w *callWays) directly(ctx context.Context, c platform.Call) int {
	began := time.Now()
	go func() {
		status, body, err := w.store.directly(ctx, c, w.noteArriving)
		w.give(ctx, callResult{direct: true, began: began, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
	return 1
}

// give hands a result over, unless nobody wants it any more.
func (w *callWays) give(ctx context.Context, r callResult) {
	select {
	case w.results <- r:
	case <-ctx.Done():
	}
}

// noteArriving tells that the answer is on its way. One note waits at most.
func (w *callWays) noteArriving() {
	select {
	case w.arriving <- struct{}{}:
	default:
	}
}

// relayedAtOnce begins the call by way of several other gateways.
func (w *callWays) relayedAtOnce(ctx context.Context) int {
	peers := w.store.relays(mostRelays)
	for _, peer := range peers {
		w.relayed(ctx, w.call, peer)
	}
	return len(peers)
}

// relayedNext begins the call by way of the best gateway that was not asked yet.
func (w *callWays) relayedNext(ctx context.Context) int {
	if !w.chosen {
		w.peers, w.chosen = w.store.relays(mostRelays), true
	}
	if len(w.peers) == 0 {
		return 0
	}
	w.relayed(ctx, w.call, w.peers[0])
	w.peers = w.peers[1:]
	return 1
}

// relayed begins a form of the call by way of one other gateway.
func (w *callWays) relayed(ctx context.Context, c platform.Call, peer syncpb.Peer) {
	began := time.Now()
	go func() {
		status, body, err := w.store.relay(ctx, peer, c, w.noteArriving)
		w.give(ctx, callResult{peer: peer, began: began, waited: c.Wait > 0, status: status, body: body, err: err})
	}()
}

// next begins the next way that is open, if one is left.
func (w *callWays) next(ctx context.Context) {
	for begun := 0; begun == 0 && len(w.left) > 0; w.left = w.left[1:] {
		begun = w.left[0](ctx)
		w.running += begun
	}
}

// goesOn reports whether a call is under way, and begins the next way if none is.
func (w *callWays) goesOn(ctx context.Context) bool {
	if w.running == 0 {
		w.next(ctx)
	}
	return w.running > 0
}

// run makes the call and returns the first result that the store has served.
func (w *callWays) run(ctx context.Context) (int, []byte, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	waits := time.Now().Add(w.call.Wait)
	patience := time.NewTimer(w.patience(waits))
	defer patience.Stop()
	for w.goesOn(ctx) {
		select {
		case r := <-w.results:
			w.running--
			switch {
			case served(r.status, r.err):
				w.succeeded(r)
				return r.status, r.body, nil
			case r.direct && tooMuch(r.err):
				// The store is reached. Another way's answer would be as large.
				return 0, nil, r.err
			case r.direct && ctx.Err() == nil:
				w.store.directFailed()
			}
			patience.Reset(w.patience(waits))
		case <-w.arriving:
			patience.Reset(callPatience + max(time.Until(waits), 0))
		case <-patience.C:
			w.next(ctx)
			patience.Reset(w.patience(waits))
		case <-ctx.Done():
			return 0, nil, context.Cause(ctx)
		}
	}
	if w.rounds > 0 && len(w.peers) == 0 {
		w.store.soughtAll()
	}
	w.store.failed()
	return 0, nil, errNoWay
}

// succeeded notes what a result that the store has served says of its way. A call that waits from
// here and was passed by one from elsewhere has been silent.
func (w *callWays) succeeded(r callResult) {
	w.store.succeeded(r.direct)
	if !r.waited {
		w.store.noteLatency(time.Since(r.began))
	}
	if r.direct {
		return
	}
	w.store.noteRelay(r.peer)
	if w.rounds > 0 {
		w.store.log.Info("changes asked for by other gateways, a call that waits heard nothing", "rounds", w.rounds)
		w.store.directFailed()
	}
}
