// Package metastore simulates the platform's metadata store for tests. It implements
// objects with revisions, conditional writes and watches, and injects the faults that the
// platform's documentation describes.
package metastore

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// Store keeps the objects in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]platform.ObjectBody
	history  []change
	// compacted is the revision up to which the history has been dropped.
	compacted uint64
	// suppressEvents makes watches report no changes.
	suppressEvents bool
	changed        chan struct{}
	endpoints      map[string]*Endpoint
	calls          int
}

type change struct {
	revision uint64
	kind     string
	platform.EventBody
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: make(map[string]map[string]platform.ObjectBody),
		changed: make(chan struct{}), endpoints: make(map[string]*Endpoint),
	}
}

// Mode tells how an endpoint handles calls.
type Mode int

// The modes of an endpoint.
const (
	// Healthy serves calls normally.
	Healthy Mode = iota
	// Unavailable responds with 503, TooManyRequests with 429.
	Unavailable
	TooManyRequests
	// ResetConnection closes the connection without a response, Unresponsive never responds.
	ResetConnection
	Unresponsive
	// LoseResponse executes the call, then closes the connection without a response.
	LoseResponse
	// ApplyLate closes the connection and executes the call LateDelay later.
	ApplyLate
)

// LateDelay is the delay before a call is executed in mode ApplyLate.
const LateDelay = 300 * time.Millisecond

// Endpoint is the access of one caller to the store. Each endpoint has its own fault mode.
type Endpoint struct {
	store     *Store
	mu        sync.Mutex
	mode      Mode
	listCalls int
}

// Endpoint returns the named endpoint, which is created if needed.
func (s *Store) Endpoint(name string) *Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoints[name]
	if e == nil {
		e = &Endpoint{store: s}
		s.endpoints[name] = e
	}
	return e
}

// SetMode changes how the endpoint handles calls.
func (e *Endpoint) SetMode(m Mode) {
	e.mu.Lock()
	e.mode = m
	e.mu.Unlock()
	if m != Healthy {
		// A watch that is already waiting is aborted when it returns, see respond.
		e.store.wakeWatches()
	}
}

// ListCalls returns the number of calls through the endpoint so far that listed objects.
// Each page of a list is a call.
func (e *Endpoint) ListCalls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listCalls
}

func (e *Endpoint) currentMode() Mode {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode
}

// SetAllModes changes the mode of all existing endpoints.
func (s *Store) SetAllModes(m Mode) {
	s.mu.Lock()
	endpoints := make([]*Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		endpoints = append(endpoints, e)
	}
	s.mu.Unlock()
	for _, e := range endpoints {
		e.SetMode(m)
	}
}

// SetSuppressEvents sets whether watches stop reporting changes.
func (s *Store) SetSuppressEvents(suppressEvents bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suppressEvents = suppressEvents
}

// Compact drops the history, so that watches from an older revision fail with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Calls returns the number of calls received so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object unconditionally, as operators and upstreams do, and returns its
// new revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, data).Metadata.Revision
}

// Remove deletes an object, if it exists.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Spec returns the spec of an object, or nil if it does not exist.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

func (s *Store) put(kind, name string, spec json.RawMessage) platform.ObjectBody {
	s.revision++
	o := platform.ObjectBody{Spec: spec}
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]platform.ObjectBody)
	}
	s.objects[kind][name] = o
	s.appendEvent(kind, platform.EventBody{Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.appendEvent(kind, platform.EventBody{Removed: true, Object: o})
}

func (s *Store) appendEvent(kind string, e platform.EventBody) {
	s.history = append(s.history, change{revision: s.revision, kind: kind, EventBody: e})
	close(s.changed)
	s.changed = make(chan struct{})
}

// wakeWatches makes all waiting watches look for changes again.
func (s *Store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call through the endpoint.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.store.countCall()
	if isList(r) {
		e.mu.Lock()
		e.listCalls++
		e.mu.Unlock()
	}
	switch e.currentMode() {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case ResetConnection:
		panic(http.ErrAbortHandler)
	case Unresponsive:
		<-r.Context().Done()
	case LoseResponse:
		e.store.execute(r, body)
		panic(http.ErrAbortHandler)
	case ApplyLate:
		time.AfterFunc(LateDelay, func() { e.store.execute(r, body) })
		panic(http.ErrAbortHandler)
	default:
		e.respond(w, r, body)
	}
}

// isList reports whether a call lists the objects of a kind, as opposed to reading a single
// object or watching for changes.
func isList(r *http.Request) bool {
	single := strings.Contains(strings.TrimPrefix(r.URL.Path, platform.ObjectsPath), "/")
	return r.Method == http.MethodGet && !single && !r.URL.Query().Has("watch")
}

func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, body []byte) {
	status, value := e.store.execute(r, body)
	if e.currentMode() != Healthy {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (s *Store) countCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
}

// execute executes one call and returns the status and body of the response.
func (s *Store) execute(r *http.Request, body []byte) (int, any) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, platform.ObjectsPath), "/")
	if r.Method == http.MethodGet {
		if r.URL.Query().Has("watch") {
			return s.watch(r, kind, name)
		}
		return s.read(r, kind, name)
	}
	var o platform.ObjectBody
	if len(body) > 0 && json.Unmarshal(body, &o) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(r.Method, kind, name, o)
}

func (s *Store) write(method, kind, name string, o platform.ObjectBody) (int, any) {
	if method == http.MethodPost {
		name = o.Metadata.Name
		if existing, ok := s.objects[kind][name]; ok {
			return http.StatusConflict, existing
		}
		return http.StatusCreated, s.put(kind, name, o.Spec)
	}
	existing, ok := s.objects[kind][name]
	switch {
	case !ok:
		return http.StatusNotFound, nil
	case o.Metadata.Revision != 0 && o.Metadata.Revision != existing.Metadata.Revision:
		return http.StatusConflict, existing
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, nil
	case string(o.Spec) == string(existing.Spec):
		return http.StatusOK, existing
	}
	return http.StatusOK, s.put(kind, name, o.Spec)
}

// pageSize is the maximum number of objects in one response. It is small so that tests see
// several pages.
const pageSize = 20

func (s *Store) read(r *http.Request, kind, name string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, ok := s.objects[kind][name]; ok {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	}
	list := platform.ListBody{AtRev: s.revision}
	after := r.URL.Query().Get("after")
	names := make([]string, 0, len(s.objects[kind]))
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	for i, n := range names {
		if i == pageSize {
			list.HasMore = true
			break
		}
		list.Items = append(list.Items, s.objects[kind][n])
	}
	return http.StatusOK, list
}

func (s *Store) watch(r *http.Request, kind, name string) (int, any) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		return http.StatusBadRequest, nil
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, changed, compacted := s.eventsSince(after, kind, name)
		if compacted {
			return http.StatusGone, nil
		}
		if len(events) > 0 {
			return http.StatusOK, platform.EventsBody{Events: events, AtRev: revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, platform.EventsBody{AtRev: revision}
		case <-r.Context().Done():
			return http.StatusOK, nil
		}
	}
}

func (s *Store) eventsSince(after uint64, kind, name string) (events []platform.EventBody, revision uint64, changed <-chan struct{}, compacted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, true
	}
	if s.suppressEvents {
		return nil, s.revision, s.changed, false
	}
	for _, c := range s.history {
		if c.revision > after && c.kind == kind && (name == "" || name == c.Object.Metadata.Name) {
			events = append(events, c.EventBody)
		}
	}
	return events, s.revision, s.changed, false
}
