package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/transport/pool"
)

// This file protects upstreams from requests that crash the upstreams which run them.

// maxEndChecks bounds the upstreams that are checked at the same time, for each kind of check.
const maxEndChecks = 8

// checks holds the upstreams that are being checked. It is safe for concurrent use.
type checks struct {
	mu        sync.Mutex
	upstreams map[string]bool
}

// begin reports whether a check of an upstream may begin: none is in progress, and not too many of others.
func (c *checks) begin(upstream string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.upstreams[upstream] || len(c.upstreams) >= maxEndChecks {
		return false
	}
	if c.upstreams == nil {
		c.upstreams = make(map[string]bool)
	}
	c.upstreams[upstream] = true
	return true
}

func (c *checks) end(upstream string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.upstreams, upstream)
}

// suspects holds what this gateway knows of such requests. It is safe for concurrent use.
type suspects struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	// gateways returns the number of gateways.
	gateways func() int
	// probeLink opens a connection to an upstream and checks that it lasts; nil if no ends are
	// concluded from refused connections.
	probeLink func(ctx context.Context, addr string) (opened time.Time, err error)

	// aborted are the checks of upstreams on which a run was aborted, confirming those of ends.
	aborted, confirming checks

	// version grows when other gateways must learn of a change without delay.
	version atomic.Uint64

	mu   sync.Mutex
	book *poison.Tracker
	// runs are the suspected requests that this gateway has sent and that are still running.
	runs *poison.ActiveRuns
	rng  *rand.Rand
	// cached is the message that was built at cachedAt.
	cached   *syncpb.Suspects
	cachedAt time.Time
}

func newSuspects(v *view, gateways func() int, now func() time.Time, log *slog.Logger, m *meters, rng *rand.Rand) *suspects {
	return &suspects{view: v, now: now, log: log, meters: m, gateways: gateways, book: poison.NewTracker(), runs: poison.NewActiveRuns(), rng: rng}
}

// digest identifies a repeated request by path, caller and body. It is computed on first use.
func (q *request) digest() poison.Digest {
	if q.cachedDigest == 0 {
		path, _, _ := strings.Cut(q.target, "?")
		caller, _, err := net.SplitHostPort(q.RemoteAddr)
		if err != nil {
			caller = q.RemoteAddr
		}
		q.cachedDigest = poison.DigestOf(path, caller, q.body)
	}
	return q.cachedDigest
}

// check refuses a request that has crashed too many upstreams. If the request must not run twice,
// its outcome is reported as unknown: it was sent before, and an upstream began to run it.
func (s *suspects) check(q *request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() || !s.book.Refused(s.now(), q.digest(), s.gateways(), s.rng.Float64()) {
		return nil
	}
	s.meters.inc(suspectsRefused)
	kind := answer.Harmful
	if !q.route.Idempotent {
		kind = answer.HarmfulOnce
	}
	err := answer.New(kind, "%d upstreams have ended with this request on them, digest %s", s.book.CrashCount(q.digest()), digestText(q.digest()))
	// Not the short default for a refusal for lack of capacity: this request is refused for at
	// least a minute.
	err.RetryAfter = kind.Response().RetryAfter
	return err
}

// undecidedPoll is the time between looks at whether a request is refused.
const undecidedPoll = 5 * time.Millisecond

// awaitDecision waits while it is undecided whether the request is refused, until ctx ends at the latest, and
// then checks the request.
func (s *suspects) awaitDecision(ctx context.Context, q *request) error {
	if !s.undecided(q) {
		return nil
	}
	s.meters.inc(suspectsHeld)
	for ctx.Err() == nil && s.undecided(q) {
		pause(ctx, undecidedPoll)
	}
	return s.check(q)
}

// undecided reports whether it is still open if the request is refused.
func (s *suspects) undecided(q *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.book.Empty() && s.book.Undecided(s.now(), q.digest())
}

// isSuspected reports whether an upstream has crashed while running the request. Such a request is
// not retried by the gateway.
func (s *suspects) isSuspected(q *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.book.Empty() && s.book.CrashCount(q.digest()) > 0
}

// upstreamsToAvoid returns the upstreams to which a suspected request must not be sent because
// other suspected requests run there. If these are at least half of the service's upstreams, it
// returns none, because the suspected requests would otherwise wait for each other.
func (s *suspects) upstreamsToAvoid(q *request) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() {
		return nil
	}
	occupied := s.runs.UpstreamsToAvoid(q.digest(), s.book.CrashCount(q.digest()))
	if 2*len(occupied) >= len(s.view.inst.Load().Service(q.service.Name)) {
		return nil
	}
	return occupied
}

