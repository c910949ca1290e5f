package bytebudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func newBudget(total int64) *Budget {
	return New(Limits{Total: total}, rand.New(rand.NewPCG(1, 2)))
}

// learn lets the budget see responses of a size.
func learn(t *testing.T, b *Budget, route string, size int64) {
	t.Helper()
	for range 60 {
		h := b.Begin()
		r, refusal := h.Expect(start, route, time.Second)
		if refusal != nil {
			t.Fatal("refused while nothing is held")
		}
		r.Complete(start, size, false)
		h.Release(start)
	}
}

// TestResponsesAreCountedBeforeTheyArrive guards against a budget that sees responses only once they have
// arrived: then any number of requests is sent, and their responses exceed the memory together.
func TestResponsesAreCountedBeforeTheyArrive(t *testing.T) {
	b := newBudget(1 << 20)
	learn(t, b, "large", 100<<10)
	var responses []*Response
	for range 100 {
		if r, refusal := b.Begin().Expect(start, "large", time.Second); refusal == nil {
			responses = append(responses, r)
		}
	}
	if n := len(responses); n < 9 || n > 10 {
		t.Errorf("%d responses of 100 KB are awaited in 1 MB", n)
	}
	if s := b.Stats(); s.Held > 1<<20 || s.Refused != uint64(100-len(responses)) {
		t.Errorf("held %d, refused %d", s.Held, s.Refused)
	}
	for _, r := range responses {
		r.Complete(start, 150<<10, false)
	}
	if held := b.Stats().Held; held != int64(len(responses))*150<<10 {
		t.Errorf("held %d after responses that were larger than expected", held)
	}
}

// TestNothingStaysHeld guards against bytes that stay counted, with which a gateway refuses more and more:
// of responses that end midway, that exceed their announced size, and of tries that outlive their request.
func TestNothingStaysHeld(t *testing.T) {
	b := New(Limits{Total: 1 << 20, Small: 10 << 10, LinkRate: 1 << 20}, rand.New(rand.NewPCG(1, 2)))
	rng := rand.New(rand.NewPCG(3, 4))
	now := start
	for range 5000 {
		now = now.Add(time.Millisecond)
		h := b.Begin()
		if h.AddBody(now, rng.Int64N(5000)) != nil {
			t.Fatal("refused while nothing is held")
		}
		var tries []*Response
		for range 1 + rng.IntN(2) {
			if r, refusal := h.Expect(now, "a", time.Second); refusal == nil {
				tries = append(tries, r)
			}
		}
		early := rng.IntN(2) == 0
		if early {
			h.Release(now)
		}
		for _, r := range tries {
			if rng.IntN(2) == 0 {
				r.Announced(rng.Int64N(50000))
			}
			r.Received(rng.IntN(30000))
			if rng.IntN(2) == 0 {
				r.Complete(now, r.arrived, false)
			} else {
				r.Abandon(now)
			}
			r.Received(1000)
			r.Abandon(now)
		}
		h.Release(now)
		h.Release(now)
		if held := b.Stats().Held; held != 0 {
			t.Fatalf("%d bytes are held by nobody", held)
		}
		if b.heldLarge != 0 {
			t.Fatalf("%d bytes of large responses are held by nobody", b.heldLarge)
		}
	}
}

// TestBodiesAreCountedAsTheyArrive guards against bodies that are counted only when they are complete:
// many slow senders then exceed the bound together.
func TestBodiesAreCountedAsTheyArrive(t *testing.T) {
	b := newBudget(100 << 10)
	var holds []*Hold
	refused := 0
	for range 50 {
		h := b.Begin()
		if h.CheckBody(start, 10<<10) != nil || h.AddBody(start, 4<<10) != nil {
			refused++
		}
		holds = append(holds, h)
	}
	if refused < 25 || b.Stats().Held > 100<<10 {
		t.Errorf("refused %d of 50, held %d", refused, b.Stats().Held)
	}
	for _, h := range holds {
		h.Release(start)
	}
	if held := b.Stats().Held; held != 0 {
		t.Errorf("held %d", held)
	}
}

// TestResponseBeyondTheBoundIsServedAlone guards against a route whose responses exceed the whole bound,
// for example because of one huge response, and which is then refused for good.
func TestResponseBeyondTheBoundIsServedAlone(t *testing.T) {
	b := newBudget(1 << 20)
	learn(t, b, "huge", 3<<20)
	h := b.Begin()
	r, refusal := h.Expect(start, "huge", time.Second)
	if refusal != nil {
		t.Fatal("refused while nothing is held")
	}
	if _, refusal := b.Begin().Expect(start, "small", time.Second); refusal == nil {
		t.Error("another response was admitted")
	}
	r.Complete(start, 3<<20, false)
	h.Release(start)
	learn(t, b, "huge", 1000)
}

// TestRefusedCallersComeBackSpread guards against callers that are refused together and come back
// together: they get times in the order in which room is released, within what callers honour.
func TestRefusedCallersComeBackSpread(t *testing.T) {
	b := newBudget(100 << 10)
	now := start
	// 100 KB are released per second.
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		h := b.Begin()
		h.AddBody(now, 1<<10)
		h.Release(now)
	}
	full := b.Begin()
	full.AddBody(now, 100<<10)
	var previous time.Duration
	distinct := 0
	for range 20 {
		refusal := b.Begin().AddBody(now, 4<<10)
		if refusal == nil {
			t.Fatal("admitted beyond the bound")
		}
		if refusal.RetryAfter < minRetryAfter/2 || refusal.RetryAfter > maxRetryAfter {
			t.Errorf("come back after %v", refusal.RetryAfter)
		}
		if refusal.RetryAfter != previous {
			distinct++
		}
		previous = refusal.RetryAfter
	}
	if distinct < 15 {
		t.Errorf("only %d of 20 times differ", distinct)
	}
}

