// Package bytebudget bounds the bytes that a gateway holds: the bodies of requests, and the responses on
// their way from upstreams to callers. A response is counted by its expected size before its request is
// sent, so that one that an upstream has produced never needs to be dropped for lack of memory.
package bytebudget

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// firstExpected is the expected size of a response in bytes before its route has returned one.
	firstExpected = 16 << 10
	// sizeGain is the weight of one response in the mean size of its route and in the mean deviation.
	sizeGain = 1.0 / 8
	// maxRoutes bounds the routes with a learned size, as operators may rename routes for years.
	maxRoutes = 4096
	// rateTime is the time constant with which the rate of released bytes is averaged.
	rateTime = time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is asked to come back.
	// Callers honour at most a third of the time they have left, which is half a second to two seconds.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// spread is the part of the time to come back that is drawn at random.
	spread = 0.25
	// claimedSizes is the number of expected sizes of its route up to which the length that a response announces
	// is counted before it arrives. An upstream may announce any length and send nothing of it.
	claimedSizes = 4
	// largeShare is the part of what the link carries within the objective of a route from which on the
	// route's responses are large: sixteen of them then take half of the objective.
	largeShare = 1.0 / 32
	// linkShare is the part of what the link carries within the objective that large responses may take.
	// The rest of the time is for the run at the upstream and for other traffic.
	linkShare = 0.5
)

// Limits are the bounds of a Budget.
type Limits struct {
	// Total bounds the bytes held for callers and upstreams.
	Total int64
	// Small is the size in bytes up to which a response is written to its caller at once, however slowly
	// the caller reads. Larger responses are admitted up to half of Total, so that slow readers leave room
	// for all others.
	Small int64
	// LinkRate is what the link to callers and upstreams carries, in bytes per second; zero if it is not
	// known. Responses of routes that are large compared with it are admitted only while it carries all of
	// them within their objectives.
	LinkRate float64
}

// Budget counts the bytes held by one gateway. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu  sync.Mutex
	rng *rand.Rand
	// held is the sum of all bodies, of the expected sizes of the responses that are awaited, and of the
	// real sizes of those that have arrived.
	held int64
	// heldLarge is the part of held that belongs to responses larger than Limits.Small.
	heldLarge int64
	refused   uint64
	// refusedLink is the part of refused that did not fit the link.
	refusedLink uint64
	// onLink are the large responses that are expected or not written yet.
	onLink []*Response
	routes map[string]*routeSize
	// releaseRate is the average of the bytes released per second, as of ratedAt.
	releaseRate  float64
	ratedAt      time.Time
	memory, link places
}

// places hands out times to come back.
type places struct {
	// next is the time by which the refused callers that were given a time to come back are likely to have
	// found room.
	next time.Time
}