// recordStarted records that a request is sent to an upstream, and reports whether it is suspected.
func (s *suspects) recordStarted(q *request, g dispatch.Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() || s.book.CrashCount(q.digest()) == 0 {
		return false
	}
	s.runs.Begin(g.Instance.ID, q.digest())
	return true
}

// recordEnded records the outcome of a try on a connection opened at the time of connected. suspected is what
// recordStarted returned for it.
func (s *suspects) recordEnded(q *request, g dispatch.Grant, suspected bool, o dispatch.Outcome, connected time.Time) {
	inst := &g.Instance
	s.mu.Lock()
	var crashes []poison.Crash
	if suspected {
		s.runs.End(inst.ID, q.digest())
	}
	switch o {
	case dispatch.ConnectionBroken:
		crashes = s.book.RequestAborted(s.now(), q.digest(), inst.ID, inst.Incarnation(), connected)
		if len(crashes) == 0 {
			defer s.checkAborted(*inst)
		}
	case dispatch.ConnectionRefused:
		s.book.DialRefused(s.now(), inst.ID)
		if !s.book.EndKnown(inst.ID, inst.Incarnation()) {
			defer s.confirmEnd(*inst, s.now())
		}
	case dispatch.Answered, dispatch.Failed, dispatch.Overloaded:
		if end, ok := s.book.RequestAnswered(s.now(), poison.Answer{Upstream: inst.ID, Incarnation: inst.Incarnation(), Connected: connected, Sent: g.GrantedAt}); ok {
			defer s.logContradicted(end, connected)
		}
		if o == dispatch.Answered && !s.book.Empty() {
			s.book.Succeeded(s.now(), q.digest())
		}
	}
	s.mu.Unlock()
	s.logCrashes(crashes, poison.RefusedDial)
}

// checkAborted connects in the background to an upstream on which a run was aborted. Requests would show
// later that it has ended, as they avoid it now, and the aborted one may be sent elsewhere meanwhile.
func (s *suspects) checkAborted(inst instances.Instance) {
	if s.probeLink == nil || !s.aborted.begin(inst.ID) {
		return
	}
	go func() {
		accepted, err := s.probeLink(context.Background(), inst.Address)
		s.aborted.end(inst.ID)
		switch {
		case err == nil:
			s.mu.Lock()
			s.book.ConnectionAccepted(accepted, inst.ID, inst.Incarnation())
			s.mu.Unlock()
		case errors.Is(err, pool.ErrRefused):
			s.dialRefused(inst)
		}
	}()
}

// dialRefused records that an upstream on which a run was aborted, here or at another gateway, refused a
// connection, and checks whether it has ended.
func (s *suspects) dialRefused(inst instances.Instance) {
	s.mu.Lock()
	now := s.now()
	s.book.DialRefused(now, inst.ID)
	possible := s.book.EndPossible(now, inst.ID, inst.Incarnation())
	s.mu.Unlock()
	if possible {
		s.reportNow()
	}
	s.confirmEnd(inst, now)
}

// endCheckers is the number of gateways that check an end which another one has reported as possible.
const endCheckers = 3

// checkForOther checks an end that another gateway has reported as possible. That one may be unable to confirm
// it, as it is cut off from other upstreams.
func (s *suspects) checkForOther(p poison.PossibleEnd) {
	v := s.view.inst.Load()
	if v == nil {
		return
	}
	inst := v.Get(p.Upstream)
	if inst == nil || inst.Incarnation() != p.Incarnation {
		return
	}
	s.mu.Lock()
	chosen := s.rng.Float64()*float64(s.gateways()) < endCheckers
	s.mu.Unlock()
	if chosen {
		s.checkAborted(*inst)
	}
}

// confirmEnd checks in the background whether the end of an upstream whose address refused a connection
// at the given time is likely: a few other upstreams, of its failure domain if there are any, all take
// connections from here. Otherwise this gateway may be cut off from some of them. It does nothing
// while such a check is in progress.
func (s *suspects) confirmEnd(refused instances.Instance, at time.Time) {
	if s.probeLink == nil || !s.confirming.begin(refused.ID) {
		return
	}
	addresses := s.confirmingAddresses(refused)
	go func() {
		defer s.confirming.end(refused.ID)
		if !s.allAccept(addresses) {
			s.meters.inc(suspectsUnconfirmed)
			s.log.Info("end of an upstream is not confirmed", "upstream", refused.ID, "asked", len(addresses))
			return
		}
		s.mu.Lock()
		crashes := s.book.UpstreamEnded(at, refused.ID, refused.Incarnation(), poison.RefusedDial)
		urgent := s.isUrgent(crashes)
		s.mu.Unlock()
		if urgent {
			s.reportNow()
		}
		s.logCrashes(crashes, poison.RefusedDial)
	}()
}

