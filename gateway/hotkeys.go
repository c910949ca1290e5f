package gateway

import (
	"sync"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file brings the limits of hot keys from the leader to all gateways.

// admits is the part of the requests that can be run, of hot keys, by service.
type admittedShares = map[string]map[uint16]float64

// hotKeys are the limits that the leader has decided, for concurrent use.
type hotKeyLimits struct {
	mu        sync.Mutex
	byService map[string][]ownership.Limit
}

// set takes over the limits of a service.
func (h *hotKeyLimits) set(service string, limits []ownership.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byService == nil {
		h.byService = make(map[string][]ownership.Limit)
	}
	h.byService[service] = limits
}

// clear drops all limits: this gateway does not lead any more.
func (h *hotKeyLimits) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byService = nil
}

// messages returns the limits as they are told.
func (h *hotKeyLimits) encode() []*syncpb.HotKeys {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []*syncpb.HotKeys
	for service, limits := range h.byService {
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
func decodeHotKeys(list []*syncpb.HotKeys) admittedShares {
	out := make(admittedShares, len(list))
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
func (c *cluster) setParentHotKeys(list []*syncpb.HotKeys) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hotKeys = list
}

// hotKeysAbove returns what the parent told of hot keys.
func (c *cluster) parentHotKeys() []*syncpb.HotKeys {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hotKeys
}