// take returns the time until room for size more bytes, of which missing are missing now, at the given
// rate at which bytes become free.
func (p *places) take(now time.Time, missing, size, rate float64) time.Duration {
	need := size
	if !p.next.After(now) {
		p.next, need = now, missing
	}
	wait := maxRetryAfter
	if rate > 0 {
		wait = time.Duration(min(max(need, 0)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	if p.next = p.next.Add(wait); p.next.Sub(now) > maxRetryAfter {
		p.next = now.Add(maxRetryAfter)
	}
	return max(p.next.Sub(now), minRetryAfter)
}

// routeSize is the size of a route's responses.
type routeSize struct{ mean, deviation float64 }

// New returns a Budget that holds nothing.
func New(limits Limits, rng *rand.Rand) *Budget {
	return &Budget{limits: limits, rng: rng, routes: make(map[string]*routeSize)}
}

// Stats are the counters of a Budget.
type Stats struct {
	// Held is the number of bytes held.
	Held int64
	// Refused counts requests and second tries that were refused because of the bytes held, RefusedLink
	// those among them that did not fit the link.
	Refused, RefusedLink uint64
}

// Stats returns the current counters.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Held: b.held, Refused: b.refused, RefusedLink: b.refusedLink}
}

// Refusal is the refusal of a request for the bytes held.
type Refusal struct {
	// RetryAfter is when the request is likely to find room.
	RetryAfter time.Duration
}

// Expected returns the expected size in bytes of a response of the route.
func (b *Budget) Expected(route string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.expected(route)
}

// expected is the mean plus the mean deviation: about five of six responses are not larger.
func (b *Budget) expected(route string) int64 {
	if s := b.routes[route]; s != nil {
		return int64(math.Ceil(s.mean + s.deviation))
	}
	return firstExpected
}

// learn records the size of a response.
func (b *Budget) learn(route string, size int64) {
	s := b.routes[route]
	if s == nil {
		if len(b.routes) >= maxRoutes {
			clear(b.routes)
		}
		b.routes[route] = &routeSize{mean: float64(size), deviation: float64(size) / 2}
		return
	}
	difference := float64(size) - s.mean
	s.mean += sizeGain * difference
	s.deviation += sizeGain * (math.Abs(difference) - s.deviation)
}

// refuse counts a refusal and gives the caller a time to come back: refused callers come back in the order
// of their refusals, at the rate at which bytes have been released lately.
func (b *Budget) refuse(now time.Time, missing, size int64) *Refusal {
	b.refused++
	return b.refusal(b.memory.take(now, float64(missing), float64(size), b.rate(now)))
}

func (b *Budget) refusal(after time.Duration) *Refusal {
	return &Refusal{RetryAfter: time.Duration(float64(after) * (1 - spread*b.rng.Float64()))}
}

// checkLink returns a refusal if the link does not carry a large response in time.
func (b *Budget) checkLink(now time.Time, size int64, objective time.Duration) *Refusal {
	capacity := b.limits.LinkRate * objective.Seconds()
	if !b.isLarge(size, objective) {
		return nil
	}
	var used int64
	b.onLink = slices.DeleteFunc(b.onLink, func(r *Response) bool { return !r.usesLink(now) })
	for _, r := range b.onLink {
		used += r.counted
	}
	missing := float64(used+size) - linkShare*capacity
	// One response is admitted on an idle link, however large it is.
	if missing <= 0 || used == 0 {
		return nil
	}
	b.refused++
	b.refusedLink++
	return b.refusal(b.link.take(now, missing, float64(size), b.limits.LinkRate))
}

// isLarge reports whether a response is large compared with what the link carries within the objective.
func (b *Budget) isLarge(size int64, objective time.Duration) bool {
	return b.limits.LinkRate > 0 && float64(size) >= largeShare*b.limits.LinkRate*objective.Seconds()
}

// release subtracts bytes that are no longer held.
func (b *Budget) release(now time.Time, n int64) {
	b.held -= n
	rate := b.rate(now)
	b.releaseRate, b.ratedAt = rate+float64(n)/rateTime.Seconds(), now
}

// rate returns the average of the bytes released per second.
func (b *Budget) rate(now time.Time) float64 {
	return b.releaseRate * math.Exp(-max(now.Sub(b.ratedAt).Seconds(), 0)/rateTime.Seconds())
}

// Hold is what is held for one request of a caller. Its methods are safe for concurrent use.
type Hold struct {
	budget *Budget
	// bytes are those of the body and of the responses that have arrived.
	bytes int64
	// large is the part of bytes that belongs to responses larger than Limits.Small.
	large int64
	ended bool
}

// Begin returns the hold of a new request, which must be released.
func (b *Budget) Begin() *Hold { return &Hold{budget: b} }

// CheckBody returns a refusal if a body of the given size does not fit. It does not count it.
func (h *Hold) CheckBody(now time.Time, size int64) *Refusal {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+size > b.limits.Total {
		return b.refuse(now, b.held+size-b.limits.Total, size)
	}
	return nil
}

// AddBody counts a part of the body that has been read, or returns a refusal if it does not fit.
func (h *Hold) AddBody(now time.Time, n int64) *Refusal {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.limits.Total {
		return b.refuse(now, b.held+n-b.limits.Total, n)
	}
	b.held += n
	h.bytes += n
	return nil
}

// Release ends the hold: the body and all responses that have arrived are no longer held. Responses that
// are still awaited are counted until they end.
func (h *Hold) Release(now time.Time) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended {
		return
	}
	h.ended = true
	b.release(now, h.bytes)
	b.heldLarge -= h.large
	h.bytes, h.large = 0, 0
}

// Response is the counted size of one response, from before its request is sent.
type Response struct {
	hold  *Hold
	route string
	// counted is the size that is counted, arrived the part of it that has been received.
	counted, arrived int64
	// linkUntil is the time until which a large response counts as using the link. A caller that has not
	// taken it by then reads more slowly than the link carries, and uses little of it.
	linkUntil        time.Time
	ended, abandoned bool
}

// usesLink reports whether the response counts against what the link carries.
func (r *Response) usesLink(now time.Time) bool {
	return now.Before(r.linkUntil) && !r.abandoned && !(r.ended && r.hold.ended)
}

// Expect counts the response to a request of the route, or returns a refusal if it does not fit. A
// counted response must be ended by Complete or Abandon.
func (h *Hold) Expect(now time.Time, route string, objective time.Duration) (*Response, *Refusal) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	size := b.expected(route)
	if missing := b.missing(h, size); missing > 0 {
		return nil, b.refuse(now, missing, size)
	}
	if refusal := b.checkLink(now, size, objective); refusal != nil {
		return nil, refusal
	}
	r := &Response{hold: h, route: route}
	if b.isLarge(size, objective) {
		r.linkUntil = now.Add(objective)
		b.onLink = append(b.onLink, r)
	}
	r.setCounted(size)
	return r, nil
}

