package gateway

import (
	"errors"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/evacuation"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file converts between the types of the state packages and the messages between gateways.

// messageCache caches the messages that describe one version of a document at one revision, keyed by the
// version that the receiver has: among a hundred gateways most have the same one. It is safe for
// concurrent use. Cached messages must not be modified.
type messageCache[M any] struct {
	mu sync.Mutex
	// revision is that of the document; zero if it has none besides its version.
	revision, version uint64
	byBase            map[uint64]M
}

// get returns the message for the revision, version and base, building it if it is not cached.
func (c *messageCache[M]) get(revision, version, base uint64, build func() M) M {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision != revision || c.version != version || c.byBase == nil {
		c.revision, c.version, c.byBase = revision, version, make(map[uint64]M)
	}
	m, ok := c.byBase[base]
	if !ok {
		m = build()
		c.byBase[base] = m
	}
	return m
}

// instancesMessage returns the changes of the upstreams since the version base, or all upstreams
// if that version is no longer kept. It returns nil if there is nothing to send.
func (v *view) instancesMessage(base uint64) *syncpb.Instances {
	now, version := v.upstreams()
	if now == nil || version == base {
		return nil
	}
	return v.instancesMessages.get(now.Revision, version, base, func() *syncpb.Instances { return v.buildInstancesMessage(now, version, base) })
}

func (v *view) buildInstancesMessage(now *instances.View, version, base uint64) *syncpb.Instances {
	m := &syncpb.Instances{Revision: now.Revision, Version: version}
	old := v.previousInstances(base)
	if old != nil {
		m.Base = base
	} else {
		old = &instances.View{}
	}
	var list []instances.Instance
	list, m.Removed = instances.Diff(old, now)
	for _, inst := range list {
		m.List = append(m.List, &syncpb.Instance{
			Id: inst.ID, Service: inst.Service, Address: inst.Address, Domain: inst.Domain,
			Slots: uint32(inst.Slots), Leaving: inst.Leaving,
			WarmUpMs: uint32(inst.WarmUp.Milliseconds()), Revision: inst.Revision, BornMs: inst.StartedMs,
		})
	}
	return m
}

var (
	// errBaseNotKept means that a difference applies to a version that is not kept.
	errBaseNotKept = errors.New("the base of the difference is not kept")
	// errOlderUpstreams means that a message describes an older state than the view.
	errOlderUpstreams = errors.New("the message is older than the view")
)

// applyInstances applies a message about upstreams. It returns errBaseNotKept or errOlderUpstreams if
// the message is ignored, and nil also if the view is already of its version.
func (v *view) applyInstances(m *syncpb.Instances) error {
	next, err := v.decodeInstances(m)
	if err != nil || v.setInstances(m.Version, next) {
		return err
	}
	if _, version := v.upstreams(); version != m.Version {
		return errOlderUpstreams
	}
	return nil
}

func (v *view) decodeInstances(m *syncpb.Instances) (*instances.View, error) {
	if m.Base == 0 {
		return instances.NewView(m.Revision, instancesFromMessage(m)), nil
	}
	base := v.previousInstances(m.Base)
	if base == nil {
		return nil, errBaseNotKept
	}
	return base.Apply(m.Revision, instancesFromMessage(m), m.Removed), nil
}

func instancesFromMessage(m *syncpb.Instances) []instances.Instance {
	list := make([]instances.Instance, 0, len(m.List))
	for _, inst := range m.List {
		list = append(list, instances.Instance{
			ID: inst.Id, Service: inst.Service, Address: inst.Address, Domain: inst.Domain,
			Slots: int(inst.Slots), Leaving: inst.Leaving,
			WarmUp: time.Duration(inst.WarmUpMs) * time.Millisecond, Revision: inst.Revision, StartedMs: inst.BornMs,
		})
	}
	return list
}

// evacuationMessages returns the messages for all known evacuations.
func evacuationMessages(set *evacuation.Set) []*syncpb.Evacuation {
	var out []*syncpb.Evacuation
	for _, m := range set.Records() {
		out = append(out, &syncpb.Evacuation{Domain: m.Domain, Revision: m.Revision, Ended: m.Ended})
	}
	return out
}

// evacuationMarks converts messages about evacuations to marks.
func evacuationMarks(list []*syncpb.Evacuation) []evacuation.Record {
	out := make([]evacuation.Record, 0, len(list))
	for _, m := range list {
		out = append(out, evacuation.Record{Domain: m.Domain, Revision: m.Revision, Ended: m.Ended})
	}
	return out
}

// spansMessage returns the changes of a service's key owners since the version base, or the whole
// table if that version is no longer kept.
func (v *view) spansMessage(t *spans.Table, base uint64) *syncpb.Spans {
	return v.spansMessageCache(t.Service).get(0, t.Version, base, func() *syncpb.Spans { return v.buildSpansMessage(t, base) })
}

func (v *view) buildSpansMessage(t *spans.Table, base uint64) *syncpb.Spans {
	m := &syncpb.Spans{Service: t.Service, Version: t.Version, LastFence: t.LastFence}
	list := t.Spans
	if old := v.previousTable(t.Service, base); old != nil {
		m.Base = base
		list = spans.Diff(old, t)
	}
	for _, s := range list {
		m.List = append(m.List, &syncpb.Span{
			First: uint32(s.First), Last: uint32(s.Last),
			Owner: s.Owner, Fence: s.Fence, Next: s.Next, NextFence: s.NextFence, Cold: s.Cold,
			Incarnation: uint32(s.Incarnation),
		})
	}
	return m
}

// applySpans applies a message about a service's key owners. It ignores a difference whose base
// is not kept.
func (v *view) applySpans(m *syncpb.Spans) error {
	t := spansFromMessage(m)
	if m.Base != 0 {
		old := v.previousTable(m.Service, m.Base)
		if old == nil {
			return nil
		}
		whole := old.Overlay(t.Spans)
		whole.Version, whole.LastFence = m.Version, m.LastFence
		t = whole
	}
	if err := t.Validate(); err != nil {
		return err
	}
	v.setSpans(t)
	return nil
}

func spansFromMessage(m *syncpb.Spans) *spans.Table {
	t := &spans.Table{Service: m.Service, Version: m.Version, LastFence: m.LastFence}
	for _, s := range m.List {
		t.Spans = append(t.Spans, spans.Span{
			KeyRange: spans.KeyRange{First: uint16(s.First), Last: uint16(s.Last)},
			Owner:    s.Owner, Fence: s.Fence, Next: s.Next, NextFence: s.NextFence, Cold: s.Cold,
			Incarnation: instances.Incarnation(s.Incarnation),
		})
	}
	return t
}
