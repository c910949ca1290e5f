// Package instance stands in for an upstream on the platform: it takes grants
// and releases with fences, runs requests for keys that it holds, and has the
// faults that the platform's pages describe. All instances report to one
// Oracle, which knows what must never happen.
package instance

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/spans"
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

type hold struct {
	spans.Keys
	fence uint64
	until time.Time
}

type seen struct {
	spans.Keys
	fence uint64
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

// Name lets the instance name a limit, in requests a second, with each answer from now on.
func (i *Instance) Name(perSecond float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = perSecond
}

// NameNone ends that.
func (i *Instance) NameNone() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limit = -1
}

// Leave lets the instance say with each answer from now on that it leaves.
func (i *Instance) Leave() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = true
}

// Rest lets the instance turn requests away from now on and ask for rest in these words, seconds
// as a rule.
func (i *Instance) Rest(asked ...string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.rest = Sheds, asked
}

// Resume ends that.
func (i *Instance) Resume() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.mode, i.rest = Serves, nil
}

// Arrival is one request that came.
type Arrival struct {
	// Request is its id, as the client sent it.
	Request string
	At      time.Time
	// Rest is the time for which the instance wanted nothing more from the sender, by its answer.
	Rest time.Duration
}

// Arrived returns the requests that came, as far as they are remembered.
func (i *Instance) Arrived() []Arrival {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.Clone(i.arrivals)
}

// Arrivals returns when requests came, as far as it is remembered.
func (i *Instance) Arrivals() []time.Time {
	var out []time.Time
	for _, a := range i.Arrived() {
		out = append(out, a.At)
	}
	return out
}

// arrived notes a request, and says in its answer what the instance says of itself.
func (i *Instance) arrived(id string, h http.Header) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.arrivals) == mostArrivals {
		i.arrivals = append(i.arrivals[:0], i.arrivals[mostArrivals/2:]...)
	}
	now := Arrival{Request: id, At: time.Now()}
	if i.limit >= 0 {
		h.Set(platform.LimitHeader, strconv.FormatFloat(i.limit, 'f', 1, 64))
	}
	if i.leaving {
		h.Set(platform.LeavingHeader, "1")
	}
	if i.mode == Sheds && len(i.rest) > 0 {
		h[platform.RestHeader] = i.rest
		now.Rest = i.longestRest()
	}
	h.Set(StartHeader, i.start)
	i.arrivals = append(i.arrivals, now)
}

// longestRest is the longest of the times that it asks for; those that are no seconds are none.
func (i *Instance) longestRest() time.Duration {
	longest := time.Duration(0)
	for _, text := range i.rest {
		if seconds, err := strconv.ParseFloat(text, 64); err == nil && seconds > 0 {
			longest = max(longest, time.Duration(seconds*float64(time.Second)))
		}
	}
	return longest
}

// Holds reports whether the instance holds the key now.
func (i *Instance) Holds(key uint16) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.holdsLocked(key)
}

func (i *Instance) holdsLocked(key uint16) bool {
	now := time.Now()
	for _, h := range i.holds {
		if h.Has(key) && now.Before(h.until) {
			return true
		}
	}
	return false
}

// HeldFor returns how long the instance holds the key from now on; zero when it does
// not hold it.
func (i *Instance) HeldFor(key uint16) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	longest := time.Duration(0)
	for _, h := range i.holds {
		if h.Has(key) {
			longest = max(longest, time.Until(h.until))
		}
	}
	return longest
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

// late reports whether a control call that comes now is carried out late, and by how much.
func (i *Instance) late() (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.mode != LateCalls {
		return 0, false
	}
	i.calls++
	return lateLeast + time.Duration(i.calls/2%lateSteps)*lateStep, i.calls%2 == 0
}

// carryOutLater carries a control call out after a time.
func (i *Instance) carryOutLater(path string, body []byte, delay time.Duration) {
	var c platform.GrantCall
	if json.Unmarshal(body, &c) != nil {
		return
	}
	until := time.Now().Add(time.Duration(c.Hold * float64(time.Second)))
	time.AfterFunc(delay, func() {
		if path == platform.GrantPath {
			i.grant(c, until)
			return
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.ended {
			i.release(c)
		}
	})
}

// release drops the keys of a call. The lock is held.
func (i *Instance) release(c platform.GrantCall) {
	keys := spans.Keys{First: c.From, Last: c.Target}
	i.drop(keys)
	i.seen = append(i.seen, seen{keys, c.Fence})
	i.Oracle.released(i.ID, keys)
}

func (i *Instance) grantCall(w http.ResponseWriter, body []byte) {
	var c platform.GrantCall
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.Now().Add(time.Duration(c.Hold * float64(time.Second)))
	if i.get() == LateGrants {
		time.AfterFunc(LateBy, func() { i.grant(c, until) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(i.grant(c, until))
}

func (i *Instance) grant(c platform.GrantCall, until time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return http.StatusServiceUnavailable
	}
	keys := spans.Keys{First: c.From, Last: c.Target}
	for _, s := range i.seen {
		if overlap(s.Keys, keys) && s.fence > c.Fence {
			return http.StatusConflict
		}
	}
	i.drop(keys)
	i.seen = append(i.seen, seen{keys, c.Fence})
	i.holds = append(i.holds, hold{keys, c.Fence, until})
	i.Oracle.granted(i.ID, keys, c.Fence, until)
	return http.StatusOK
}

func overlap(a, b spans.Keys) bool { return a.First <= b.Last && b.First <= a.Last }

// drop cuts the keys out of all holds.
func (i *Instance) drop(keys spans.Keys) {
	var kept []hold
	for _, h := range i.holds {
		if !overlap(h.Keys, keys) {
			kept = append(kept, h)
			continue
		}
		if h.First < keys.First {
			low := h
			low.Last = keys.First - 1
			kept = append(kept, low)
		}
		if h.Last > keys.Last {
			high := h
			high.First = keys.Last + 1
			kept = append(kept, high)
		}
	}
	i.holds = kept
}

func (i *Instance) releaseCall(w http.ResponseWriter, body []byte) {
	var c platform.GrantCall
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.release(c)
	for i.busy(spans.Keys{First: c.From, Last: c.Target}) {
		i.idle.Wait()
	}
	w.Header().Set(platform.Handover, "h-"+i.ID+"-"+strconv.FormatUint(c.Fence, 10))
}

func (i *Instance) busy(keys spans.Keys) bool {
	for key, n := range i.running {
		if n > 0 && keys.Has(key) {
			return true
		}
	}
	return false
}

func (i *Instance) request(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.RequestID)
	if id == "" {
		i.withoutID(w, r)
		return
	}
	w.Header().Set(platform.RequestID, id)
	i.arrived(id, w.Header())
	key, hasKey := platform.Key(r.Header)
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

func (i *Instance) begin(key uint16) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.holdsLocked(key) {
		return false
	}
	i.running[key]++
	return true
}

func (i *Instance) end(key uint16) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running[key]--
	i.idle.Broadcast()
}
