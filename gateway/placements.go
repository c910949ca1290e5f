package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/coordination/ownership"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
	"github.com/rockcroft/rockcroft/state/placement"
	"github.com/rockcroft/rockcroft/state/spans"
)

// placementsKind is the store kind of operators' placement intents.
const placementsKind = "rockcroft-placements"

// placements holds the operators' placement intents. Only the leader writes them; it reads
// them when it becomes the leader.
type placements struct {
	store       *platform.Store
	assignments *assignmentSupervisor
	elector     *leaderElector
	cluster     *cluster
	evac        *evacuations
	// suspects are requests suspected of crashing upstreams.
	suspects *suspects
	// unread are response headers that no code reads.
	unread *unreadHeaders
	// watches records when this gateway last heard from the store.
	watches *watchAges
	now     func() time.Time
	log     *slog.Logger

	mu      sync.Mutex
	loaded  bool
	intents map[string]*storedIntent
}

// storedIntent is an intent with its revision in the store.
type storedIntent struct {
	placement.Intent
	revision uint64
}

// load reads all intents, retrying until that succeeds or ctx ends.
func (p *placements) load(ctx context.Context) {
	for backoff := initialBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		objects, _, err := p.store.List(ctx, placementsKind, platform.Newest)
		if err == nil {
			p.adopt(objects)
			return
		}
		pause(ctx, backoff)
	}
}

func (p *placements) adopt(objects []platform.Object) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.intents = make(map[string]*storedIntent, len(objects))
	for _, o := range objects {
		s := &storedIntent{revision: o.Revision}
		if err := platform.Decode(o, &s.Intent); err != nil || s.Validate() != nil {
			p.log.Error("intent could not be decoded and is ignored", "intent", o.Name, "error", err)
			continue
		}
		p.intents[s.ID] = s
	}
	p.loaded = true
}

// unload drops the loaded intents when this process no longer leads.
func (p *placements) unload() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.intents, p.loaded = nil, false
}

// drained returns the upstreams that operators are draining.
func (p *placements) drained() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool)
	for _, s := range p.intents {
		if s.Kind == placement.Drain && s.State == placement.Confirmed {
			out[s.Upstream] = true
		}
	}
	return out
}

// pins returns where operators want keys of a service to be, ordered by intent ID.
func (p *placements) pins(service string) []ownership.Pin {
	p.mu.Lock()
	defer p.mu.Unlock()
	var ids []string
	for id, s := range p.intents {
		if s.Kind == placement.Pin && s.State == placement.Confirmed && s.Service == service {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	var out []ownership.Pin
	for _, id := range ids {
		out = append(out, ownership.Pin{KeyRange: p.intents[id].Keys, Owner: p.intents[id].Upstream})
	}
	return out
}

// leaderClient returns a client of the leading gateway, or nil when this process leads.
func (p *placements) leaderClient() (placementpb.Placement, error) {
	if p.elector.mayAct() && p.cluster.isLeading() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.loaded {
			return nil, rpcError(answer.PlatformDown, "the intents are not read yet")
		}
		return nil, nil
	}
	l := p.cluster.knownLeader()
	if l == nil || l.Member.Address == p.cluster.self.Address {
		return nil, rpcError(answer.NoRight, "no gateway leads at the moment")
	}
	return placementpb.NewPlacementProtobufClient("http://"+l.Member.Address, p.cluster.http), nil
}

// rpcError returns a Twirp error that carries the kind of the answer.
func rpcError(kind answer.Kind, message string) twirp.Error {
	code := twirp.FailedPrecondition
	switch kind {
	case answer.NotFound:
		code = twirp.NotFound
	case answer.BadRequest:
		code = twirp.InvalidArgument
	case answer.PlatformDown, answer.NoRight:
		code = twirp.Unavailable
	}
	return twirp.NewError(code, message).WithMeta("kind", string(kind))
}

// State implements placementpb.Placement.
func (p *placements) State(ctx context.Context, r *placementpb.Intent) (*placementpb.Intent, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.State)
	}
	i := placement.Intent{
		ID: incarnation(), Kind: placement.Kind(r.Kind), Service: r.Service, Upstream: r.Upstream, Operator: r.By,
		Keys: spans.KeyRange{First: uint16(min(r.First, spans.MaxKey)), Last: uint16(min(r.Last, spans.MaxKey))}, State: placement.Planned,
	}
	if err := i.Validate(); err != nil {
		return nil, rpcError(answer.BadRequest, err.Error())
	}
	plan, err := p.plan(i)
	if err != nil {
		return nil, err
	}
	i.Plan = plan
	object, err := p.store.Create(ctx, placementsKind, i.ID, i)
	if err != nil {
		return nil, rpcError(answer.PlatformDown, err.Error())
	}
	return p.recordIntent(i, object.Revision), nil
}

// forwardToLeader makes a call to the leader, or returns err if that is set.
func forwardToLeader[T, R any](ctx context.Context, err error, r T, other placementpb.Placement, call func(placementpb.Placement, context.Context, T) (R, error)) (R, error) {
	if err != nil {
		var none R
		return none, err
	}
	return call(other, ctx, r)
}

