package gateway

import (
	"context"
	"net"
	"time"

	"github.com/rockcroft/rockcroft/transport/pool"
)

// This file has the pools of connections of a gateway, with their limits.

const (
	// upstreamDialTimeout bounds opening a connection to an upstream. It is a few round trips
	// long but shorter than the delay of a lost packet, so that another upstream is tried.
	upstreamDialTimeout = 250 * time.Millisecond
	// upstreamIdleTimeout is how long idle connections to upstreams are kept. Upstreams close
	// theirs after ten seconds or after the time that their responses announce.
	upstreamIdleTimeout = 6 * time.Second
	// upstreamIdleTimeoutOnce is the same for requests that are not idempotent: if a connection
	// ends while it is used, their outcome is unknown.
	upstreamIdleTimeoutOnce = 3 * time.Second
	// maxUpstreamIdleConns bounds the idle connections to one upstream, whose limit on connections all
	// gateways share.
	maxUpstreamIdleConns = 8
	// storeDialTimeout, storeIdleTimeout and maxStoreIdleConns are the same for the store.
	storeDialTimeout  = 300 * time.Millisecond
	storeIdleTimeout  = 5 * time.Second
	maxStoreIdleConns = 4
	// maxResponseHead bounds the status lines and headers that are read for one request, in bytes.
	maxResponseHead = 64 << 10
	// maxResponseBody bounds the body of a response, in bytes.
	maxResponseBody = 16 * megabyte
	// maxControlBody bounds the body of a response to a control call, in bytes. Nothing in it is used.
	maxControlBody = 64 << 10
	// responsesDivisor bounds the memory of all responses to requests of callers that are being read to the
	// allowed memory divided by this number. That is less than the share of heldBytesDivisor, so that responses
	// without an end do not keep the requests of other callers from being admitted.
	responsesDivisor = 6
	// controlResponsesDivisor is the same for the responses of the store and to control calls, which are not
	// ended for those to requests.
	controlResponsesDivisor = 8
)

// upstreamLimits are the limits of connections to upstreams.
var upstreamLimits = pool.Limits{
	DialTimeout: upstreamDialTimeout, MaxIdleTime: upstreamIdleTimeout, MaxIdleTimeNonIdempotent: upstreamIdleTimeoutOnce,
	MaxIdleConnsPerAddr: maxUpstreamIdleConns, MaxHeadBytes: maxResponseHead, MaxBodyBytes: maxResponseBody,
}

// controlLimits are the limits of connections for control calls to upstreams.
var controlLimits = func() pool.Limits {
	limits := upstreamLimits
	limits.MaxBodyBytes = maxControlBody
	return limits
}()

// storeLimits are the limits of connections to the platform's store.
var storeLimits = pool.Limits{
	DialTimeout: storeDialTimeout, MaxIdleTime: storeIdleTimeout, MaxIdleTimeNonIdempotent: storeIdleTimeout, MaxIdleConnsPerAddr: maxStoreIdleConns, MaxHeadBytes: maxResponseHead, MaxBodyBytes: maxResponseBody,
}

// newPool returns a pool whose responses are bounded by the given limits and memory.
func (g *Gateway) newPool(limits pool.Limits, memory *pool.Memory) *pool.Pool {
	return g.addPool(pool.New(limits, g.now), memory)
}

// addPool bounds the responses of a pool by the given memory.
func (g *Gateway) addPool(p *pool.Pool, memory *pool.Memory) *pool.Pool {
	p.ShareMemory(memory)
	g.pools = append(g.pools, p)
	return p
}

// newUpstreamPool returns a pool of connections to upstreams.
func (g *Gateway) newUpstreamPool(limits pool.Limits, memory *pool.Memory) *pool.Pool {
	p := pool.NewWithDialer(limits, g.now, func(ctx context.Context, network, addr string) (net.Conn, error) {
		return g.upstreamDialer(ctx, network, addr)
	})
	p.Observe(g.reach.record)
	return g.addPool(p, memory)
}
