package gateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/coordination/bytebudget"
	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/reach"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// This file forwards requests to another gateway while this one reaches no upstream, and serves those
// that other gateways forward. A forwarded request is not forwarded again.

const (
	// maxForwardTries bounds the gateways that are asked for one request.
	maxForwardTries = 3
	// maxForwardIdleConns bounds the idle connections to one gateway.
	maxForwardIdleConns = 16
	// A gateway has at most forwardedPerOwn times as many forwarded requests in progress as requests of
	// its own callers, plus forwardedFloor. In a large deployment the gateways of a domain that is cut
	// off know only a few gateways of the other domains.
	forwardedPerOwn = 4
	forwardedFloor  = 32
	// forwardedPollInterval is the time between checks for forwarded requests in progress at a stop.
	forwardedPollInterval = 10 * time.Millisecond
)

// forwardLimits are the limits of the connections for forwarded requests.
var forwardLimits = pool.Limits{
	DialTimeout: upstreamDialTimeout, MaxIdleTime: upstreamIdleTimeout, MaxIdleTimeNonIdempotent: upstreamIdleTimeoutOnce,
	MaxIdleConnsPerAddr: maxForwardIdleConns, MaxHeadBytes: maxResponseHead, MaxBodyBytes: maxResponseBody,
}

// forwarder chooses the gateways to which requests are forwarded. It is safe for concurrent use.
type forwarder struct {
	reach   *upstreamReach
	cluster *cluster
	conns   *pool.Pool
	now     func() time.Time
	log     *slog.Logger
	meters  *meters
	// inProgress is the number of requests that other gateways have forwarded and that are not
	// answered yet.
	inProgress atomic.Int64

	mu    sync.Mutex
	peers *reach.Peers
}

func newForwarder(r *upstreamReach, c *cluster, conns *pool.Pool, now func() time.Time, log *slog.Logger, m *meters, rng *rand.Rand) *forwarder {
	return &forwarder{
		reach: r, cluster: c, conns: conns, now: now, log: log, meters: m,
		peers: reach.NewPeers(c.self.Domain, c.regions, rng),
	}
}

// replaces reports whether a request that this gateway could not send to any upstream is forwarded.
func (f *forwarder) replaces(q *request, err error) bool {
	if !f.reach.noNewConnections.Load() || q.forwarded || q.mayHaveRun || q.arrivedTries > 0 {
		return false
	}
	switch answer.KindOf(err) {
	case answer.Unreachable, answer.Overloaded, answer.NoOwner:
		return true
	}
	return false
}

// choose returns a gateway that has not been tried.
func (f *forwarder) choose(tried []string) (reach.Peer, bool) {
	all := f.cluster.otherGateways()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers.Choose(f.now(), all, tried)
}

// avoid records that a gateway could not take a request.
func (f *forwarder) avoid(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers.Prune(f.now())
	f.peers.Avoid(f.now(), address)
}

// late records that a gateway has not answered a request in time.
func (f *forwarder) late(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers.Prune(f.now())
	f.peers.Late(f.now(), address)
}

// deliver sends the request to an upstream, by way of another gateway if this one reaches none, and
// returns the response. An error is final and carries its kind.
func (f *proxy) deliver(ctx context.Context, q *request) (*pool.Response, error) {
	if f.forward.reach.cutOff.Load() && !q.forwarded {
		if resp, handled, err := f.forwardToPeer(ctx, q); handled {
			return resp, err
		}
	}
	resp, err := f.deliverDirect(ctx, q)
	if err != nil && f.forward.replaces(q, err) {
		if resp, handled, err := f.forwardToPeer(ctx, q); handled {
			return resp, err
		}
	}
	return resp, err
}

