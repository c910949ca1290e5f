package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/rockcroft/rockcroft/transport/platform"
)

// maxValueBytes is the maximum size of the value of an object.
const maxValueBytes = 1 << 20

// Faults are the faults that the platform simulates.
type Faults struct {
	// Down aborts all calls without a response.
	Down bool `json:"down"`
	// Silent accepts calls and never responds to them.
	Silent bool `json:"silent"`
	// ExtraMillis is added to the latency of each call, in milliseconds.
	ExtraMillis int `json:"extra_ms"`
	// LoseResponses, if positive, drops the response to every n-th write after the write took
	// effect.
	LoseResponses int `json:"lose_answers"`
}

// Counts are the numbers of calls since the start. Refused counts calls over the rate limit.
type Counts struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
}

// Server is the HTTP interface of the simulated platform.
type Server struct {
	settings Settings
	store    *platform.Memory
	reads    *rate.Limiter
	writes   *rate.Limiter

	mu         sync.Mutex
	faults     Faults
	counts     Counts
	writeCount int
}

// NewServer returns a server with an empty store.
func NewServer(s Settings) *Server {
	return &Server{
		settings: s,
		store:    platform.NewMemory(),
		reads:    rate.NewLimiter(rate.Limit(s.ReadsPerSecond), s.ReadsPerSecond),
		writes:   rate.NewLimiter(rate.Limit(s.WritesPerSecond), s.WritesPerSecond),
	}
}

// Handler serves the object API and the endpoints for faults and counters.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/ready", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/faults", s.setFaults).Methods(http.MethodPut)
	r.HandleFunc("/counts", s.getCounts).Methods(http.MethodGet)
	r.HandleFunc("/vms", s.putVMs).Methods(http.MethodPut)
	r.Handle("/vms", s.withFaults(s.getVMs, s.reads)).Methods(http.MethodGet)
	r.Handle("/objects/{kind}/{name}", s.withFaults(s.get, s.reads)).Methods(http.MethodGet)
	r.Handle("/objects/{kind}/{name}", s.withFaults(s.put, s.writes)).Methods(http.MethodPut)
	r.Handle("/objects/{kind}", s.withFaults(s.list, s.reads)).Methods(http.MethodGet)
	r.Handle("/watch/{kind}", s.withFaults(s.watch, s.reads)).Methods(http.MethodGet)
	return r
}

// SetFaults changes the simulated faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// withFaults applies the simulated faults, the rate limit and the latency to a handler.
func (s *Server) withFaults(next http.HandlerFunc, limit *rate.Limiter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := s.currentFaults()
		if f.Silent {
			<-r.Context().Done()
			return
		}
		if f.Down {
			panic(http.ErrAbortHandler)
		}
		if !limit.Allow() {
			s.updateCounts(func(c *Counts) { c.Refused++ })
			http.Error(w, "too many calls", http.StatusTooManyRequests)
			return
		}
		time.Sleep(s.settings.Latency.D() + time.Duration(f.ExtraMillis)*time.Millisecond)
		next(w, r)
	})
}

func (s *Server) updateCounts(add func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.counts)
}

func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case err != nil:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Reads++ })
	v := mux.Vars(r)
	obj, err := s.store.Get(r.Context(), v["kind"], v["name"])
	writeResult(w, obj, err)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Reads++ })
	b, err := s.store.List(r.Context(), mux.Vars(r)["kind"])
	writeResult(w, b, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Writes++ })
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if len(data) > maxValueBytes || !json.Valid(data) {
		http.Error(w, "value is too large or no JSON", http.StatusBadRequest)
		return
	}
	var expect uint64
	if r.Header.Get("If-None-Match") != "*" {
		expect, err = strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
		if err != nil {
			http.Error(w, "If-Match or If-None-Match: * is required", http.StatusPreconditionRequired)
			return
		}
	}
	v := mux.Vars(r)
	obj := platform.Object{Kind: v["kind"], Name: v["name"], Value: data}
	obj.Version, err = s.store.Put(r.Context(), obj, expect)
	if s.shouldLoseResponse() {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, obj, err)
}

func (s *Server) shouldLoseResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeCount++
	n := s.faults.LoseResponses
	return n > 0 && s.writeCount%n == 0
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Watches++ })
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is no revision", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait is no duration", http.StatusBadRequest)
		return
	}
	b, err := s.store.Watch(r.Context(), mux.Vars(r)["kind"], after, wait)
	if f := s.currentFaults(); f.Down || f.Silent {
		panic(http.ErrAbortHandler)
	}
	writeResult(w, b, err)
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	s.updateCounts(func(c *Counts) { c.Reads++ })
	vms, err := s.store.VMs(r.Context())
	writeResult(w, vms, err)
}

// putVMs replaces the VM list. The change becomes visible after VMLag.
func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []platform.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.AfterFunc(s.settings.VMLag.D(), func() { s.store.SetVMs(vms) })
	writeResult(w, vms, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeResult(w, f, nil)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	writeResult(w, c, nil)
}
