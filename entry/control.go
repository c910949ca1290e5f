package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/controller"
	"github.com/rockcroft/rockcroft/coordination/fence"
	"github.com/rockcroft/rockcroft/coordination/gate"
	"github.com/rockcroft/rockcroft/coordination/lease"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/control"
	"github.com/rockcroft/rockcroft/protocol/peerpb"
	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/transport/platform"
	"github.com/rockcroft/rockcroft/transport/telemetry"
)

// stepInterval is the time between two steps of the controller when no event
// triggers one.
const stepInterval = 50 * time.Millisecond

// commandTimeout bounds one command, in addition to the drain wait.
const commandTimeout = time.Second

// controlLoop runs the deterministic controller core: it passes events to the core,
// one at a time, and executes the commands that the core returns.
type controlLoop struct {
	e     *Entry
	mu    sync.Mutex
	core  *controller.Core
	leads bool
	// term counts how many times this entry has become the controller.
	term    int
	intents intentSet
}

func newControlLoop(e *Entry) *controlLoop {
	return &controlLoop{
		e:    e,
		core: controller.NewCore(e.self, e.limits, e.placer(), e, newID),
	}
}

// dispatch passes one event to the core and executes the resulting commands.
func (c *controlLoop) dispatch(event func(core *controller.Core, now time.Time)) {
	c.mu.Lock()
	event(c.core, c.e.clock())
	c.mu.Unlock()
	c.step()
}

// record passes one event to the core and leaves the resulting commands to the
// next step.
func (c *controlLoop) record(event func(core *controller.Core, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event(c.core, c.e.clock())
}

// step executes the commands that are due. When this entry becomes the controller,
// it discards the intents of its previous term.
func (c *controlLoop) step() {
	c.mu.Lock()
	now := c.e.clock()
	commands := c.core.Step(now)
	leads := c.core.Leads(now)
	changed := leads != c.leads
	c.leads = leads
	if changed && leads {
		c.term++
		c.intents = intentSet{}
		c.core.SetDesired(controller.DesiredState{})
	}
	c.mu.Unlock()
	if changed {
		c.e.log.Info("controller", "leads", leads, "cell", c.e.self.Cell)
	}
	for _, cmd := range commands {
		go c.execute(cmd)
	}
}

// isLeader reports whether this entry runs the controller of its cell.
func (c *controlLoop) isLeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leads
}

// leaders returns the controller of the cell and its successor, as this entry sees
// them.
func (c *controlLoop) leaders() []cell.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.Leaders(c.e.clock())
}

// leaderTerm returns how many times this entry has become the controller, and
// whether it is the controller now.
func (c *controlLoop) leaderTerm() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term, c.leads
}

func (e *Entry) stepLoop(ctx context.Context) {
	e.every(ctx, stepInterval, func(context.Context) {
		e.gate.Refresh()
		e.control.step()
	})
}

func (e *Entry) intentLoop(ctx context.Context) {
	e.every(ctx, reconcileInterval, func(context.Context) { e.control.reconcileIntents() })
}

// every calls f immediately and then once per interval until ctx ends.
func (e *Entry) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *controlLoop) execute(cmd controller.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout+c.e.limits.DrainWait)
	defer cancel()
	switch cmd := cmd.(type) {
	case controller.WriteDocument:
		c.writeDocument(ctx, cmd)
	case controller.Apply:
		result, err := c.e.sendDocument(ctx, cmd)
		c.dispatch(func(core *controller.Core, now time.Time) { core.OnApplied(now, cmd, result, err) })
	case controller.RaiseFence:
		result, err := c.e.sendFence(ctx, cmd)
		c.dispatch(func(core *controller.Core, now time.Time) { core.OnApplied(now, cmd, result, err) })
	case controller.SendGrants:
		err := c.e.sendGrants(ctx, cmd)
		c.dispatch(func(core *controller.Core, now time.Time) { core.OnGranted(now, cmd, err) })
	case controller.SendRevocations:
		err := c.e.sendRevocations(ctx, cmd)
		c.dispatch(func(core *controller.Core, now time.Time) { core.OnRevoked(now, cmd, err) })
	case controller.ResetUpstream:
		boot, err := c.e.resetUpstream(ctx, cmd)
		c.dispatch(func(core *controller.Core, now time.Time) { core.OnReset(now, cmd, boot, err) })
	case controller.RecordExport:
		d, err := c.e.recordExport(ctx, cmd)
		c.dispatch(func(core *controller.Core, now time.Time) { core.OnExportRecorded(now, cmd, d, err) })
	case controller.PublishRoster:
		err := c.e.publishRoster(ctx, cmd)
		c.dispatch(func(core *controller.Core, now time.Time) { core.OnRosterPublished(now, cmd, err) })
	}
}

