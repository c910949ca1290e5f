package gateway

import (
	"sync"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file distributes the leader's limits of hot keys to all gateways.

// admittedShares is the share of requests to admit for each hot key, by service. Requests beyond
// it would exceed what the owner can run.
type admittedShares = map[string]map[uint16]float64

// hotKeyLimits are the limits that the leader has decided. It is safe for concurrent use.
type hotKeyLimits struct {
	mu        sync.Mutex
	byService map[string][]ownership.Limit
}

// set replaces the limits of a service.
func (h *hotKeyLimits) set(service string, limits []ownership.Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byService == nil {
		h.byService = make(map[string][]ownership.Limit)
	}
	h.byService[service] = limits
}

// clear drops all limits, because this gateway no longer leads.
func (h *hotKeyLimits) clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byService = nil
}

// encode returns the limits as messages for other gateways.
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

// decodeHotKeys returns the limits in messages. Invalid ones are left out.
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

// setParentHotKeys stores the limits of hot keys received from the parent.
func (c *cluster) setParentHotKeys(list []*syncpb.HotKeys) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hotKeys = list
}

// parentHotKeys returns the limits of hot keys received from the parent.
func (c *cluster) parentHotKeys() []*syncpb.HotKeys {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hotKeys
}
