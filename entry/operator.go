package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/pprof"
	"slices"
	"time"

	"github.com/gorilla/mux"
	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/coordination/planner"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/operatorpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
	"github.com/rockcroft/rockcroft/transport/peers"
	"github.com/rockcroft/rockcroft/transport/platform"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

// adminHandler serves the operator API, health and readiness checks, metrics and
// profiles.
func (e *Entry) adminHandler() http.Handler {
	r := mux.NewRouter()
	rpc := operatorpb.NewOperatorServer(operator{e})
	r.PathPrefix(rpc.PathPrefix()).Handler(http.MaxBytesHandler(rpc, peers.MaxMessageBytes))
	r.Handle("/metrics", telemetry.Handler(e.registry)).Methods(http.MethodGet)
	r.HandleFunc("/health", func(http.ResponseWriter, *http.Request) {}).Methods(http.MethodGet)
	r.HandleFunc("/ready", e.serveReady).Methods(http.MethodGet)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	r.HandleFunc("/debug/pprof/heap", pprof.Handler("heap").ServeHTTP)
	return r
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !e.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
	}
}

// operator implements operatorpb.Operator.
type operator struct{ e *Entry }

// twirpError converts an error to a Twirp error that carries the error's kind in
// its metadata.
func twirpError(err error) error {
	if err == nil {
		return nil
	}
	kind := answer.KindOf(err)
	code := twirp.Internal
	switch kind {
	case answer.BadRequest:
		code = twirp.InvalidArgument
	case answer.NotFound, answer.UnknownService:
		code = twirp.NotFound
	case answer.Conflict, answer.StalePlan:
		code = twirp.FailedPrecondition
	case answer.PlatformDown:
		code = twirp.Unavailable
	}
	return twirp.NewError(code, err.Error()).WithMeta("kind", string(kind))
}

// platformError wraps an error of the platform's store with its kind.
func platformError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, platform.ErrNotFound):
		return answer.Wrap(answer.NotFound, err)
	case errors.Is(err, platform.ErrConflict):
		return answer.Wrap(answer.Conflict, err)
	}
	return answer.Wrap(answer.PlatformDown, err)
}

// planView reads the state from which plans are computed.
func (e *Entry) planView(ctx context.Context) (planner.View, error) {
	v := planner.View{
		Cells:       make(map[string]*cell.Cell),
		Directories: make(map[string]*cell.Directory),
		Services:    make(map[string]*service.Config),
		Rate: func(name string, span keyspace.Span) float64 {
			e.control.mu.Lock()
			defer e.control.mu.Unlock()
			return e.loads.Rate(name, span)
		},
	}
	cells, err := e.store.List(ctx, platform.KindCell)
	if err != nil {
		return v, platformError(err)
	}
	for _, obj := range cells.Objects {
		if c, err := cell.Decode(obj.Value); err == nil {
			v.Cells[c.Name] = c
		}
	}
	directories, err := e.store.List(ctx, platform.KindDirectory)
	if err != nil {
		return v, platformError(err)
	}
	for _, obj := range directories.Objects {
		if d, err := cell.DecodeDirectory(obj.Value); err == nil {
			v.Directories[d.Service] = d
		}
	}
	services, err := e.store.List(ctx, platform.KindService)
	if err != nil {
		return v, platformError(err)
	}
	for _, obj := range services.Objects {
		if c, err := service.Decode(obj.Value); err == nil {
			v.Services[c.Name] = c
		}
	}
	return v, nil
}

// CreateIntent implements operatorpb.Operator.
func (o operator) CreateIntent(ctx context.Context, req *operatorpb.CreateIntentRequest) (*operatorpb.IntentResponse, error) {
	var spec intent.Spec
	if err := json.Unmarshal(req.Spec, &spec); err != nil {
		return nil, twirpError(answer.Wrap(answer.BadRequest, err))
	}
	if diagnostics := spec.Check(); len(diagnostics) > 0 {
		return nil, twirpError(answer.New(answer.BadRequest, "%s", diagnostics[0].String()))
	}
	view, err := o.e.planView(ctx)
	if err != nil {
		return nil, twirpError(err)
	}
	plan, err := planner.Plan(spec, view)
	if err != nil {
		return nil, twirpError(err)
	}
	i := &intent.Intent{
		ID:       "i-" + newID()[:10],
		WriteID:  newID(),
		Created:  o.e.clock().UTC(),
		Operator: req.By,
		State:    intent.Planned,
		Spec:     spec,
		Plan:     plan,
	}
	if _, err := platform.PutWithWriteID(ctx, o.e.store, platform.KindIntent, i.ID, i, 0); err != nil {
		return nil, twirpError(platformError(err))
	}
	o.e.log.Info("intent created", "intent", i.ID, "kind", spec.Kind, "by", req.By)
	return &operatorpb.IntentResponse{Intent: encodeJSON(i)}, nil
}

