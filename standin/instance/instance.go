// Package instance simulates an upstream on the platform for tests. An instance accepts
// fenced grants and releases of keys, executes requests for the keys that it holds, and
// injects the faults that the platform's documentation describes. All instances report to
// one Oracle, which detects violations of the guarantees that must always hold.
package instance

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// Mode tells how an instance handles requests and control calls.
type Mode int

// The modes of an instance.
const (
	// Healthy executes requests and control calls normally.
	Healthy Mode = iota
	// Unresponsive neither responds nor executes anything.
	Unresponsive
	// LosesResponses executes requests, then closes the connection without a response.
	LosesResponses
	// ReturnsErrors executes requests and responds with 500.
	ReturnsErrors
	// Overloaded rejects requests as not executed, for lack of capacity.
	Overloaded
	// LateGrants closes the connection of grant calls and executes them LateGrantDelay later.
	LateGrants
	// LateCalls leaves every second grant or release call unanswered and executes it seconds
	// later. A late release applies regardless of later grants, and the duration of a late
	// grant counts from the arrival of the call.
	LateCalls
	// ExtraResponses sends its previous response on the connection again before it executes a grant or
	// release call, and then the response to the call.
	ExtraResponses
)

// maxArrivals bounds the number of arrivals that are remembered.
const maxArrivals = 1 << 14

// LateGrantDelay is the delay before a grant is executed in mode LateGrants.
const LateGrantDelay = 400 * time.Millisecond

// The delays before calls are executed in mode LateCalls. The delay grows by lateDelayStep with
// each delayed call, and returns to minLateDelay after lateDelaySteps of them.
const (
	minLateDelay   = time.Second
	lateDelayStep  = 300 * time.Millisecond
	lateDelaySteps = 10
)

// Instance is one incarnation of an upstream. It is safe for concurrent use.
type Instance struct {
	// ID identifies the upstream. Keyed is set if requests need a key that the instance holds.
	ID    string
	Keyed bool
	// ServiceTime is how long a request takes to execute.
	ServiceTime time.Duration
	Oracle      *Oracle
	// arrivals are the most recent requests received.
	arrivals []Arrival
	// limit is the request rate that its responses advertise, in requests per second; none if
	// negative.
	limit float64
	// incarnation is unique among all instances, including those with the same ID.
	incarnation string
	// OmitsControlIDs is set if responses to control calls do not carry the ID of the call.
	OmitsControlIDs bool
	// ArrivedAt, if set, returns when the latest bytes on the connection from an address arrived, or the zero time.
	// It is only reported with violations.
	ArrivedAt func(remote string) time.Time
	// formerResponses are the latest responses to control calls in mode ExtraResponses, by the address of
	// the caller.
	formerResponses map[string]*controlResponse
	// leaving is set if its responses announce that it is leaving.
	leaving bool
	// responseFaults are the faults of responses to requests.
	responseFaults responseFaults
	// retryAfter holds the header values with which an overloaded instance asks senders to pause.
	retryAfter []string

	mu   sync.Mutex
	mode Mode
	// calls counts the grant and release calls received in mode LateCalls.
	calls int
	// terminated is set when the simulated process has ended. Delayed calls are then dropped.
	terminated bool
	// onCrash is called when a request crashes the simulated process.
	onCrash func(path string)
	leases  []lease
	// fences are the fences of all grants and releases so far, with their keys.
	fences  []fenceRecord
	running map[uint16]int
	idle    *sync.Cond
}

// IncarnationHeader identifies, in each response to a request, the incarnation that sent it.
const IncarnationHeader = "X-Standin-Start"

// incarnations counts the instances created, to make incarnations unique.
var incarnations atomic.Int64

// New returns an instance that holds no keys.
func New(id string, keyed bool, serviceTime time.Duration, oracle *Oracle) *Instance {
	incarnation := id + "/" + strconv.FormatInt(incarnations.Add(1), 10)
	i := &Instance{ID: id, Keyed: keyed, ServiceTime: serviceTime, Oracle: oracle, running: make(map[uint16]int), formerResponses: make(map[string]*controlResponse), limit: -1, incarnation: incarnation}
	i.idle = sync.NewCond(&i.mu)
	return i
}

// Incarnation returns the value of IncarnationHeader in the responses of this instance.
func (i *Instance) Incarnation() string { return i.incarnation }