func (c *controlLoop) writeDocument(ctx context.Context, cmd controller.WriteDocument) {
	version, err := platform.PutWithWriteID(ctx, c.e.store, platform.KindCell, cmd.Doc.Name, cmd.Doc, cmd.Expect)
	if err != nil {
		telemetry.Counter(c.e.registry, "platform.writes_failed").Inc(1)
	}
	if errors.Is(err, platform.ErrConflict) {
		c.e.readOwnCell(ctx)
	}
	if err == nil {
		// Applied here even if this entry is no longer the controller: the
		// other entries then learn of the document from its heartbeats.
		c.e.applyCell(cmd.Doc)
	}
	c.dispatch(func(core *controller.Core, now time.Time) { core.OnWritten(now, cmd, version, err) })
}

// sendDocument applies a cell document at one entry, which may be this one.
func (e *Entry) sendDocument(ctx context.Context, cmd controller.Apply) (controller.ApplyResult, error) {
	if cmd.To.ID == e.self.ID {
		return e.applyAndDrain(ctx, cmd.Doc, cmd.DrainWait), nil
	}
	doc, err := cellToProto(cmd.Doc)
	if err != nil {
		return controller.ApplyResult{}, err
	}
	resp, err := e.peers.Client(cmd.To.Peer).Apply(ctx, &peerpb.ApplyRequest{
		To:          cmd.To.ID,
		Cell:        cmd.Doc.Name,
		Fence:       cmd.Doc.Fence,
		Documents:   []*peerpb.Document{doc},
		DrainWaitMs: cmd.DrainWait.Milliseconds(),
		Sender:      memberToProto(e.self),
	})
	if err != nil {
		return controller.ApplyResult{}, answer.Wrap(answer.Unreachable, err)
	}
	return applyResultFromProto(resp, cmd.Doc.Version), nil
}

// sendFence asks an entry to raise the fence of this cell.
func (e *Entry) sendFence(ctx context.Context, cmd controller.RaiseFence) (controller.ApplyResult, error) {
	resp, err := e.peers.Client(cmd.To.Peer).Apply(ctx, &peerpb.ApplyRequest{
		To: cmd.To.ID, Cell: e.self.Cell, Fence: cmd.Fence,
	})
	if err != nil {
		return controller.ApplyResult{}, answer.Wrap(answer.Unreachable, err)
	}
	return applyResultFromProto(resp, 0), nil
}

func applyResultFromProto(resp *peerpb.ApplyResponse, version uint64) controller.ApplyResult {
	result := controller.ApplyResult{
		Ack: fence.Ack{
			Voter:        resp.Voter,
			Fence:        resp.Fence,
			NonVoterWait: time.Duration(resp.GuestWaitMs) * time.Millisecond,
		},
		Version: version,
	}
	for _, b := range resp.Busy {
		span := keyspace.Span{First: keyspace.Hash(b.First), Last: keyspace.Hash(b.Last)}
		result.Busy = append(result.Busy, gate.BusyRange{Service: b.Service, Span: span})
	}
	for _, l := range resp.Leases {
		result.Leases = append(result.Leases, lease.RemainingLease{
			Upstream:  l.Upstream,
			Remaining: time.Duration(l.RemainingMs) * time.Millisecond,
		})
	}
	return result
}