// allAccept reports whether there are addresses and all of them accept a connection from here.
func (s *suspects) allAccept(addresses []string) bool {
	var all sync.WaitGroup
	var failed atomic.Bool
	for _, addr := range addresses {
		all.Go(func() {
			if _, err := s.probeLink(context.Background(), addr); err != nil {
				failed.Store(true)
			}
		})
	}
	all.Wait()
	return len(addresses) > 0 && !failed.Load()
}

// confirmingAddresses returns the addresses of the upstreams that must take a connection to confirm the
// end of the given one.
func (s *suspects) confirmingAddresses(refused instances.Instance) []string {
	v := s.view.inst.Load()
	if v == nil {
		return nil
	}
	var same, others []poison.End
	for inst := range v.All() {
		process := poison.End{Upstream: inst.ID, Incarnation: inst.Incarnation()}
		switch {
		case inst.ID == refused.ID:
		case inst.Domain == refused.Domain:
			same = append(same, process)
		default:
			others = append(others, process)
		}
	}
	if len(same) == 0 {
		same = others
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rng.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	var out []string
	for _, id := range s.book.Confirming(s.now(), same) {
		out = append(out, v.Get(id).Address)
	}
	return out
}

// discardAborted forgets the runs that were aborted after the given time, since which this gateway has
// reached no upstream: its links are the likely cause.
func (s *suspects) discardAborted(after time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.DiscardAborted(after)
}

// onViewChanged compares the incarnations of upstreams on which runs were cut off with the current
// ones.
func (s *suspects) onViewChanged(v *instances.View) {
	var crashes []poison.Crash
	s.mu.Lock()
	for _, end := range s.book.UnconfirmedEnds() {
		if inst := v.Get(end.Upstream); inst == nil || inst.Incarnation().DiffersFrom(end.Incarnation) {
			crashes = append(crashes, s.book.UpstreamEnded(s.now(), end.Upstream, end.Incarnation, poison.ChangedEntry)...)
		}
	}
	s.book.Prune(s.now())
	s.mu.Unlock()
	s.logCrashes(crashes, poison.ChangedEntry)
}

// logCrashes logs and counts crashes of upstreams with requests on them. from names what revealed
// the crash.
func (s *suspects) logCrashes(crashes []poison.Crash, from poison.Source) {
	for _, c := range crashes {
		s.meters.inc(suspectsCrashes)
		s.mu.Lock()
		count := s.book.CrashCount(c.Digest)
		s.mu.Unlock()
		s.log.Warn("upstream crashed while running a request", "digest", digestText(c.Digest), "crashes", count,
			"upstream", c.Upstream, "from", from, "after_ms", s.now().Sub(c.At).Milliseconds(),
			"connection_ms", c.At.Sub(c.Connected).Milliseconds())
	}
}

// logContradicted logs and counts an upstream that has answered after its end was concluded, on a connection
// opened at the time of connected.
func (s *suspects) logContradicted(end poison.End, connected time.Time) {
	s.meters.inc(suspectsContradicted)
	s.log.Warn("upstream answers after its end was concluded", "upstream", end.Upstream, "from", end.Source,
		"after_ms", s.now().Sub(end.At).Milliseconds(), "connected_after_ms", connected.Sub(end.At).Milliseconds())
}

// clear lets a request through again at an operator's request.
func (s *suspects) clear(d poison.Digest, by string) {
	s.mu.Lock()
	s.book.Clear(poison.Clearing{Digest: d, At: s.now()})
	s.mu.Unlock()
	s.log.Info("suspected request cleared", "digest", digestText(d), "by", by)
}

// list returns the suspected requests.
func (s *suspects) list() []poison.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Prune(s.now())
	return s.book.Suspects()
}

// updateGauges updates the gauges for suspected and refused requests.
func (s *suspects) updateGauges() {
	list := s.list()
	refused := 0
	for _, suspect := range list {
		if suspect.Refused {
			refused++
		}
	}
	s.meters.gauge(suspectsKnown, int64(len(list)))
	s.meters.gauge(suspectsStopped, int64(refused))
}

// digestText and parseDigest convert digests to and from the form shown to operators.
func digestText(d poison.Digest) string { return fmt.Sprintf("%016x", uint64(d)) }

var errInvalidDigest = errors.New("not a digest of 16 hexadecimal digits")

func parseDigest(text string) (poison.Digest, error) {
	var d uint64
	if n, err := fmt.Sscanf(text, "%16x", &d); err != nil || n != 1 || len(text) != 16 {
		return 0, errInvalidDigest
	}
	return poison.Digest(d), nil
}
