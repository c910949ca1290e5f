// Package instance stands in for an upstream on the platform: it takes grants
// and releases with fences, runs requests for keys that it holds, and has the
// faults that the platform's pages describe. All instances report to one
// Oracle, which knows what must never happen.
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

// Mode is how an instance treats requests and calls.
type Mode int

// The modes.
const (
	// Serves runs what it is sent.
	Healthy Mode = iota
	// Silent answers nothing and runs nothing, Frozen the same but lets calls
	// take effect when it wakes.
	Unresponsive
	// Loses runs requests and breaks the connection instead of answering.
	LosesResponses
	// Fails runs requests and answers 500.
	ReturnsErrors
	// Sheds refuses requests for want of room.
	Overloaded
	// LateGrants breaks grant calls off and carries them out LateBy later.
	LateGrants
	// LateCalls leaves every second grant and release unanswered and carries it out seconds
	// later: a release whatever has been granted since, a grant with its time from its arrival.
	LateCalls
)

// mostArrivals bounds the arrivals that are remembered.
const maxArrivals = 1 << 14

// LateBy is how late a grant is carried out in mode LateGrants.
const LateGrantDelay = 400 * time.Millisecond

// How late calls are carried out in mode LateCalls: longer by lateStep with each, up to lateSteps
// times.
const (
	minLateDelay   = time.Second
	lateDelayStep  = 300 * time.Millisecond
	lateDelaySteps = 10
)

// Instance is one incarnation of an upstream. It is safe for concurrent use.
type Instance struct {
	// ID is unique. Keyed says that requests need a key that it holds.
	ID    string
	Keyed bool
	// Work is how long a request runs.
	ServiceTime time.Duration
	Oracle      *Oracle
	// arrivals are the requests that came, the newest of them.
	arrivals []Arrival
	// limit is how many requests a second it takes, as its answers say; negative for none.
	limit float64
	// start tells this incarnation from all others, also from those with its ID.
	incarnation string
	// leaving says that its answers tell that it leaves.
	leaving bool
	// rest is what its refusals for want of room ask for, as it stands in them.
	retryAfter []string

	mu   sync.Mutex
	mode Mode
	// calls counts grants and releases in mode LateCalls.
	calls int
	// ended says that its process has ended: what it was to carry out later it does not.
	terminated bool
	// onHarm ends the process of the instance, by a request that does.
	onCrash func(path string)
	leases  []lease
	// seen is the highest fence seen, by span of keys.
	fences  []fenceRecord
	running map[uint16]int
	idle    *sync.Cond
}

// StartHeader tells in each answer to a request which incarnation has made it.
const IncarnationHeader = "X-Standin-Start"

// starts counts incarnations.
var incarnations atomic.Int64

// New returns an instance that holds nothing.
func New(id string, keyed bool, serviceTime time.Duration, oracle *Oracle) *Instance {
	incarnation := id + "/" + strconv.FormatInt(incarnations.Add(1), 10)
	i := &Instance{ID: id, Keyed: keyed, ServiceTime: serviceTime, Oracle: oracle, running: make(map[uint16]int), limit: -1, incarnation: incarnation}
	i.idle = sync.NewCond(&i.mu)
	return i
}

// Start is the value of StartHeader in the answers of this incarnation.
func (i *Instance) Incarnation() string { return i.incarnation }

// Set changes the mode.
func (i *Instance) SetMode(m Mode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode = m
}

// HarmHeader marks a request that ends each instance which begins to run it.
const HarmHeader = "X-Standin-Harm"

// OnHarm sets what ends the process of the instance when it begins to run such a request.
func (i *Instance) OnCrash(end func(path string)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onCrash = end
}

// harmed ends the process.
func (i *Instance) crash(path string) {
	i.mu.Lock()
	end := i.onCrash
	i.mu.Unlock()
	if end != nil {
		end(path)
	}
	panic(http.ErrAbortHandler)
}

// End ends the instance's process.
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

// ServeHTTP serves requests and calls.
func (i *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if i.currentMode() == Unresponsive {
		<-r.Context().Done()
		return
	}
	if target := r.Header.Get(platform.TargetInstance); target != "" && target != i.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case platform.GrantPath, platform.ReleasePath:
		if delay, late := i.nextLateDelay(); late {
			i.applyLater(r.URL.Path, body, delay)
			<-r.Context().Done()
			return
		}
	}
	switch r.URL.Path {
	case platform.GrantPath:
		i.serveGrant(w, body)
	case platform.ReleasePath:
		i.serveRelease(w, body)
	default:
		i.serveRequest(w, r)
	}
}

func (i *Instance) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestID)
	if id == "" {
		i.refuseWithoutID(w, r)
		return
	}
	w.Header().Set(platform.RequestID, id)
	i.recordArrival(id, w.Header())
	key, hasKey := platform.Key(r.Header)
	if i.currentMode() == Overloaded {
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
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

// withoutID refuses a request without an id, as the platform's instances do. One that
// names its target is from a gateway, and its client's id is lost; any other was meant
// for another process.
func (i *Instance) refuseWithoutID(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platform.TargetInstance) != "" {
		i.Oracle.recordMissingID(i.ID, r.Method, r.URL.Path)
	}
	w.Header().Set(platform.NotExecuted, "1")
	w.WriteHeader(http.StatusBadRequest)
}