// SetMode changes the mode.
func (i *Instance) SetMode(m Mode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode = m
}

// HarmHeader marks a request that crashes every instance that starts to execute it.
const HarmHeader = "X-Standin-Harm"

// OnCrash sets the function that ends the simulated process when the instance starts to
// execute a request with HarmHeader.
func (i *Instance) OnCrash(end func(path string)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onCrash = end
}

// crash ends the simulated process and closes the connection without a response.
func (i *Instance) crash(path string) {
	i.mu.Lock()
	end := i.onCrash
	i.mu.Unlock()
	if end != nil {
		end(path)
	}
	panic(http.ErrAbortHandler)
}

// Terminate ends the simulated process.
func (i *Instance) Terminate() {
	i.mu.Lock()
	i.terminated = true
	i.mu.Unlock()
	i.Oracle.InstanceTerminated(i.ID)
}

func (i *Instance) currentMode() Mode {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.mode
}

// ServeHTTP serves requests and control calls.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body []byte
	raw := i.isNextRaw(r)
	if !raw {
		var err error
		if body, err = io.ReadAll(r.Body); err != nil {
			return
		}
	}
	if i.currentMode() == Unresponsive {
		<-r.Context().Done()
		return
	}
	i.sendCopy(r)
	if id := r.Header.Get(platform.RequestID); id != "" && !(isControl(r) && i.OmitsControlIDs) {
		w.Header().Set(platform.RequestID, id)
	}
	if target := r.Header.Get(platform.TargetInstance); target != "" && target != i.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if raw {
		i.serveRaw(w, r)
		return
	}
	if !isControl(r) {
		i.serveRequestWithFaults(w, r)
		return
	}
	if delay, late := i.nextLateDelay(); late {
		i.applyLater(r.URL.Path, body, delay)
		<-r.Context().Done()
		return
	}
	if i.currentMode() == ExtraResponses {
		i.serveWithExtraResponse(w, r, body)
		return
	}
	i.serveControl(w, r.URL.Path, body, i.delayOf(r))
}

// isControl reports whether a request is a control call.
func isControl(r *http.Request) bool {
	return r.URL.Path == platform.GrantPath || r.URL.Path == platform.ReleasePath
}

// delayOf returns the time since a request arrived; zero if that is not known.
func (i *Instance) delayOf(r *http.Request) time.Duration {
	if i.ArrivedAt == nil {
		return 0
	}
	arrived := i.ArrivedAt(r.RemoteAddr)
	if arrived.IsZero() {
		return 0
	}
	return time.Since(arrived)
}

// serveControl serves a grant or release call.
func (i *Instance) serveControl(w http.ResponseWriter, path string, body []byte, delay time.Duration) {
	if path == platform.GrantPath {
		i.serveGrant(w, body, delay)
		return
	}
	i.serveRelease(w, body)
}

func (i *Instance) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestID)
	if id == "" {
		i.refuseWithoutID(w, r)
		return
	}
	i.recordArrival(id, w.Header())
	key, hasKey := platform.RequestKey(r.Header)
	if i.currentMode() == Overloaded || i.refusesNext() {
		refuse(w)
		return
	}
	if i.Keyed && (!hasKey || !i.beginRequest(key)) {
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.Oracle.RecordRun(i.ID, id, r.Method)
	if r.Header.Get(HarmHeader) != "" {
		i.crash(r.URL.Path)
	}
	time.Sleep(i.ServiceTime)
	if i.Keyed {
		i.end(key)
	}
	switch i.currentMode() {
	case LosesResponses, Unresponsive:
		panic(http.ErrAbortHandler)
	case ReturnsErrors:
		w.Header().Set(platform.Signature, "sig-"+id)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set(platform.Signature, "sig-"+id)
	if _, err := io.WriteString(w, "done "+id+" by "+i.ID); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// refuseWithoutID rejects a request without an ID, as the platform's instances do. A request
// that names its target comes from a gateway, which has lost the ID set by the client. Any
// other request was meant for a different process.
func (i *Instance) refuseWithoutID(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platform.TargetInstance) != "" {
		i.Oracle.recordMissingID(i.ID, r.Method, r.URL.Path)
	}
	w.Header().Set(platform.NotExecuted, "1")
	w.WriteHeader(http.StatusBadRequest)
}