func (o operator) loadIntent(ctx context.Context, id string) (storedIntent, error) {
	obj, err := o.e.store.Get(ctx, platform.KindIntent, id)
	if err != nil {
		return storedIntent{}, platformError(err)
	}
	i, err := intent.Decode(obj.Value)
	return storedIntent{i, obj.Version}, err
}

// ConfirmIntent implements operatorpb.Operator. It is idempotent.
func (o operator) ConfirmIntent(ctx context.Context, req *operatorpb.IntentRequest) (*operatorpb.IntentResponse, error) {
	s, err := o.loadIntent(ctx, req.Id)
	if err != nil {
		return nil, twirpError(err)
	}
	i := s.intent
	switch i.State {
	case intent.Confirmed, intent.Done:
		return &operatorpb.IntentResponse{Intent: encodeJSON(i)}, nil
	case intent.Cancelled:
		return nil, twirpError(answer.New(answer.Conflict, "intent %s is cancelled", i.ID))
	}
	if err := o.replan(ctx, s); err != nil {
		return nil, twirpError(err)
	}
	if err := o.e.writePlannedDocuments(ctx, i); err != nil {
		return nil, twirpError(err)
	}
	i.State = intent.Confirmed
	if len(i.Cells()) == 0 {
		i.State = intent.Done
	}
	i.WriteID = newID()
	if _, err := platform.PutWithWriteID(ctx, o.e.store, platform.KindIntent, i.ID, i, s.version); err != nil {
		return nil, twirpError(platformError(err))
	}
	o.e.log.Info("intent confirmed", "intent", i.ID, "kind", i.Spec.Kind, "by", req.By)
	return &operatorpb.IntentResponse{Intent: encodeJSON(i)}, nil
}

// replan computes the plan of an intent again. If its steps have changed, replan
// stores the new plan for the operator to review and returns an error.
func (o operator) replan(ctx context.Context, s storedIntent) error {
	view, err := o.e.planView(ctx)
	if err != nil {
		return err
	}
	plan, err := planner.Plan(s.intent.Spec, view)
	if err != nil {
		return err
	}
	if slices.Equal(plan.Steps, s.intent.Plan.Steps) {
		s.intent.Plan.Basis = plan.Basis
		return nil
	}
	old := s.intent.Plan
	s.intent.Plan = plan
	s.intent.WriteID = newID()
	if _, err := platform.PutWithWriteID(ctx, o.e.store, platform.KindIntent, s.intent.ID, s.intent, s.version); err != nil {
		return platformError(err)
	}
	return answer.New(answer.StalePlan, "%s; the new plan has %d steps instead of %d: look at it and confirm again",
		changedBasis(old.Basis, plan.Basis), len(plan.Steps), len(old.Steps))
}

// changedBasis describes the first document found to have changed between two plans.
func changedBasis(old, current []intent.BasisDocument) string {
	for _, b := range current {
		for _, a := range old {
			if a.Kind == b.Kind && a.Name == b.Name && a.Version != b.Version {
				return b.Kind + " " + b.Name + " has changed"
			}
		}
	}
	return "the state has changed"
}

// CancelIntent implements operatorpb.Operator.
func (o operator) CancelIntent(ctx context.Context, req *operatorpb.IntentRequest) (*operatorpb.IntentResponse, error) {
	s, err := o.loadIntent(ctx, req.Id)
	if err != nil {
		return nil, twirpError(err)
	}
	i := s.intent
	if i.State == intent.Confirmed || i.State == intent.Done {
		return nil, twirpError(answer.New(answer.Conflict, "intent %s is %s already", i.ID, i.State))
	}
	i.State = intent.Cancelled
	i.WriteID = newID()
	if _, err := platform.PutWithWriteID(ctx, o.e.store, platform.KindIntent, i.ID, i, s.version); err != nil {
		return nil, twirpError(platformError(err))
	}
	return &operatorpb.IntentResponse{Intent: encodeJSON(i)}, nil
}

// GetIntent implements operatorpb.Operator.
func (o operator) GetIntent(ctx context.Context, req *operatorpb.IntentRequest) (*operatorpb.IntentResponse, error) {
	s, err := o.loadIntent(ctx, req.Id)
	if err != nil {
		return nil, twirpError(err)
	}
	return &operatorpb.IntentResponse{Intent: encodeJSON(s.intent)}, nil
}

