package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/spans"
)

// This file translates between the types of package state and the messages
// between gateways.

func instancesMessage(v *instances.View, version uint64) *syncpb.Instances {
	m := &syncpb.Instances{Revision: v.Revision, Version: version}
	for _, one := range v.All() {
		m.List = append(m.List, &syncpb.Instance{
			Id: one.ID, Service: one.Service, Address: one.Address, Domain: one.Domain,
			Slots: uint32(one.Slots), Leaving: one.Leaving,
			WarmUpMs: uint32(one.WarmUp.Milliseconds()), Revision: one.Revision,
		})
	}
	return m
}

func instancesView(m *syncpb.Instances) *instances.View {
	list := make([]instances.Instance, 0, len(m.List))
	for _, one := range m.List {
		list = append(list, instances.Instance{
			ID: one.Id, Service: one.Service, Address: one.Address, Domain: one.Domain,
			Slots: int(one.Slots), Leaving: one.Leaving,
			WarmUp: time.Duration(one.WarmUpMs) * time.Millisecond, Revision: one.Revision,
		})
	}
	return instances.NewView(m.Revision, list)
}

func spansMessage(t *spans.Table) *syncpb.Spans {
	m := &syncpb.Spans{Service: t.Service, Version: t.Version, LastFence: t.LastFence}
	for _, s := range t.Spans {
		m.List = append(m.List, &syncpb.Span{
			First: uint32(s.First), Last: uint32(s.Last),
			Owner: s.Owner, Fence: s.Fence, Next: s.Next, NextFence: s.NextFence,
		})
	}
	return m
}

func spansTable(m *syncpb.Spans) *spans.Table {
	t := &spans.Table{Service: m.Service, Version: m.Version, LastFence: m.LastFence}
	for _, s := range m.List {
		t.Spans = append(t.Spans, spans.Span{
			Keys:  spans.Keys{First: uint16(s.First), Last: uint16(s.Last)},
			Owner: s.Owner, Fence: s.Fence, Next: s.Next, NextFence: s.NextFence,
		})
	}
	return t
}
