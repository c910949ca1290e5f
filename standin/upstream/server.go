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

// coldFactor is how much slower a cold range runs.
const coldFactor = 5

// maxBody is the largest request body read, in bytes.
const maxBody = 16 << 20

// Faults are the failures that the stand-in is told to show.
type Faults struct {
	// Frozen holds every request and control message until it is cleared.
	Frozen bool `json:"frozen"`
	// SlowFactor multiplies run times; zero means one.
	SlowFactor float64 `json:"slow_factor"`
	// LyingHealth makes the health endpoint claim the opposite.
	LyingHealth bool `json:"lying_health"`
	// BreakEvery breaks off the answer of every n-th request after it ran.
	BreakEvery int `json:"break_every"`
}

// Counts are what the stand-in did so far.
type Counts struct {
	Ran     int64 `json:"ran"`
	Shed    int64 `json:"shed"`
	Refused int64 `json:"refused"`
	Expired int64 `json:"expired"`
	Deduped int64 `json:"deduped"`
	Probes  int64 `json:"probes"`
	// BusyMicros is the time that slots were busy, in microseconds.
	BusyMicros int64 `json:"busy_us"`
}

// Server is one stand-in upstream.
type Server struct {
	settings Settings
	owner    *Ownership
	oracle   *oracle
	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	started  time.Time

	mu     sync.Mutex
	faults Faults
	thawed chan struct{}
	rng    *rand.Rand
	done   map[string]outcome
	// attempts counts by request id; only kept without an oracle file.
	attempts map[string]int
	counts   Counts
	answers  int
	active   map[*job]keyspace.Hash
}

// outcome is the kept answer of a non-idempotent request.
type outcome struct {
	key string
	seq int64
}

// Answer is the body of a successful request.
type Answer struct {
	Upstream  string `json:"upstream"`
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Epoch     uint64 `json:"epoch"`
	// Seq numbers the runs of this upstream.
	Seq int64 `json:"seq"`
}

// New returns a server with the given boot id.
func New(s Settings, boot string) (*Server, error) {
	o, err := openOracle(s.OracleFile)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	return &Server{
		settings: s,
		owner:    NewOwnership(clock, boot, s.WarmUp.D()),
		oracle:   o,
		slots:    make(chan struct{}, s.Slots),
		started:  started,
		rng:      rand.New(rand.NewPCG(s.Seed, 1)),
		done:     make(map[string]outcome),
		attempts: make(map[string]int),
		active:   make(map[*job]keyspace.Hash),
	}, nil
}

type connKey struct{}

// connState counts the requests of one connection.
type connState struct{ used atomic.Bool }

// ConnContext marks new connections, whose first request costs more.
func (s *Server) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, &connState{})
}

// ConnState closes connections over the limit.
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

// Handler returns requests, control, health and fault endpoints.
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
	r.PathPrefix("/").HandlerFunc(s.request)
	return r
}

// leavePoll is the time between looks whether all grants are gone.
const leavePoll = 20 * time.Millisecond

// Leave announces the planned stop and waits until all grants are gone.
func (s *Server) Leave(ctx context.Context) {
	s.owner.leave()
	for ctx.Err() == nil && !s.owner.empty() {
		time.Sleep(leavePoll)
	}
}

// SetFaults changes the failures shown from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Frozen && s.thawed == nil {
		s.thawed = make(chan struct{})
	}
	if !f.Frozen && s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
	s.faults = f
}

// freeze blocks while the stand-in is frozen.
func (s *Server) freeze() {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

func (s *Server) count(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

// Counts returns what the stand-in did so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Empty reports whether the stand-in holds no range.
func (s *Server) Empty() bool { return s.owner.empty() }

// Attempts returns how often a request with the id reached a slot, also when
// it was answered from what was kept.
func (s *Server) Attempts(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.attempts[id]
}

// Runs returns the oracle log when it is kept in memory.
func (s *Server) Runs() []Run { return s.oracle.all() }

func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(header.Refused, reason)
	w.WriteHeader(status)
}

// job is one parsed request.
type job struct {
	key        string
	id         string
	epoch      uint64
	idempotent bool
	deadline   time.Time
}

func parseJob(r *http.Request) job {
	epoch, _ := strconv.ParseUint(r.Header.Get(header.Epoch), 10, 64)
	j := job{
		key:        r.Header.Get(header.Key),
		id:         r.Header.Get(header.RequestID),
		epoch:      epoch,
		idempotent: r.Header.Get(header.Idempotent) == "true",
		deadline:   time.Now().Add(time.Minute),
	}
	if left, err := time.ParseDuration(r.Header.Get(header.Timeout)); err == nil {
		j.deadline = time.Now().Add(left)
	}
	return j
}

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBody)); err != nil {
		return
	}
	j := parseJob(r)
	s.payConnection(r)
	s.freeze()
	if !s.takeSlot(w, r, j) {
		return
	}
	defer func() {
		s.running.Add(-1)
		<-s.slots
	}()
	s.freeze()
	s.run(w, r, j)
}

