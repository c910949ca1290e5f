package gateway

import (
	"errors"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
)

// Who said of an upstream what cannot be, the parts of the counter's name.
const (
	unsoundEntry  = "entry"
	unsoundNews   = "news"
	unsoundReport = "report"
)

var (
	errBornAhead = errors.New("it says that it will start more than a day from now")
	errNoName    = errors.New("it has no ID, no service or no address")
	errNoNumber  = errors.New("its requests in flight or its runs are no number that can be")
)

// mostUnsoundLogged bounds the upstreams that are logged for what others say of them.
const mostUnsoundLogged = 256

// sieve drops what other gateways say of upstreams and cannot be, and reports of loads at
// former starts of upstreams. It is safe for concurrent use.
type sieve struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu sync.Mutex
	// logged are the upstreams that have been logged, by source.
	logged map[string]bool
}

func newSieve(v *view, now func() time.Time, log *slog.Logger, m *meters) *sieve {
	return &sieve{view: v, now: now, log: log, meters: m, logged: make(map[string]bool)}
}

// instances drops upstreams from news that cannot be.
func (s *sieve) instances(m *syncpb.Instances) {
	sound := m.List[:0]
	for _, one := range m.List {
		if err := s.checkInstance(one); err != nil {
			s.note(unsoundNews, one.Id, err)
			continue
		}
		sound = append(sound, one)
	}
	m.List = sound
}

func (s *sieve) checkInstance(one *syncpb.Instance) error {
	if one.Id == "" || one.Service == "" || one.Address == "" {
		return errNoName
	}
	if !instances.Believable(one.BornMs, s.now()) {
		return errBornAhead
	}
	return nil
}

// loads returns the loads of a report that can be and are about the present starts of
// upstreams: requests at a former start have ended with it.
func (s *sieve) loads(list []*syncpb.Load) []*syncpb.Load {
	known := s.view.inst.Load()
	out := make([]*syncpb.Load, 0, len(list))
	for _, l := range list {
		if !isCount(l.Inflight) || !isCount(l.Runs) || !isCount(l.Slowness) {
			s.note(unsoundReport, l.Instance, errNoNumber)
			continue
		}
		if known != nil {
			if one := known.Get(l.Instance); one != nil && one.Incarnation().Other(instances.Incarnation(l.Incarnation)) {
				continue
			}
		}
		l.RestMs = min(l.RestMs, milliseconds(notice.MaxRest))
		out = append(out, l)
	}
	return out
}

// isCount reports whether a told number can be one of requests.
func isCount(n float32) bool { return n >= 0 && n <= math.MaxUint16 }

// note counts what was dropped, and logs each upstream once.
func (s *sieve) note(source, upstream string, err error) {
	s.meters.inc(fillPattern(upstreamsUnsound, source))
	s.mu.Lock()
	defer s.mu.Unlock()
	if key := source + "/" + upstream; !s.logged[key] && len(s.logged) < mostUnsoundLogged {
		s.logged[key] = true
		s.log.Error("what another gateway says of an upstream cannot be", "source", source, "upstream", upstream, "error", err)
	}
}