// ListIntents implements operatorpb.Operator.
func (o operator) ListIntents(ctx context.Context, req *operatorpb.ListIntentsRequest) (*operatorpb.ListIntentsResponse, error) {
	list, err := o.e.listIntents(ctx)
	if err != nil {
		return nil, twirpError(platformError(err))
	}
	resp := &operatorpb.ListIntentsResponse{}
	for _, s := range list {
		if req.State == "" || string(s.intent.State) == req.State {
			resp.Intents = append(resp.Intents, encodeJSON(s.intent))
		}
	}
	return resp, nil
}

// writePlannedDocuments writes the shared documents that the plan of an intent
// changes. If the response to a write is lost, platform.PutWithWriteID finds the write done.
func (e *Entry) writePlannedDocuments(ctx context.Context, i *intent.Intent) error {
	for _, s := range i.Plan.Steps {
		var err error
		switch s.Action {
		case planner.ActionConfigure:
			err = e.writeConfiguration(ctx, i.Spec.Service)
		case planner.ActionDirect:
			if i.Spec.Kind != intent.CreateService {
				err = e.reassignSpan(ctx, s)
			}
		}
		if err != nil {
			return err
		}
	}
	if i.Spec.Kind == intent.CreateService {
		return e.createDirectory(ctx, i.Spec.Service.Name, i.Plan.Steps)
	}
	return nil
}

// createDirectory writes the first directory of a service in a single write. A cell
// grants a span as soon as the directory assigns it to that cell, so no span may be
// assigned to one cell first and to another cell by a later write.
func (e *Entry) createDirectory(ctx context.Context, name string, steps []intent.Step) error {
	d := &cell.Directory{Service: name, Version: 1, WriteID: newID()}
	for _, s := range steps {
		if s.Action == planner.ActionDirect {
			d.Segments = append(d.Segments, cell.Segment{Span: s.Span, Cell: s.ToCell})
		}
	}
	if err := d.Validate(); err != nil {
		return answer.Wrap(answer.Internal, err)
	}
	_, err := platform.PutWithWriteID(ctx, e.store, platform.KindDirectory, name, d, 0)
	if errors.Is(err, platform.ErrConflict) {
		// An earlier attempt to confirm the intent wrote it.
		return nil
	}
	if err != nil {
		return platformError(err)
	}
	e.addDocument(d)
	return nil
}

// writeConfiguration stores the next version of a service's configuration.
func (e *Entry) writeConfiguration(ctx context.Context, conf *service.Config) error {
	next := *conf
	next.Version = 1
	next.WriteID = newID()
	obj, err := e.store.Get(ctx, platform.KindService, conf.Name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return platformError(err)
	default:
		known, err := service.Decode(obj.Value)
		if err != nil {
			return err
		}
		next.Version = known.Version + 1
	}
	if _, err := platform.PutWithWriteID(ctx, e.store, platform.KindService, next.Name, &next, obj.Version); err != nil {
		return platformError(err)
	}
	e.addDocument(&next)
	return nil
}

// reassignSpan assigns a span of the directory to another cell.
func (e *Entry) reassignSpan(ctx context.Context, s intent.Step) error {
	obj, err := e.store.Get(ctx, platform.KindDirectory, s.Service)
	if err != nil {
		return platformError(err)
	}
	known, err := cell.DecodeDirectory(obj.Value)
	if err != nil {
		return err
	}
	epoch, err := e.epochAboveGrants(ctx, s)
	if err != nil {
		return err
	}
	next := known.Clone()
	next.Assign(s.Span, s.ToCell, epoch)
	next.Version++
	next.WriteID = newID()
	if _, err := platform.PutWithWriteID(ctx, e.store, platform.KindDirectory, next.Service, next, obj.Version); err != nil {
		return platformError(err)
	}
	e.addDocument(next)
	return nil
}

// epochAboveGrants returns an epoch above every epoch that the cell losing the span
// may have granted. That cell may have reserved grants one epoch above the one in
// its document, so the result is two above it.
func (e *Entry) epochAboveGrants(ctx context.Context, s intent.Step) (uint64, error) {
	obj, err := e.store.Get(ctx, platform.KindCell, s.From)
	if err != nil {
		return 0, platformError(err)
	}
	c, err := cell.Decode(obj.Value)
	if err != nil {
		return 0, err
	}
	var epoch uint64
	for _, r := range rangesOverlapping(c, s) {
		epoch = max(epoch, r.Epoch+2)
	}
	return epoch, nil
}

// statusTimeout bounds the State call to one other entry.
const statusTimeout = 300 * time.Millisecond