// plan computes the moves that an intent would cause now.
func (p *placements) plan(i placement.Intent) ([]placement.Step, error) {
	v := p.assignments.view.inst.Load()
	if v == nil || v.Get(i.Upstream) == nil || v.Get(i.Upstream).Service != i.Service {
		return nil, rpcError(answer.NotFound, "service "+i.Service+" has no upstream "+i.Upstream)
	}
	k := p.assignments.assigner(i.Service)
	if k == nil {
		if i.Kind == placement.Pin {
			return nil, rpcError(answer.BadRequest, "service "+i.Service+" has no keys")
		}
		return nil, nil
	}
	return k.preview(i), nil
}

// recordIntent records an intent as it is stored.
func (p *placements) recordIntent(i placement.Intent, revision uint64) *placementpb.Intent {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.intents[i.ID] = &storedIntent{Intent: i, revision: revision}
	p.log.Info("intent", "intent", i.ID, "kind", i.Kind, "state", i.State, "service", i.Service, "upstream", i.Upstream, "moves", len(i.Plan), "by", i.Operator)
	return intentMessage(i)
}

// Confirm implements placementpb.Placement.
func (p *placements) Confirm(ctx context.Context, r *placementpb.Reference) (*placementpb.Intent, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.Confirm)
	}
	s, err := p.get(r.Id)
	if err != nil {
		return nil, err
	}
	if s.State != placement.Planned {
		return nil, rpcError(answer.Conflict, "the intent is "+string(s.State))
	}
	plan, err := p.plan(s.Intent)
	if err != nil {
		return nil, err
	}
	stale := !placement.SamePlan(plan, s.Plan)
	s.Plan = plan
	if !stale {
		s.State = placement.Confirmed
	}
	m, err := p.replace(ctx, s)
	if err == nil && stale {
		return nil, rpcError(answer.StalePlan, "the plan has changed; look at the new one and confirm that")
	}
	return m, err
}

// Cancel implements placementpb.Placement.
func (p *placements) Cancel(ctx context.Context, r *placementpb.Reference) (*placementpb.Intent, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.Cancel)
	}
	s, err := p.get(r.Id)
	if err != nil {
		return nil, err
	}
	s.State = placement.Cancelled
	return p.replace(ctx, s)
}

func (p *placements) get(id string) (storedIntent, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.intents[id]
	if s == nil {
		return storedIntent{}, rpcError(answer.NotFound, "no intent "+id)
	}
	return *s, nil
}

// replace stores a changed intent. If two operators change it concurrently, one is refused.
func (p *placements) replace(ctx context.Context, s storedIntent) (*placementpb.Intent, error) {
	object, err := p.store.Replace(ctx, placementsKind, s.ID, s.revision, s.Intent)
	if errors.Is(err, platform.ErrConflict) {
		return nil, rpcError(answer.Conflict, "the intent was changed by someone else")
	}
	if err != nil {
		return nil, rpcError(answer.PlatformDown, err.Error())
	}
	return p.recordIntent(s.Intent, object.Revision), nil
}

// List implements placementpb.Placement.
func (p *placements) List(ctx context.Context, r *placementpb.ListRequest) (*placementpb.Intents, error) {
	if other, err := p.leaderClient(); err != nil || other != nil {
		return forwardToLeader(ctx, err, r, other, placementpb.Placement.List)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	out := &placementpb.Intents{}
	for _, s := range p.intents {
		out.List = append(out.List, intentMessage(s.Intent))
	}
	sort.Slice(out.List, func(i, j int) bool { return out.List[i].Id < out.List[j].Id })
	return out, nil
}

func intentMessage(i placement.Intent) *placementpb.Intent {
	m := &placementpb.Intent{
		Id: i.ID, Kind: string(i.Kind), Service: i.Service, Upstream: i.Upstream,
		First: uint32(i.Keys.First), Last: uint32(i.Keys.Last), State: string(i.State), By: i.Operator,
	}
	for _, s := range i.Plan {
		m.Plan = append(m.Plan, &placementpb.Step{First: uint32(s.First), Last: uint32(s.Last), From: s.From, To: s.To})
	}
	return m
}

// preview returns the moves that an intent would cause now.
func (k *keyAssigner) preview(i placement.Intent) []placement.Step {
	owners := k.candidates()
	in := ownership.PlanInput{Pins: k.assignmentSupervisor.placements.pins(k.service), Owners: owners}
	switch i.Kind {
	case placement.Pin:
		in.Pins = append(in.Pins, ownership.Pin{KeyRange: i.Keys, Owner: i.Upstream})
	case placement.Drain:
		for n := range owners {
			if owners[n].ID == i.Upstream {
				owners[n].MayKeep, owners[n].Usable = false, false
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.table == nil {
		return nil
	}
	in.Table = k.table
	next := ownership.MakePlan(in)
	if next == nil {
		return nil
	}
	var out []placement.Step
	for _, s := range next.Spans {
		if s.Moving() && !k.table.Find(s.First).Moving() {
			out = append(out, placement.Step{KeyRange: s.KeyRange, From: s.Owner, To: s.Next})
		}
	}
	return out
}