func (s *Server) payConnection(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*connState); ok && !c.used.Swap(true) {
		time.Sleep(s.settings.ConnectionCost.D())
	}
	time.Sleep(s.settings.DistanceDelay.D())
}

// takeSlot waits for a slot within the queue length and the deadline.
func (s *Server) takeSlot(w http.ResponseWriter, r *http.Request, j job) bool {
	if s.waiting.Add(1) > int64(s.settings.QueueLength+s.settings.Slots)-s.running.Load() {
		s.waiting.Add(-1)
		s.count(func(c *Counts) { c.Shed++ })
		refuse(w, http.StatusServiceUnavailable, header.RefusedOverloaded)
		return false
	}
	defer s.waiting.Add(-1)
	timer := time.NewTimer(time.Until(j.deadline))
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-r.Context().Done():
	case <-timer.C:
		s.count(func(c *Counts) { c.Expired++ })
		refuse(w, http.StatusGatewayTimeout, header.RefusedDeadline)
	}
	return false
}

func (s *Server) run(w http.ResponseWriter, r *http.Request, j job) {
	if time.Now().After(j.deadline) || r.Context().Err() != nil {
		s.count(func(c *Counts) { c.Expired++ })
		refuse(w, http.StatusGatewayTimeout, header.RefusedDeadline)
		return
	}
	h := keyspace.HashKey(j.key)
	s.begin(&j, h)
	defer s.end(&j)
	owned, warm := s.owner.Check(h, j.epoch)
	if s.settings.ChecksFences && !owned {
		s.count(func(c *Counts) { c.Refused++ })
		refuse(w, http.StatusConflict, header.RefusedNotOwner)
		return
	}
	seq, repeated := s.record(j)
	if !repeated {
		s.work(j, warm)
	}
	if s.breaks() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(header.Ran, "ran")
	_ = json.NewEncoder(w).Encode(Answer{
		Upstream: s.settings.ID, Key: j.key, RequestID: j.id, Epoch: j.epoch, Seq: seq,
	})
}

func (s *Server) begin(j *job, h keyspace.Hash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[j] = h
}

func (s *Server) end(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, j)
}

// runningIn reports whether a request within the revoked spans is running.
func (s *Server) runningIn(list []control.Revocation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for j, h := range s.active {
		for _, r := range list {
			if r.Contains(h) && j.epoch <= r.Epoch {
				return true
			}
		}
	}
	return false
}

// record writes the run down, unless it is a repeat of one that has run.
func (s *Server) record(j job) (seq int64, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.oracle.keep {
		s.attempts[j.id]++
	}
	if !j.idempotent && j.id != "" {
		if old, ok := s.done[j.id]; ok {
			s.counts.Deduped++
			return old.seq, true
		}
	}
	s.counts.Ran++
	seq = s.counts.Ran
	if !j.idempotent && j.id != "" {
		s.done[j.id] = outcome{key: j.key, seq: seq}
	}
	s.oracle.add(Run{
		At:         time.Now().UnixNano(),
		Upstream:   s.settings.ID,
		Key:        j.key,
		RequestID:  j.id,
		Epoch:      j.epoch,
		Idempotent: j.idempotent,
	})
	return seq, false
}

func (s *Server) work(j job, warm bool) {
	mean := s.settings.WriteTime.D()
	if j.idempotent {
		mean = s.settings.ReadTime.D()
	}
	s.mu.Lock()
	factor := 0.5 + s.rng.Float64()
	if s.faults.SlowFactor > 0 {
		factor *= s.faults.SlowFactor
	}
	s.mu.Unlock()
	if !warm && s.settings.WarmUp > 0 {
		factor *= coldFactor
	}
	took := time.Duration(float64(mean) * factor)
	time.Sleep(took)
	s.count(func(c *Counts) { c.BusyMicros += took.Microseconds() })
}

func (s *Server) breaks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	n := s.faults.BreakEvery
	return n > 0 && s.answers%n == 0
}
