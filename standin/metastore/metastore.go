// Package metastore stands in for the platform's metadata store: objects with
// revisions, conditional writes, watches, and the faults that the platform's
// pages describe.
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

// Store is the store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]platform.ObjectBody
	history  []change
	// compacted is the revision up to which the history is gone.
	compacted uint64
	// deaf watches hear nothing.
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

// Mode is how a door treats calls.
type Mode int

// The modes.
const (
	// Open serves.
	Healthy Mode = iota
	// Busy answers 503, Many 429.
	Unavailable
	TooManyRequests
	// Reset breaks the connection, Silent never answers.
	ResetConnection
	Unresponsive
	// Lose carries calls out and breaks the connection.
	LoseResponse
	// Late breaks the connection and carries the call out LateBy afterwards.
	ApplyLate
)

// LateBy is how late a call is carried out in mode Late.
const LateDelay = 300 * time.Millisecond

// Door is the way of one caller to the store, with faults of its own.
type Endpoint struct {
	store     *Store
	mu        sync.Mutex
	mode      Mode
	listCalls int
}

// Door returns the named door.
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

// Set changes how the door treats calls.
func (e *Endpoint) SetMode(m Mode) {
	e.mu.Lock()
	e.mode = m
	e.mu.Unlock()
	if m != Healthy {
		// Watches that wait are cut off.
		e.store.wakeWatches()
	}
}

// Lists returns the number of calls through the door so far that asked for a list of
// objects, one for each page.
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

// SetAll changes all doors.
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

// SetDeaf decides whether watches hear of changes.
func (s *Store) SetSuppressEvents(suppressEvents bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suppressEvents = suppressEvents
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.revision
}

// Calls returns the number of calls made so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes an object without condition, as operators and upstreams do, and
// returns its revision.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, data).Metadata.Revision
}

// Remove takes an object away.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Spec returns the spec of an object, or nil.
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

// wake ends the wait of all watches.
func (s *Store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves one call that came through the door.
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

// isList reports whether a call asks for the objects of a kind, and not for one of
// them or for changes.
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

// call carries one call out and returns status and body.
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

// pageSize is the number of objects in one answer; small, so that tests see
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
