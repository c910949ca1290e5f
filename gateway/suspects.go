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
)

// This file protects upstreams from requests that crash the upstreams which run them.

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
	// cutOff reports whether this gateway reaches no upstream.
	cutOff func() bool

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
	return &suspects{cutOff: func() bool { return false }, view: v, now: now, log: log, meters: m, gateways: gateways, book: poison.NewTracker(), runs: poison.NewActiveRuns(), rng: rng}
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
		if s.cutOff() {
			// The links of this gateway are the likely cause.
			break
		}
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
		if o == dispatch.Answered && s.book.AnswersMatter() {
			s.book.Succeeded(s.now(), q.digest())
		}
	}
	s.mu.Unlock()
	s.logCrashes(crashes, poison.RefusedDial)
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
