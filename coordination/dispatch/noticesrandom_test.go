package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/coordination/notice"
	"github.com/rockcroft/rockcroft/state/instances"
)

// The limits that this test checks, stated independently of the implementation.
const (
	drainLimit      = 2 * time.Second
	evacuationLimit = 1500 * time.Millisecond
	maxRest         = 5 * time.Minute
)

// modelIncarnation is one incarnation of an upstream and the notices that it gave this gateway.
type modelIncarnation struct {
	instances.Instance
	leavingAt time.Time
	restUntil time.Time
}

// noticeModel applies random notices, requests and evacuations to a service and checks which
// requests are sent. It knows only the guarantees, not the implementation.
type noticeModel struct {
	t             *testing.T
	seed          uint64
	rng           *rand.Rand
	now           time.Time
	service       *Service
	current       map[string]*modelIncarnation
	evacuatedAt   map[string]time.Time
	granted       []Grant
	inFlight      []Grant
	byIncarnation map[string]*modelIncarnation
}

func incarnationKey(i instances.Instance) string { return fmt.Sprint(i.ID, "/", i.StartedMs) }

func newNoticeModel(t *testing.T, seed uint64) *noticeModel {
	rng := rand.New(rand.NewPCG(seed, 1))
	m := &noticeModel{
		t: t, seed: seed, rng: rng, now: start, service: NewService("a", drainLimit, rng),
		current: make(map[string]*modelIncarnation), evacuatedAt: make(map[string]time.Time), byIncarnation: make(map[string]*modelIncarnation),
	}
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		m.startUpstream(id, 1)
	}
	m.updateList()
	m.service.ApplyReport(m.now, ClusterReport{Gateways: 1})
	return m
}

// startUpstream starts a new incarnation of an upstream.
func (m *noticeModel) startUpstream(id string, born uint64) {
	upstream := &modelIncarnation{Instance: instances.Instance{ID: id, Domain: id[:1], Slots: 2, StartedMs: born}}
	m.current[id] = upstream
	m.byIncarnation[incarnationKey(upstream.Instance)] = upstream
}

// updateList gives the service a list of upstreams from which some may be missing.
func (m *noticeModel) updateList() {
	var out []*instances.Instance
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		if m.rng.IntN(6) > 0 {
			instance := m.current[id].Instance
			out = append(out, &instance)
		}
	}
	m.service.SetUpstreams(m.now, out)
}

// offerRequest offers a request for an owner or for any upstream.
func (m *noticeModel) offerRequest() {
	request := &Request{Objective: time.Second, Deadline: m.now.Add(2 * time.Second), QueueUntil: m.now.Add(600 * ms)}
	if m.rng.IntN(2) == 0 {
		request.Owner = []string{"a1", "a2", "b1", "b2"}[m.rng.IntN(4)]
	}
	request.OnDecision = func(d Decision) {
		if d.Granted() {
			m.granted = append(m.granted, d.Grant)
		}
	}
	if g, r, decided := offer(m.service, m.now, request); decided && r == 0 {
		m.granted = append(m.granted, g)
	}
}

func takeRandom(rng *rand.Rand, list *[]Grant) (Grant, bool) {
	if len(*list) == 0 {
		return Grant{}, false
	}
	i := rng.IntN(len(*list))
	g := (*list)[i]
	*list = append((*list)[:i], (*list)[i+1:]...)
	return g, true
}

// sendGranted simulates that the connection for a granted request is ready.
func (m *noticeModel) sendGranted() {
	g, ok := takeRandom(m.rng, &m.granted)
	if !ok {
		return
	}
	if !m.service.MaySend(m.now, g) {
		m.service.Done(m.now, g, Canceled)
		return
	}
	upstream := m.byIncarnation[incarnationKey(g.Instance)]
	if !upstream.leavingAt.IsZero() && m.now.Sub(upstream.leavingAt) > drainLimit {
		m.t.Fatalf("seed %d: request sent to %s %s after it announced that it leaves", m.seed, incarnationKey(g.Instance), m.now.Sub(upstream.leavingAt))
	}
	if m.now.Before(upstream.restUntil) {
		m.t.Fatalf("seed %d: request sent to %s %s before the end of its rest", m.seed, incarnationKey(g.Instance), upstream.restUntil.Sub(m.now))
	}
	if since, ok := m.evacuatedAt[g.Instance.Domain]; ok && m.now.Sub(since) > evacuationLimit {
		m.t.Fatalf("seed %d: request sent to %s %s after the evacuation of its failure domain", m.seed, incarnationKey(g.Instance), m.now.Sub(since))
	}
	m.inFlight = append(m.inFlight, g)
}

// answerRequest lets an upstream answer a request, with a random notice.
func (m *noticeModel) answerRequest() {
	g, ok := takeRandom(m.rng, &m.inFlight)
	if !ok {
		return
	}
	upstream := m.byIncarnation[incarnationKey(g.Instance)]
	var n notice.Notice
	outcome := Answered
	switch m.rng.IntN(8) {
	case 0:
		n.Leaving = true
	case 1, 2:
		n.Rest = []time.Duration{0, 300 * ms, time.Second, 10 * time.Second, 24 * time.Hour}[m.rng.IntN(5)]
		outcome = Overloaded
	}
	n.Leaving = n.Leaving || !upstream.leavingAt.IsZero() && m.rng.IntN(4) > 0
	if n.Leaving && upstream.leavingAt.IsZero() {
		upstream.leavingAt = m.now
	}
	if until := m.now.Add(min(n.Rest, maxRest)); n.Rest > 0 && until.After(upstream.restUntil) {
		upstream.restUntil = until
	}
	m.service.ApplyNotice(m.now, g, n)
	m.service.Done(m.now, g, outcome)
}

// toggleEvacuation evacuates a failure domain or ends its evacuation.
func (m *noticeModel) toggleEvacuation() {
	domain := []string{"a", "b"}[m.rng.IntN(2)]
	if _, ok := m.evacuatedAt[domain]; ok {
		delete(m.evacuatedAt, domain)
	} else {
		m.evacuatedAt[domain] = m.now
	}
	m.service.SetEvacuated(m.now, func(d string) bool { _, ok := m.evacuatedAt[d]; return ok })
}

func (m *noticeModel) step() {
	m.now = m.now.Add(time.Duration(m.rng.Int64N(int64(120 * ms))))
	switch n := m.rng.IntN(40); {
	case n < 14:
		m.offerRequest()
	case n < 24:
		m.sendGranted()
	case n < 34:
		m.answerRequest()
	case n < 36:
		m.updateList()
	case n == 36:
		id := []string{"a1", "a2", "b1", "b2"}[m.rng.IntN(4)]
		m.startUpstream(id, m.current[id].StartedMs+1)
		m.updateList()
	case n == 37:
		m.toggleEvacuation()
	case n == 38:
		m.now = m.now.Add(time.Duration(m.rng.Int64N(int64(8 * time.Second))))
	default:
		m.service.Tick(m.now)
	}
}

// TestNoticesAreObeyed guards against requests to an upstream that has told this gateway to
// send none. Notices come in any order, with restarts under the same ID, incomplete lists,
// evacuations, waiting requests and connections that open meanwhile.
func TestNoticesAreObeyed(t *testing.T) {
	const series, steps = 2000, 400
	for seed := range uint64(series) {
		w := newNoticeModel(t, seed)
		for range steps {
			w.step()
		}
	}
}
