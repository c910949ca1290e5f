package instance

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file grants keys to the instance and takes them back.

type hold struct {
	spans.KeyRange
	fence uint64
	until time.Time
}

type seen struct {
	spans.KeyRange
	fence uint64
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
		if h.Contains(key) && now.Before(h.until) {
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
		if h.Contains(key) {
			longest = max(longest, time.Until(h.until))
		}
	}
	return longest
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
	var c platform.GrantRequest
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
func (i *Instance) release(c platform.GrantRequest) {
	keys := spans.KeyRange{First: c.From, Last: c.Target}
	i.drop(keys)
	i.seen = append(i.seen, seen{keys, c.Fence})
	i.Oracle.released(i.ID, keys)
}

func (i *Instance) grantCall(w http.ResponseWriter, body []byte) {
	var c platform.GrantRequest
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

func (i *Instance) grant(c platform.GrantRequest, until time.Time) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return http.StatusServiceUnavailable
	}
	keys := spans.KeyRange{First: c.From, Last: c.Target}
	for _, s := range i.seen {
		if overlap(s.KeyRange, keys) && s.fence > c.Fence {
			return http.StatusConflict
		}
	}
	i.drop(keys)
	i.seen = append(i.seen, seen{keys, c.Fence})
	i.holds = append(i.holds, hold{keys, c.Fence, until})
	i.Oracle.granted(i.ID, keys, c.Fence, until)
	return http.StatusOK
}

func overlap(a, b spans.KeyRange) bool { return a.First <= b.Last && b.First <= a.Last }

// drop cuts the keys out of all holds.
func (i *Instance) drop(keys spans.KeyRange) {
	var kept []hold
	for _, h := range i.holds {
		if !overlap(h.KeyRange, keys) {
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
	var c platform.GrantRequest
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.release(c)
	for i.busy(spans.KeyRange{First: c.From, Last: c.Target}) {
		i.idle.Wait()
	}
	w.Header().Set(platform.Handover, "h-"+i.ID+"-"+strconv.FormatUint(c.Fence, 10))
}

func (i *Instance) busy(keys spans.KeyRange) bool {
	for key, n := range i.running {
		if n > 0 && keys.Contains(key) {
			return true
		}
	}
	return false
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
