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
	invalidEntry  = "entry"
	invalidUpdate = "news"
	invalidReport = "report"
)

var (
	errStartInFuture = errors.New("it says that it will start more than a day from now")
	errMissingField  = errors.New("it has no ID, no service or no address")
	errInvalidNumber = errors.New("its requests in flight or its runs are no number that can be")
)

// mostUnsoundLogged bounds the upstreams that are logged for what others say of them.
const maxInvalidLogged = 256

// sieve drops what other gateways say of upstreams and cannot be, and reports of loads at
// former starts of upstreams. It is safe for concurrent use.
type peerValidator struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu sync.Mutex
	// logged are the upstreams that have been logged, by source.
	logged map[string]bool
}

func newPeerValidator(v *view, now func() time.Time, log *slog.Logger, m *meters) *peerValidator {
	return &peerValidator{view: v, now: now, log: log, meters: m, logged: make(map[string]bool)}
}

// instances drops upstreams from news that cannot be.
func (s *peerValidator) filterInstances(m *syncpb.Instances) {
	sound := m.List[:0]
	for _, inst := range m.List {
		if err := s.checkInstance(inst); err != nil {
			s.recordInvalid(invalidUpdate, inst.Id, err)
			continue
		}
		sound = append(sound, inst)
	}
	m.List = sound
}

func (s *peerValidator) checkInstance(inst *syncpb.Instance) error {
	if inst.Id == "" || inst.Service == "" || inst.Address == "" {
		return errMissingField
	}
	if !instances.Believable(inst.BornMs, s.now()) {
		return errStartInFuture
	}
	return nil
}

// loads returns the loads of a report that can be and are about the present starts of
// upstreams: requests at a former start have ended with it.
func (s *peerValidator) filterLoads(list []*syncpb.Load) []*syncpb.Load {
	known := s.view.inst.Load()
	out := make([]*syncpb.Load, 0, len(list))
	for _, l := range list {
		if !validCount(l.Inflight) || !validCount(l.Runs) || !validCount(l.Slowness) {
			s.recordInvalid(invalidReport, l.Instance, errInvalidNumber)
			continue
		}
		if known != nil {
			if inst := known.Get(l.Instance); inst != nil && inst.Incarnation().Other(instances.Incarnation(l.Incarnation)) {
				continue
			}
		}
		l.RestMs = min(l.RestMs, milliseconds(notice.MostRest))
		out = append(out, l)
	}
	return out
}

// isCount reports whether a told number can be one of requests.
func validCount(n float32) bool { return n >= 0 && n <= math.MaxUint16 }

// note counts what was dropped, and logs each upstream once.
func (s *peerValidator) recordInvalid(source, upstream string, err error) {
	s.meters.inc(fill(upstreamsUnsound, source))
	s.mu.Lock()
	defer s.mu.Unlock()
	if key := source + "/" + upstream; !s.logged[key] && len(s.logged) < maxInvalidLogged {
		s.logged[key] = true
		s.log.Error("what another gateway says of an upstream cannot be", "source", source, "upstream", upstream, "error", err)
	}
}
