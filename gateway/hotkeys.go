package gateway

import (
	"sync"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file brings the limits of hot keys from the leader to all gateways.

// admits is the part of the requests that can be run, of hot keys, by service.
type admits = map[string]map[uint16]float64

// hotKeys are the limits that the leader has decided, for concurrent use.
type hotKeys struct {
	mu sync.Mutex
	by map[string][]ownership.Limit
}

// set takes over the limits of a service.
func (h *hotKeys) set(service string, limits []ownership.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.by == nil {
		h.by = make(map[string][]ownership.Limit)
	}
	h.by[service] = limits
}

// clear drops all limits: this gateway does not lead any more.
func (h *hotKeys) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.by = nil
}

// messages returns the limits as they are told.
func (h *hotKeys) messages() []*syncpb.HotKeys {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*syncpb.HotKeys
	for service, limits := range h.by {
		if len(limits) == 0 {
			continue
		}
		m := &syncpb.HotKeys{Service: service}
		for _, l := range limits {
			m.Keys = append(m.Keys, uint32(l.Key))
			m.Admit = append(m.Admit, float32(l.AdmittedShare))
		}
		out = append(out, m)
	}
	return out
}

// admitted returns what messages tell. What cannot be is left out.
func admitted(list []*syncpb.HotKeys) admits {
	out := make(admits, len(list))
	for _, m := range list {
		keys := make(map[uint16]float64, len(m.Keys))
		for i, key := range m.Keys {
			if i < len(m.Admit) && key <= spans.MaxKey && m.Admit[i] >= 0 && m.Admit[i] <= 1 {
				keys[uint16(key)] = float64(m.Admit[i])
			}
		}
		out[m.Service] = keys
	}
	return out
}

// setHotKeys takes over what the parent told of hot keys.
func (c *cluster) setHotKeys(list []*syncpb.HotKeys) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hotKeys = list
}

// hotKeysAbove returns what the parent told of hot keys.
func (c *cluster) hotKeysAbove() []*syncpb.HotKeys {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hotKeys
}
