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
	Serves Mode = iota
	// Silent answers nothing and runs nothing, Frozen the same but lets calls
	// take effect when it wakes.
	Silent
	// Loses runs requests and breaks the connection instead of answering.
	Loses
	// Fails runs requests and answers 500.
	Fails
	// Sheds refuses requests for want of room.
	Sheds
	// LateGrants breaks grant calls off and carries them out LateBy later.
	LateGrants
	// LateCalls leaves every second grant and release unanswered and carries it out seconds
	// later: a release whatever has been granted since, a grant with its time from its arrival.
	LateCalls
)

// mostArrivals bounds the arrivals that are remembered.
const mostArrivals = 1 << 14

// LateBy is how late a grant is carried out in mode LateGrants.
const LateBy = 400 * time.Millisecond

// How late calls are carried out in mode LateCalls: longer by lateStep with each, up to lateSteps
// times.
const (
	lateLeast = time.Second
	lateStep  = 300 * time.Millisecond
	lateSteps = 10
)

// Instance is one incarnation of an upstream. It is safe for concurrent use.
type Instance struct {
	// ID is unique. Keyed says that requests need a key that it holds.
	ID    string
	Keyed bool
	// Work is how long a request runs.
	Work   time.Duration
	Oracle *Oracle
	// arrivals are the requests that came, the newest of them.
	arrivals []Arrival
	// limit is how many requests a second it takes, as its answers say; negative for none.
	limit float64
	// start tells this incarnation from all others, also from those with its ID.
	start string
	// leaving says that its answers tell that it leaves.
	leaving bool
	// rest is what its refusals for want of room ask for, as it stands in them.
	rest []string

	mu   sync.Mutex
	mode Mode
	// calls counts grants and releases in mode LateCalls.
	calls int
	// ended says that its process has ended: what it was to carry out later it does not.
	ended bool
	// onHarm ends the process of the instance, by a request that does.
	onHarm func(path string)
	holds  []hold
	// seen is the highest fence seen, by span of keys.
	seen    []seen
	running map[uint16]int
	idle    *sync.Cond
}

// StartHeader tells in each answer to a request which incarnation has made it.
const StartHeader = "X-Standin-Start"

// starts counts incarnations.
var starts atomic.Int64

// New returns an instance that holds nothing.
func New(id string, keyed bool, work time.Duration, oracle *Oracle) *Instance {
	start := id + "/" + strconv.FormatInt(starts.Add(1), 10)
	i := &Instance{ID: id, Keyed: keyed, Work: work, Oracle: oracle, running: make(map[uint16]int), limit: -1, start: start}
	i.idle = sync.NewCond(&i.mu)
	return i
}

// Start is the value of StartHeader in the answers of this incarnation.
func (i *Instance) Start() string { return i.start }

// Set changes the mode.
func (i *Instance) Set(m Mode) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode = m
}

// HarmHeader marks a request that ends each instance which begins to run it.
const HarmHeader = "X-Standin-Harm"

// OnHarm sets what ends the process of the instance when it begins to run such a request.
func (i *Instance) OnHarm(end func(path string)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.onHarm = end
}

// harmed ends the process.
func (i *Instance) harmed(path string) {
	i.mu.Lock()
	end := i.onHarm
	i.mu.Unlock()
	if end != nil {
		end(path)
	}
	panic(http.ErrAbortHandler)
}

// End ends the instance's process.
func (i *Instance) End() {
	i.mu.Lock()
	i.ended = true
	i.mu.Unlock()
	i.Oracle.Ended(i.ID)
}

func (i *Instance) get() Mode {
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
	if i.get() == Silent {
		<-r.Context().Done()
		return
	}
	if target := r.Header.Get(platform.TargetInstance); target != "" && target != i.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case platform.GrantPath, platform.ReleasePath:
		if delay, late := i.late(); late {
			i.carryOutLater(r.URL.Path, body, delay)
			<-r.Context().Done()
			return
		}
	}
	switch r.URL.Path {
	case platform.GrantPath:
		i.grantCall(w, body)
	case platform.ReleasePath:
		i.releaseCall(w, body)
	default:
		i.request(w, r)
	}
}

func (i *Instance) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestID)
	if id == "" {
		i.withoutID(w, r)
		return
	}
	w.Header().Set(platform.RequestID, id)
	i.arrived(id, w.Header())
	key, hasKey := platform.RequestKey(r.Header)
	if i.get() == Sheds {
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if i.Keyed && (!hasKey || !i.begin(key)) {
		w.Header().Set(platform.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	i.Oracle.Ran(i.ID, id, r.Method)
	if r.Header.Get(HarmHeader) != "" {
		i.harmed(r.URL.Path)
	}
	time.Sleep(i.Work)
	if i.Keyed {
		i.end(key)
	}
	switch i.get() {
	case Loses, Silent:
		panic(http.ErrAbortHandler)
	case Fails:
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
func (i *Instance) withoutID(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(platform.TargetInstance) != "" {
		i.Oracle.lostID(i.ID, r.Method, r.URL.Path)
	}
	w.Header().Set(platform.NotExecuted, "1")
	w.WriteHeader(http.StatusBadRequest)
}
