package upstream

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/state/keyspace"
)

// coldSlowdown is the factor by which requests to a cold range are slower.
const coldSlowdown = 5

// maxBodyBytes is the maximum number of bytes read from a request body.
const maxBodyBytes = 16 << 20

// Faults are the faults that the upstream simulates.
type Faults struct {
	// Frozen blocks all requests and control messages until it is cleared.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies execution times; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ReportUnhealthy makes the health endpoint report that the upstream is unhealthy although
	// it works.
	ReportUnhealthy bool `json:"lying_health"`
	// BreakEvery, if positive, aborts the response to every n-th request after the request
	// was executed.
	BreakEvery int `json:"break_every"`
	// CutRefusals makes it send the head of a refusal after a request was executed, and abort before the body.
	CutRefusals bool `json:"cut_refusals"`
	// CutResponses makes it send a part of each response, in chunks, and abort.
	CutResponses bool `json:"cut_responses"`
}

// Counts are the event counters of the upstream since its start.
type Counts struct {
	Ran     int64 `json:"ran"`
	Shed    int64 `json:"shed"`
	Refused int64 `json:"refused"`
	Expired int64 `json:"expired"`
	Deduped int64 `json:"deduped"`
	Probes  int64 `json:"probes"`
	// BusyMicros is the total time that slots spent executing requests, in microseconds.
	BusyMicros int64 `json:"busy_us"`
}

// Server is one simulated upstream.
type Server struct {
	settings Settings
	owner    *Ownership
	oracle   *oracle
	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	started  time.Time

	mu        sync.Mutex
	faults    Faults
	unfrozen  chan struct{}
	rng       *rand.Rand
	completed map[string]storedResult
	// attempts are the attempts by request ID, counted only if there is no oracle file.
	attempts  map[string]int
	counts    Counts
	responses int
	active    map[*request]keyspace.Hash
}

// storedResult is the result of a non-idempotent request, kept to respond to retries.
type storedResult struct {
	key string
	seq int64
}

