package upstream

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/protocol/header"
)

// This file serves the control, health, fault and counter endpoints.

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Server) writeStatus(w http.ResponseWriter) {
	status := s.owner.Status()
	status.Running = int(s.running.Load())
	status.Waiting = int(s.waiting.Load())
	writeJSON(w, status)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var g control.Grants
	if !decode(w, r, &g) {
		return
	}
	s.waitWhileFrozen()
	if !s.owner.Grant(g) {
		refuse(w, http.StatusConflict, header.RefusedNotOwner)
		return
	}
	s.writeStatus(w)
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	var list control.Revocations
	if !decode(w, r, &list) {
		return
	}
	s.waitWhileFrozen()
	s.owner.Revoke(list.Revocations)
	for s.hasRunningIn(list.Revocations) && r.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	s.writeStatus(w)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	var renewal control.Renewal
	if !decode(w, r, &renewal) {
		return
	}
	s.waitWhileFrozen()
	s.owner.Renew(renewal)
	s.updateCounts(func(c *Counts) { c.Probes++ })
	s.writeStatus(w)
}

func (s *Server) reset(w http.ResponseWriter, _ *http.Request) {
	s.waitWhileFrozen()
	s.owner.Reset()
	s.writeStatus(w)
}

func (s *Server) postLeave(w http.ResponseWriter, _ *http.Request) {
	s.owner.announceLeave()
	s.writeStatus(w)
}

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	s.waitWhileFrozen()
	s.mu.Lock()
	reportUnhealthy := s.faults.ReportUnhealthy
	s.mu.Unlock()
	if reportUnhealthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decode(w, r, &f) {
		s.SetFaults(f)
		writeJSON(w, f)
	}
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) }

func (s *Server) getOracle(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.oracle.snapshot()) }