// missing returns how many bytes more must be free before a response of that size is admitted. One that
// alone exceeds a bound is admitted while nothing else is held.
func (b *Budget) missing(h *Hold, size int64) int64 {
	var missing int64
	if b.held > h.bytes {
		missing = b.held + size - b.limits.Total
	}
	if b.countsAsLarge(size) && b.heldLarge > 0 {
		missing = max(missing, b.heldLarge+size-b.limits.Total/2)
	}
	return missing
}

// countsAsLarge reports whether a slow reader can hold up a response of that size.
func (b *Budget) countsAsLarge(size int64) bool { return b.limits.Small > 0 && size > b.limits.Small }

// largeBytes returns the part of a size that counts to heldLarge.
func (b *Budget) largeBytes(size int64) int64 {
	if b.countsAsLarge(size) {
		return size
	}
	return 0
}

// Announced applies the size of the body that the head of the response announces. It is never refused. What
// goes beyond the usual sizes of the route is counted as it arrives.
func (r *Response) Announced(size int64) {
	b := r.hold.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.setCounted(max(min(size, claimedSizes*b.expected(r.route)), r.arrived))
}

// Received counts bytes of the response as they arrive. They are never refused.
func (r *Response) Received(n int) {
	b := r.hold.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.arrived += int64(n)
	r.setCounted(max(r.counted, r.arrived))
}

func (r *Response) setCounted(size int64) {
	if r.ended {
		return
	}
	b := r.hold.budget
	b.held += size - r.counted
	b.heldLarge += b.largeBytes(size) - b.largeBytes(r.counted)
	r.counted = size
}

// Complete ends a response that has arrived whole. Its bytes are held until the hold is released. The
// route's size is learned from responses that are not failures, as those are smaller than others.
func (r *Response) Complete(now time.Time, size int64, failure bool) {
	b := r.hold.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return
	}
	if !failure {
		b.learn(r.route, size)
	}
	r.setCounted(size)
	r.ended = true
	if r.hold.ended {
		b.release(now, size)
		b.heldLarge -= b.largeBytes(size)
		return
	}
	r.hold.bytes += size
	r.hold.large += b.largeBytes(size)
}

// Abandon ends a response that does not come or that has ended midway.
func (r *Response) Abandon(now time.Time) {
	b := r.hold.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return
	}
	r.ended, r.abandoned = true, true
	b.release(now, r.counted)
	b.heldLarge -= b.largeBytes(r.counted)
}
