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

// Sources of invalid data about upstreams. They are part of a counter's name.
const (
	sourceEntry  = "entry"
	sourceUpdate = "news"
	sourceReport = "report"
)

var (
	errStartInFuture = errors.New("its start time is more than a day in the future")
	errMissingField  = errors.New("it lacks an ID, a service or an address")
	errInvalidNumber = errors.New("its number of requests in flight or of runs is out of range")
)

// maxInvalidLogged bounds the number of upstreams for which invalid data is logged.
const maxInvalidLogged = 256

// peerValidator drops invalid data about upstreams that other gateways send, and load reports
// about earlier incarnations of upstreams. It is safe for concurrent use.
type peerValidator struct {
	view   *view
	now    func() time.Time
	log    *slog.Logger
	meters *meters

	mu sync.Mutex
	// logged holds the pairs of source and upstream that have been logged.
	logged map[string]bool
}

func newPeerValidator(v *view, now func() time.Time, log *slog.Logger, m *meters) *peerValidator {
	return &peerValidator{view: v, now: now, log: log, meters: m, logged: make(map[string]bool)}
}

// filterInstances removes invalid upstreams from a message.
func (v *peerValidator) filterInstances(m *syncpb.Instances) {
	valid := m.List[:0]
	for _, inst := range m.List {
		if err := v.checkInstance(inst); err != nil {
			v.recordInvalid(sourceUpdate, inst.Id, err)
			continue
		}
		valid = append(valid, inst)
	}
	m.List = valid
}

func (v *peerValidator) checkInstance(inst *syncpb.Instance) error {
	if inst.Id == "" || inst.Service == "" || inst.Address == "" {
		return errMissingField
	}
	if !instances.PlausibleStart(inst.BornMs, v.now()) {
		return errStartInFuture
	}
	return nil
}

// filterLoads returns the valid loads of a report that are about the current incarnations of
// upstreams. Requests of an earlier incarnation ended when it did.
func (v *peerValidator) filterLoads(list []*syncpb.Load) []*syncpb.Load {
	known := v.view.inst.Load()
	out := make([]*syncpb.Load, 0, len(list))
	for _, l := range list {
		if !validCount(l.Inflight) || !validCount(l.Runs) || !validCount(l.Slowness) {
			v.recordInvalid(sourceReport, l.Instance, errInvalidNumber)
			continue
		}
		if known != nil {
			if inst := known.Get(l.Instance); inst != nil && inst.Incarnation().DiffersFrom(instances.Incarnation(l.Incarnation)) {
				continue
			}
		}
		l.RestMs = min(l.RestMs, milliseconds(notice.MaxRest))
		out = append(out, l)
	}
	return out
}

// validCount reports whether a received number is plausible as a number of requests.
func validCount(n float32) bool { return n >= 0 && n <= math.MaxUint16 }

// recordInvalid counts dropped data and logs each upstream once per source.
func (v *peerValidator) recordInvalid(source, upstream string, err error) {
	v.meters.inc(fillPattern(upstreamsInvalid, source))
	v.mu.Lock()
	defer v.mu.Unlock()
	if key := source + "/" + upstream; !v.logged[key] && len(v.logged) < maxInvalidLogged {
		v.logged[key] = true
		v.log.Error("invalid upstream data from another gateway", "source", source, "upstream", upstream, "error", err)
	}
}
