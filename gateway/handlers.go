package gateway

import (
	"net/http"

	"github.com/gorilla/mux"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// The handlers of this file serve the load balancer, the other gateways and operators.

// ready reports whether the load balancer should send callers to this gateway.
func (g *Gateway) ready() bool {
	table := g.view.table.Load()
	if g.draining.Load() || table == nil || g.view.inst.Load() == nil {
		return false
	}
	for name, s := range table.Services {
		if s.Keyed && g.view.spansOf(name) == nil {
			return false
		}
	}
	return true
}

func (g *Gateway) readyHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}).Methods(http.MethodGet)
	return r
}

// metricsHandler serves the metrics as text.
func (g *Gateway) metricsHandler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		g.updateGauges()
		g.meters.write(w)
	}).Methods(http.MethodGet)
	return r
}

func (g *Gateway) peerHandler() http.Handler {
	server := &peerServer{
		view: g.view, cluster: g.cluster, store: g.storeCalls, assignments: g.assignments, traffic: g.traffic,
		promises: g.elector.promises, follower: g.follower, watcher: g.watcher,
		parts: &partCache{}, log: g.log, validator: g.follower.validator, evac: g.follower.evac, limits: g.limits, suspects: g.suspects, quotas: g.quotas,
	}
	r := mux.NewRouter()
	r.PathPrefix(syncpb.PeerPathPrefix).Handler(syncpb.NewPeerServer(server))
	r.PathPrefix(placementpb.PlacementPathPrefix).Handler(placementpb.NewPlacementServer(g.assignments.placements))
	messages := g.peerMessages.limitRequests(r)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get(header.Hops) != "" {
			g.proxy.serveForwarded(w, req)
			return
		}
		messages.ServeHTTP(w, req)
	})
}
