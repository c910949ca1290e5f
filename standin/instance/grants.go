package instance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file handles the grant and release of keys.

// lease is a time-limited right to execute requests for keys.
type lease struct {
	spans.KeyRange
	fence   uint64
	expires time.Time
	// carriedOut is when the grant was carried out, delay the time from its arrival to that.
	carriedOut time.Time
	delay      time.Duration
}

func (l lease) String() string {
	return fmt.Sprintf("%d-%d with fence %d, carried out %s ago and %s after its arrival", l.First, l.Last, l.fence, time.Since(l.carriedOut).Round(time.Millisecond), l.delay.Round(time.Millisecond))
}

// fenceRecord is the fence of one grant or release.
type fenceRecord struct {
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
	for _, l := range i.leases {
		if l.Contains(key) && now.Before(l.expires) {
			return true
		}
	}
	return false
}

// RemainingLease returns how much longer the instance holds the key, or zero if it does not
// hold it.
func (i *Instance) RemainingLease(key uint16) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	longest := time.Duration(0)
	for _, l := range i.leases {
		if l.Contains(key) {
			longest = max(longest, time.Until(l.expires))
		}
	}
	return longest
}

// nextLateDelay reports whether the control call that has just arrived is to be delayed, and
// for how long.
func (i *Instance) nextLateDelay() (time.Duration, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.mode != LateCalls {
		return 0, false
	}
	i.calls++
	return minLateDelay + time.Duration(i.calls/2%lateDelaySteps)*lateDelayStep, i.calls%2 == 0
}

// applyLater executes a control call after a delay.
func (i *Instance) applyLater(path string, body []byte, delay time.Duration) {
	var c platform.GrantRequest
	if json.Unmarshal(body, &c) != nil {
		return
	}
	expires := time.Now().Add(time.Duration(c.Hold * float64(time.Second)))
	time.AfterFunc(delay, func() {
		if path == platform.GrantPath {
			i.grant(c, expires, delay)
			return
		}
		i.mu.Lock()
		defer i.mu.Unlock()
		if !i.terminated {
			i.release(c)
		}
	})
}

// release ends the leases on the keys of a call. The caller holds the lock.
func (i *Instance) release(c platform.GrantRequest) {
	keys := spans.KeyRange{First: c.From, Last: c.Target}
	i.cutLeases(keys)
	i.fences = append(i.fences, fenceRecord{keys, c.Fence})
	i.Oracle.recordRelease(i.ID, keys, i.runningKeys(keys))
}

// runningKeys returns those of the keys for which requests run. The caller holds the lock.
func (i *Instance) runningKeys(keys spans.KeyRange) []uint16 {
	var out []uint16
	for key, n := range i.running {
		if n > 0 && keys.Contains(key) {
			out = append(out, key)
		}
	}
	return out
}

func (i *Instance) serveGrant(w http.ResponseWriter, body []byte, delay time.Duration) {
	var c platform.GrantRequest
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	expires := time.Now().Add(time.Duration(c.Hold * float64(time.Second)))
	if i.currentMode() == LateGrants {
		time.AfterFunc(LateGrantDelay, func() { i.grant(c, expires, delay+LateGrantDelay) })
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(i.grant(c, expires, delay))
}

func (i *Instance) grant(c platform.GrantRequest, expires time.Time, delay time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.terminated {
		return http.StatusServiceUnavailable
	}
	keys := spans.KeyRange{First: c.From, Last: c.Target}
	for _, s := range i.fences {
		if overlap(s.KeyRange, keys) && s.fence > c.Fence {
			return http.StatusConflict
		}
	}
	i.cutLeases(keys)
	i.fences = append(i.fences, fenceRecord{keys, c.Fence})
	l := lease{KeyRange: keys, fence: c.Fence, expires: expires, carriedOut: time.Now(), delay: delay}
	i.leases = append(i.leases, l)
	i.Oracle.recordGrant(i.ID, l)
	return http.StatusOK
}

func overlap(a, b spans.KeyRange) bool { return a.First <= b.Last && b.First <= a.Last }

// cutLeases removes the keys from all leases, splitting leases where needed.
func (i *Instance) cutLeases(keys spans.KeyRange) {
	var kept []lease
	for _, l := range i.leases {
		if !overlap(l.KeyRange, keys) {
			kept = append(kept, l)
			continue
		}
		if l.First < keys.First {
			low := l
			low.Last = keys.First - 1
			kept = append(kept, low)
		}
		if l.Last > keys.Last {
			high := l
			high.First = keys.Last + 1
			kept = append(kept, high)
		}
	}
	i.leases = kept
}

func (i *Instance) serveRelease(w http.ResponseWriter, body []byte) {
	var c platform.GrantRequest
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.release(c)
	for len(i.runningKeys(spans.KeyRange{First: c.From, Last: c.Target})) > 0 {
		i.idle.Wait()
	}
	w.Header().Set(platform.Handover, "h-"+i.ID+"-"+strconv.FormatUint(c.Fence, 10))
}

func (i *Instance) beginRequest(key uint16) bool {
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
	if i.running[key] == 0 {
		i.Oracle.recordIdle(i.ID, key)
	}
	i.idle.Broadcast()
}