// TestFailuresDoNotShrinkTheExpectedSize guards against a route whose upstreams fail for a while: failures
// are small, and the responses after them would be admitted beyond the bound.
func TestFailuresDoNotShrinkTheExpectedSize(t *testing.T) {
	b := newBudget(1 << 20)
	learn(t, b, "large", 100<<10)
	before := b.Expected("large")
	for range 100 {
		r, refusal := b.Begin().Expect(start, "large", time.Second)
		if refusal != nil {
			t.Fatal("refused while nothing is held")
		}
		r.Complete(start, 0, true)
	}
	if after := b.Expected("large"); after != before {
		t.Errorf("expects %d bytes, before the failures %d", after, before)
	}
}

// TestSlowReadersLeaveHalf guards against slow readers of large responses that take all room: small
// responses must still be admitted, and large ones again once the readers are gone.
func TestSlowReadersLeaveHalf(t *testing.T) {
	b := New(Limits{Total: 1 << 20, Small: 32 << 10}, rand.New(rand.NewPCG(1, 2)))
	learn(t, b, "large", 100<<10)
	learn(t, b, "small", 2<<10)
	var stuck []*Hold
	refused := 0
	for range 100 {
		h := b.Begin()
		r, refusal := h.Expect(start, "large", time.Second)
		if refusal != nil {
			refused++
			continue
		}
		r.Complete(start, 100<<10, false)
		stuck = append(stuck, h)
	}
	if len(stuck) < 4 || len(stuck) > 5 {
		t.Errorf("%d large responses are held in 1 MB", len(stuck))
	}
	for range 100 {
		if _, refusal := b.Begin().Expect(start, "small", time.Second); refusal != nil {
			t.Fatal("a small response was refused")
		}
	}
	for _, h := range stuck {
		h.Release(start)
	}
	if _, refusal := b.Begin().Expect(start, "large", time.Second); refusal != nil {
		t.Error("refused after the slow readers have gone")
	}
}

// TestLinkBoundsLargeResponses guards against downloads that are admitted together and all of them late
// because the link does not carry them within their objective. Small responses and gateways whose link is
// not known must not be bound, and a reader that stops must not keep the link for long.
func TestLinkBoundsLargeResponses(t *testing.T) {
	count := func(rate float64, route string, size int64) (admitted int, b *Budget) {
		b = New(Limits{Total: 100 << 20, Small: 64 << 10, LinkRate: rate}, rand.New(rand.NewPCG(1, 2)))
		learn(t, b, route, size)
		for range 300 {
			if r, refusal := b.Begin().Expect(start, route, time.Second); refusal == nil {
				r.Complete(start, size, false)
				admitted++
			} else if refusal.RetryAfter > maxRetryAfter {
				t.Errorf("come back after %v", refusal.RetryAfter)
			}
		}
		return admitted, b
	}
	// 10 Mbit/s carry 1.25 MB within the objective of 1 s.
	n, b := count(1.25e6, "large", 90e3)
	if n != 6 || b.Stats().RefusedLink != 294 {
		t.Errorf("%d downloads of 90 KB are admitted on 10 Mbit/s, %d refused for the link", n, b.Stats().RefusedLink)
	}
	if _, refusal := b.Begin().Expect(start.Add(time.Second), "large", time.Second); refusal != nil {
		t.Error("readers that have stopped keep the link")
	}
	if n, _ := count(1.25e6, "small", 10e3); n != 300 {
		t.Errorf("%d of 300 small responses are admitted", n)
	}
	if n, _ := count(0, "large", 90e3); n != 300 {
		t.Errorf("%d of 300 downloads are admitted where the link is not known", n)
	}
	if n, _ := count(1.25e6, "huge", 5e6); n != 1 {
		t.Errorf("%d responses larger than the link carries in time are admitted on the idle link", n)
	}
}

// TestAnnouncedSizeIsCountedAsItArrives guards against announced lengths of which next to nothing arrives, and for which other requests are refused.
func TestAnnouncedSizeIsCountedAsItArrives(t *testing.T) {
	b := newBudget(8 << 20)
	learn(t, b, "small", 2<<10)
	var responses []*Response
	for range 20 {
		r, refusal := b.Begin().Expect(start, "small", time.Second)
		if refusal != nil {
			t.Fatal("refused for what was announced")
		}
		r.Announced(16 << 20)
		r.Received(500)
		responses = append(responses, r)
	}
	if held := b.Stats().Held; held > 20*16<<10 {
		t.Errorf("%d bytes are held for 20 responses of which 500 have arrived", held)
	}
	responses[0].Received(6 << 20)
	responses[1].Received(2 << 20)
	if _, refusal := b.Begin().Expect(start, "small", time.Second); refusal == nil {
		t.Error("admitted although more than the bound has arrived")
	}
	for _, r := range responses {
		r.Abandon(start)
	}
	if held := b.Stats().Held; held != 0 {
		t.Errorf("held %d", held)
	}
}