// applyAndDrain applies a cell document at this entry and waits, for at most the
// given time, until no request is in flight on ranges that the document took away.
func (e *Entry) applyAndDrain(ctx context.Context, doc *cell.Cell, wait time.Duration) controller.ApplyResult {
	e.applyCell(doc)
	const pollInterval = 2 * time.Millisecond
	deadline := e.clock().Add(wait)
	for len(e.gate.BusyRanges()) > 0 && e.clock().Before(deadline) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	return controller.ApplyResult{
		Ack:     e.gate.RaiseFence(e.self.Cell, doc.Fence),
		Version: doc.Version,
		Busy:    e.gate.BusyRanges(),
		Leases:  e.leases.lostLeases(e.clock()),
	}
}

func (e *Entry) sendGrants(ctx context.Context, cmd controller.SendGrants) error {
	u := e.pool.Get(cmd.Upstream.ID)
	if u == nil {
		return answer.New(answer.NotFound, "upstream %s is not known here", cmd.Upstream.ID)
	}
	_, err := u.Grant(ctx, control.Grants{Boot: cmd.Upstream.Boot, Grants: cmd.Grants})
	return err
}

func (e *Entry) sendRevocations(ctx context.Context, cmd controller.SendRevocations) error {
	u := e.pool.Get(cmd.Upstream.ID)
	if u == nil {
		return answer.New(answer.NotFound, "upstream %s is not known here", cmd.Upstream.ID)
	}
	_, err := u.Revoke(ctx, control.Revocations{Revocations: cmd.Revocations})
	return err
}

func (e *Entry) resetUpstream(ctx context.Context, cmd controller.ResetUpstream) (string, error) {
	u := e.pool.Get(cmd.Upstream.ID)
	if u == nil {
		return "", answer.New(answer.NotFound, "upstream %s is not known here", cmd.Upstream.ID)
	}
	status, err := u.Reset(ctx)
	if err != nil {
		return "", err
	}
	return status.Boot, nil
}

// recordExport assigns an exported range to its new cell in the directory. It
// returns the stored directory if the range is no longer assigned to this cell.
func (e *Entry) recordExport(ctx context.Context, cmd controller.RecordExport) (*cell.Directory, error) {
	stored, err := e.store.Get(ctx, platform.KindDirectory, cmd.Service)
	if err != nil {
		return nil, answer.Wrap(answer.PlatformDown, err)
	}
	directory, err := cell.DecodeDirectory(stored.Value)
	if err != nil {
		return nil, err
	}
	segment := directory.Find(cmd.Range.First)
	if segment == nil || segment.Cell != e.self.Cell {
		return directory, nil
	}
	next := directory.Clone()
	next.Version++
	next.WriteID = newID()
	next.Assign(cmd.Range.Span, cmd.Range.NextCell, cmd.Range.Epoch)
	if _, err := platform.PutWithWriteID(ctx, e.store, platform.KindDirectory, next.Service, next, stored.Version); err != nil {
		return nil, answer.Wrap(answer.PlatformDown, err)
	}
	e.addDocument(next)
	return next, nil
}

// publishRoster stores the roster of the cell on the platform unless the stored one
// is at least as new.
func (e *Entry) publishRoster(ctx context.Context, cmd controller.PublishRoster) error {
	r := cmd.Roster
	var expect uint64
	obj, err := e.store.Get(ctx, platform.KindRoster, r.Cell)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return answer.Wrap(answer.PlatformDown, err)
	default:
		known, err := cell.DecodeRoster(obj.Value)
		if err == nil && known.Version >= r.Version {
			e.addDocument(known)
			return nil
		}
		expect = obj.Version
	}
	if _, err := platform.PutWithWriteID(ctx, e.store, platform.KindRoster, r.Cell, r, expect); err != nil {
		return answer.Wrap(answer.PlatformDown, err)
	}
	e.addDocument(&r)
	return nil
}

// ChecksFences implements controller.Services. It returns false for a service whose
// configuration is not known yet.
func (e *Entry) ChecksFences(name string) bool {
	conf := e.docs.Service(name)
	return conf != nil && conf.ChecksFences
}
