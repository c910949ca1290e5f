package gateway

import (
	"math"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file reports the requests for keys with their work, from which the leader balances the owners.

// maxWorkPercent bounds the reported work of a request. It is that of a route's factor, so that a wrong
// message cannot make a key look hot by itself.
const maxWorkPercent = 500

// keyRequest is one request for a key.
type keyRequest struct {
	key uint16
	// work is that of the request's route, as a factor of the service's mean.
	work float64
}

// encodeKeys returns the message about requests for keys. The work is left out if all have the mean.
func encodeKeys(service string, requests []keyRequest) *syncpb.KeyCounts {
	m := &syncpb.KeyCounts{Service: service, Keys: make([]uint32, 0, len(requests))}
	work, differs := make([]uint32, 0, len(requests)), false
	for _, r := range requests {
		percent := uint32(math.Round(100 * r.work))
		m.Keys, work = append(m.Keys, uint32(r.key)), append(work, percent)
		differs = differs || percent != 100
	}
	if differs {
		m.Work = work
	}
	return m
}

// decodeKeys returns the requests in a message. Those without work have the mean.
func decodeKeys(m *syncpb.KeyCounts) []keyRequest {
	out := make([]keyRequest, 0, len(m.Keys))
	for i, key := range m.Keys {
		r := keyRequest{key: uint16(min(key, spans.MaxKey)), work: 1}
		if len(m.Work) == len(m.Keys) {
			r.work = float64(min(m.Work[i], maxWorkPercent)) / 100
		}
		out = append(out, r)
	}
	return out
}
