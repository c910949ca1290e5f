package gateway

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/coordination/poison"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// This file keeps requests from upstreams that end the upstreams which run them.

// suspects is what this gateway knows of such requests, for concurrent use.
type suspects struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	// gateways returns how many gateways there are.
	gateways func() int

	mu   sync.Mutex
	book *poison.Tracker
	// runs are those of suspects that this gateway has sent.
	runs *poison.ActiveRuns
	rng  *rand.Rand
	// packed is the message that was made at packedAt.
	packed   *syncpb.Suspects
	packedAt time.Time
}

func newSuspects(v *view, gateways func() int, now func() time.Time, log *slog.Logger, m *meters, rng *rand.Rand) *suspects {
	return &suspects{view: v, now: now, log: log, meters: m, gateways: gateways, book: poison.NewTracker(), runs: poison.NewActiveRuns(), rng: rng}
}

// digest tells the request again when it comes another time, by path, caller and body. It is
// worked out when it is first asked for.
func (q *request) digest() poison.Digest {
	if q.known == 0 {
		path, _, _ := strings.Cut(q.target, "?")
		caller, _, err := net.SplitHostPort(q.RemoteAddr)
		if err != nil {
			caller = q.RemoteAddr
		}
		q.known = poison.DigestOf(path, caller, q.body)
	}
	return q.known
}

// check refuses a request that has ended too many upstreams. One that may not run twice has an
// unknown outcome: it came before, and an upstream began to run it.
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
	// Not the short time of a refusal for want of room: it is refused for a minute at least.
	err.RetryAfter = kind.Row().RetryAfter
	return err
}

// suspected reports whether an upstream has ended with the request on it: then it is not sent again
// by itself.
func (s *suspects) suspected(q *request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.book.Empty() && s.book.CrashCount(q.digest()) > 0
}

// avoid returns the upstreams at which a suspect is not to run, as others do. Where that would be
// half of the service's and more it runs beside others, as they would wait for each other.
func (s *suspects) avoid(q *request) []string {
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

// began notes that a request is sent to an upstream, and reports whether it is suspected.
func (s *suspects) began(q *request, g dispatch.Grant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book.Empty() || s.book.CrashCount(q.digest()) == 0 {
		return false
	}
	s.runs.Begin(g.Instance.ID, q.digest())
	return true
}

// ended notes how a try ended, which was suspected when it began or not.
func (s *suspects) ended(q *request, g dispatch.Grant, suspected bool, o dispatch.Outcome) {
	one := &g.Instance
	s.mu.Lock()
	var crashes []poison.Crash
	if suspected {
		s.runs.End(one.ID, q.digest())
	}
	switch o {
	case dispatch.ConnectionBroken:
		crashes = s.book.RequestAborted(s.now(), q.digest(), one.ID, one.Incarnation())
	case dispatch.ConnectionRefused:
		crashes = s.book.UpstreamEnded(s.now(), one.ID, one.Incarnation())
	case dispatch.Answered, dispatch.Failed, dispatch.Overloaded:
		s.book.RequestAnswered(one.ID, one.Incarnation(), g.GrantedAt)
		if o == dispatch.Answered && !s.book.Empty() && s.book.CrashCount(q.digest()) > 0 {
			s.book.Clear(poison.Clearing{Digest: q.digest(), At: s.now()})
		}
	}
	s.mu.Unlock()
	s.logCrashes(crashes, one.ID, "try")
}

// viewChanged compares the starts of upstreams at which runs broke off with the present ones.
func (s *suspects) viewChanged(v *instances.View) {
	var crashes []poison.Crash
	s.mu.Lock()
	for _, end := range s.book.UnconfirmedEnds() {
		if one := v.Get(end.Upstream); one == nil || one.Incarnation().DiffersFrom(end.Incarnation) {
			crashes = append(crashes, s.book.UpstreamEnded(s.now(), end.Upstream, end.Incarnation)...)
		}
	}
	s.book.Prune(s.now())
	s.mu.Unlock()
	s.logCrashes(crashes, "", "entry")
}

// logCrashes logs and counts upstreams' ends with requests on them. from tells what showed them.
func (s *suspects) logCrashes(crashes []poison.Crash, upstream, from string) {
	for _, c := range crashes {
		s.meters.inc(suspectsCrashes)
		s.mu.Lock()
		count := s.book.CrashCount(c.Digest)
		s.mu.Unlock()
		s.log.Warn("upstream ended with a request on it", "digest", digestText(c.Digest), "crashes", count,
			"upstream", upstream, "from", from, "after_ms", s.now().Sub(c.At).Milliseconds())
	}
}

// clear lets a request through again, as an operator says.
func (s *suspects) clear(d poison.Digest, by string) {
	s.mu.Lock()
	s.book.Clear(poison.Clearing{Digest: d, At: s.now()})
	s.mu.Unlock()
	s.log.Info("request is sent again", "digest", digestText(d), "by", by)
}

// list returns the suspected requests.
func (s *suspects) list() []poison.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Prune(s.now())
	return s.book.Suspects()
}

// gauges tells how many requests are suspected.
func (s *suspects) gauges() {
	list := s.list()
	refused := 0
	for _, one := range list {
		if one.Refused {
			refused++
		}
	}
	s.meters.gauge(suspectsKnown, int64(len(list)))
	s.meters.gauge(suspectsStopped, int64(refused))
}

// digestText and parseDigest are the form of digests for people.
func digestText(d poison.Digest) string { return fmt.Sprintf("%016x", uint64(d)) }

var errDigest = errors.New("not a digest of 16 hexadecimal digits")

func parseDigest(text string) (poison.Digest, error) {
	var d uint64
	if n, err := fmt.Sscanf(text, "%16x", &d); err != nil || n != 1 || len(text) != 16 {
		return 0, errDigest
	}
	return poison.Digest(d), nil
}