// ResponseBody is the response body of a successful request.
type ResponseBody struct {
	Upstream  string `json:"upstream"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Epoch     uint64 `json:"epoch"`
	// Seq is the sequence number of the execution at this upstream.
	Seq int64 `json:"seq"`
}

// New returns a server with the given boot ID.
func New(s Settings, boot string) (*Server, error) {
	o, err := openOracle(s.OracleFile)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	return &Server{
		settings:  s,
		owner:     NewOwnership(clock, boot, s.WarmUp.D()),
		oracle:    o,
		slots:     make(chan struct{}, s.Slots),
		started:   started,
		rng:       rand.New(rand.NewPCG(s.Seed, 1)),
		completed: make(map[string]storedResult),
		attempts:  make(map[string]int),
		active:    make(map[*request]keyspace.Hash),
	}, nil
}

type connStateKey struct{}

// connState records whether a connection has carried a request.
type connState struct{ firstRequestSeen atomic.Bool }

// ConnContext attaches a connState to a new connection, because its first request takes
// longer.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connStateKey{}, &connState{})
}

// ConnState returns a callback that closes new connections beyond the limit.
func (s *Server) ConnState(open *atomic.Int64) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			if open.Add(1) > int64(s.settings.Connections) {
				_ = c.Close()
			}
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		}
	}
}

// Handler serves requests and the control, health, fault and status endpoints.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.HandleFunc("/ready", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", s.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/oracle", s.getOracle).Methods(http.MethodGet)
	r.HandleFunc("/leave", s.postLeave).Methods(http.MethodPost)
	r.HandleFunc("/health", s.getHealth).Methods(http.MethodGet)
	r.HandleFunc(control.PathGrant, s.grant).Methods(http.MethodPost)
	r.HandleFunc(control.PathRevoke, s.revoke).Methods(http.MethodPost)
	r.HandleFunc(control.PathRenew, s.renew).Methods(http.MethodPost)
	r.HandleFunc(control.PathReset, s.reset).Methods(http.MethodPost)
	r.PathPrefix("/").HandlerFunc(s.serveRequest)
	return r
}

// leavePollInterval is the time between checks whether all grants have been revoked.
const leavePollInterval = 20 * time.Millisecond

// Leave announces a planned stop and waits until all grants are revoked or ctx ends.
func (s *Server) Leave(ctx context.Context) {
	s.owner.announceLeave()
	for ctx.Err() == nil && !s.owner.hasNoGrants() {
		time.Sleep(leavePollInterval)
	}
}

// SetFaults changes the simulated faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && s.unfrozen == nil {
		s.unfrozen = make(chan struct{})
	}
	if !f.Frozen && s.unfrozen != nil {
		close(s.unfrozen)
		s.unfrozen = nil
	}
	s.faults = f
}

// waitWhileFrozen blocks while the upstream is frozen.
func (s *Server) waitWhileFrozen() {
	s.mu.Lock()
	unfrozen := s.unfrozen
	s.mu.Unlock()
	if unfrozen != nil {
		<-unfrozen
	}
}

func (s *Server) updateCounts(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

// Counts returns the current values of the event counters.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Empty reports whether the upstream owns no ranges.
func (s *Server) Empty() bool { return s.owner.hasNoGrants() }

// Attempts returns how often a request with the ID obtained a slot and passed the fencing
// check if enabled, including attempts answered with a stored result. It is zero if the oracle log is
// written to a file.
func (s *Server) Attempts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id]
}

// Runs returns the oracle log if it is kept in memory.
func (s *Server) Runs() []Run { return s.oracle.snapshot() }

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(header.Refused, reason)
	w.WriteHeader(status)
}

// request holds the parsed headers of a request.
type request struct {
	key        string
	id         string
	epoch      uint64
	idempotent bool
	deadline   time.Time
}

func parseRequest(r *http.Request) request {
	epoch, _ := strconv.ParseUint(r.Header.Get(header.Epoch), 10, 64)
	req := request{
		key:        r.Header.Get(header.Key),
		id:         r.Header.Get(header.RequestID),
		epoch:      epoch,
		idempotent: r.Header.Get(header.Idempotent) == "true",
		deadline:   time.Now().Add(time.Minute),
	}
	if left, err := time.ParseDuration(r.Header.Get(header.Timeout)); err == nil {
		req.deadline = time.Now().Add(left)
	}
	return req
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return
	}
	req := parseRequest(r)
	s.simulateNetwork(r)
	s.waitWhileFrozen()
	if !s.acquireSlot(w, r, req) {
		return
	}
	defer func() {
		s.running.Add(-1)
		<-s.slots
	}()
	s.waitWhileFrozen()
	s.run(w, r, req)
}

func (s *Server) simulateNetwork(r *http.Request) {
	if c, ok := r.Context().Value(connStateKey{}).(*connState); ok && !c.firstRequestSeen.Swap(true) {
		time.Sleep(s.settings.ConnectionCost.D())
	}
	time.Sleep(s.settings.DistanceDelay.D())
}

// acquireSlot waits for a slot until the deadline. It rejects the request if the queue is
// full.
func (s *Server) acquireSlot(w http.ResponseWriter, r *http.Request, req request) bool {
	if s.waiting.Add(1) > int64(s.settings.QueueLength+s.settings.Slots)-s.running.Load() {
		s.waiting.Add(-1)
		s.updateCounts(func(c *Counts) { c.Shed++ })
		refuse(w, http.StatusServiceUnavailable, header.RefusedOverloaded)
		return false
	}
	defer s.waiting.Add(-1)
	timer := time.NewTimer(time.Until(req.deadline))
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-r.Context().Done():
	case <-timer.C:
		s.updateCounts(func(c *Counts) { c.Expired++ })
		refuse(w, http.StatusGatewayTimeout, header.RefusedDeadline)
	}
	return false
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, req request) {
	if time.Now().After(req.deadline) || r.Context().Err() != nil {
		s.updateCounts(func(c *Counts) { c.Expired++ })
		refuse(w, http.StatusGatewayTimeout, header.RefusedDeadline)
		return
	}
	h := keyspace.HashKey(req.key)
	s.trackRequest(&req, h)
	defer s.untrackRequest(&req)
	owned, warm := s.owner.Check(h, req.epoch)
	if s.settings.ChecksFences && !owned {
		s.updateCounts(func(c *Counts) { c.Refused++ })
		refuse(w, http.StatusConflict, header.RefusedNotOwner)
		return
	}
	seq, repeated := s.record(req)
	if !repeated {
		s.simulateWork(req, warm)
	}
	if s.shouldAbort() {
		panic(http.ErrAbortHandler)
	}
	s.sendCutResponse(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(header.Ran, "ran")
	_ = json.NewEncoder(w).Encode(ResponseBody{
		Upstream: s.settings.ID, Key: req.key, RequestID: req.id, Epoch: req.epoch, Seq: seq,
	})
}

func (s *Server) trackRequest(req *request, h keyspace.Hash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[req] = h
}

func (s *Server) untrackRequest(req *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, req)
}

// hasRunningIn reports whether a request in one of the revoked spans is still being executed
// under a revoked epoch.
func (s *Server) hasRunningIn(list []control.Revocation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for req, h := range s.active {
		for _, r := range list {
			if r.Contains(h) && req.epoch <= r.Epoch {
				return true
			}
		}
	}
	return false
}

// record logs the execution of the request. If it is a retry of a non-idempotent request that
// was already executed, record returns the sequence number of that execution instead.
func (s *Server) record(req request) (seq int64, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.oracle.inMemory {
		s.attempts[req.id]++
	}
	if !req.idempotent && req.id != "" {
		if old, ok := s.completed[req.id]; ok {
			s.counts.Deduped++
			return old.seq, true
		}
	}
	s.counts.Ran++
	seq = s.counts.Ran
	if !req.idempotent && req.id != "" {
		s.completed[req.id] = storedResult{key: req.key, seq: seq}
	}
	s.oracle.add(Run{
		At:         time.Now().UnixNano(),
		Upstream:   s.settings.ID,
		Key:        req.key,
		RequestID:  req.id,
		Epoch:      req.epoch,
		Idempotent: req.idempotent,
	})
	return seq, false
}

func (s *Server) simulateWork(req request, warm bool) {
	mean := s.settings.WriteTime.D()
	if req.idempotent {
		mean = s.settings.ReadTime.D()
	}
	s.mu.Lock()
	factor := 0.5 + s.rng.Float64()
	if s.faults.SlowFactor > 0 {
		factor *= s.faults.SlowFactor
	}
	s.mu.Unlock()
	if !warm && s.settings.WarmUp > 0 {
		factor *= coldSlowdown
	}
	runTime := time.Duration(float64(mean) * factor)
	time.Sleep(runTime)
	s.updateCounts(func(c *Counts) { c.BusyMicros += runTime.Microseconds() })
}

func (s *Server) shouldAbort() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responses++
	n := s.faults.BreakEvery
	return n > 0 && s.responses%n == 0
}