// forwardToPeer sends the request to another gateway and returns what that answers. handled is false if
// no gateway took the request, which has then not run.
func (f *proxy) forwardToPeer(ctx context.Context, q *request) (resp *pool.Response, handled bool, err error) {
	response, err := f.expectResponse(q)
	if err != nil {
		return nil, true, err
	}
	defer func() {
		if resp == nil {
			response.Abandon(f.now())
			return
		}
		response.Complete(f.now(), int64(len(resp.Body)), resp.Status >= http.StatusBadRequest)
	}()
	if q.firstSentAt.IsZero() {
		q.firstSentAt = f.now()
	}
	var tried []string
	for ctx.Err() == nil && len(tried) < maxForwardTries {
		peer, ok := f.forward.choose(tried)
		if !ok {
			break
		}
		tried = append(tried, peer.Address)
		var answered *pool.Response
		answered, err = f.sendToPeer(ctx, q, peer, response)
		switch {
		case err == nil && isForwardTaken(answered) && q.mayHaveRun && statusImpliesNotRun(answered.Status):
			// The other gateway knows of its own tries only.
			f.meters.inc(forwardAnswered)
			return nil, true, f.finalError(ctx, q, errAmbiguousRefusal)
		case err == nil && isForwardTaken(answered):
			delete(answered.Header, header.Hops)
			f.meters.inc(forwardAnswered)
			return answered, true, nil
		case errors.Is(context.Cause(ctx), context.Canceled):
			// The caller has left, which says nothing of the other gateway.
			return nil, true, f.finalError(ctx, q, err)
		case err == nil, errors.Is(err, pool.ErrNotSent):
			f.forward.avoid(peer.Address)
			f.meters.inc(forwardNotTaken)
			continue
		}
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			f.forward.late(peer.Address)
		} else {
			f.forward.avoid(peer.Address)
		}
		f.meters.inc(forwardBroken)
		q.arrivedTries++
		q.mayHaveRun = true
		if !q.route.Idempotent || ctx.Err() != nil || q.arrivedTries >= q.route.MaxAttempts || !f.spendRetry(q) {
			return nil, true, f.finalError(ctx, q, err)
		}
	}
	if q.mayHaveRun {
		return nil, true, f.finalError(ctx, q, err)
	}
	return nil, false, nil
}

// isForwardTaken reports whether another gateway has handled a forwarded request. One of a version that
// does not know such requests answers without the header, and so does an upstream, which has not run it.
func isForwardTaken(resp *pool.Response) bool {
	return resp.Header.Get(header.Hops) != "" && resp.Header.Get(header.Refused) == ""
}

// sendToPeer sends the request to another gateway.
func (f *proxy) sendToPeer(ctx context.Context, q *request, peer reach.Peer, response *bytebudget.Response) (*pool.Response, error) {
	h := platform.EndToEndHeaders(q.Header)
	h[header.Hops], h[header.Caller] = []string{"1"}, []string{q.RemoteAddr}
	// An upstream that has taken over the address of a gateway rejects a request for another target.
	platform.SetTarget(h, peer.Address)
	a := admission{grant: dispatch.Grant{Instance: instances.Instance{Domain: peer.Domain}}, response: response}
	return f.forward.conns.Do(ctx, peer.Address, &pool.Request{
		Method: q.Method, Target: q.target, Host: q.Host, Header: h, Body: q.body,
		EchoHeader: platform.RequestID, EchoValue: q.id, EchoOptional: true, NonIdempotent: !q.route.Idempotent,
		BeforeSend: func() error { return f.setTimeLeft(h, q) },
		OnLength:   response.Announced, OnRead: f.countReceived(q, a),
	})
}

// forwardedKey is the context key of requests that another gateway has forwarded.
type forwardedKey struct{}

// isForwarded reports whether another gateway has forwarded the request.
func isForwarded(r *http.Request) bool { return r.Context().Value(forwardedKey{}) != nil }

// serveForwarded serves a request that another gateway has forwarded. It refuses the request before
// anything is done with it if this gateway stops, reaches no upstream itself, or serves too many of
// them.
func (f *proxy) serveForwarded(w http.ResponseWriter, r *http.Request) {
	forwarded := f.forward.inProgress.Add(1)
	defer f.forward.inProgress.Add(-1)
	caller := r.Header.Get(header.Caller)
	delete(r.Header, header.Hops)
	delete(r.Header, header.Caller)
	delete(r.Header, platform.TargetInstance)
	w.Header().Set(header.Hops, "1")
	switch {
	case f.draining.Load():
		f.refuseForwarded(w, r, header.RefusedStopping, answer.New(answer.Stopping, "this gateway is stopping"))
		return
	case f.forward.reach.cutOff.Load():
		f.refuseForwarded(w, r, header.RefusedUnreachable, answer.New(answer.Unreachable, "this gateway reaches no upstream either"))
		return
	case forwarded > forwardedFloor+forwardedPerOwn*max(f.openRequests.count()-forwarded, 0):
		f.refuseForwarded(w, r, header.RefusedOverloaded, answer.New(answer.Overloaded, "%d forwarded requests are in progress", forwarded))
		return
	}
	f.meters.inc(forwardServed)
	r = r.WithContext(context.WithValue(r.Context(), forwardedKey{}, true))
	r.RemoteAddr = caller
	f.ServeHTTP(w, r)
}

func (f *proxy) refuseForwarded(w http.ResponseWriter, r *http.Request, reason string, err error) {
	f.meters.inc(forwardRefused)
	w.Header().Set(header.Refused, reason)
	w.Header().Set(platform.RequestID, platform.ID(r.Header))
	answer.Write(w, err)
}

// awaitForwarded waits until the forwarded requests in progress are answered, or ctx ends.
func (f *proxy) awaitForwarded(ctx context.Context) {
	for f.forward.inProgress.Load() > 0 && ctx.Err() == nil {
		pause(ctx, forwardedPollInterval)
	}
}
