// Package instances is the view of the upstreams that registered themselves.
package instances

import (
	"sort"
	"time"
)

// Instance is one incarnation of an upstream.
type Instance struct {
	// ID is that of the upstream. It may start again under it.
	ID string
	// BornMs is the Unix millisecond of its start, by its own clock; zero when it does not
	// say: then each start has an ID of its own.
	BornMs  uint64
	Service string
	Address string
	// Domain is the failure domain.
	Domain string
	// Slots is how many requests it runs at once.
	Slots int
	// Leaving says that it announced its end or that its entry is gone.
	Leaving bool
	// WarmUp is how much longer it was slow when it registered.
	WarmUp time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
}

// View is what is known of all upstreams. It is immutable once shared.
type View struct {
	// Revision is the store's revision up to which the view is complete.
	Revision uint64
	byID     map[string]*Instance
	services map[string][]*Instance
}

// NewView returns the view of the instances.
func NewView(revision uint64, list []Instance) *View {
	v := &View{Revision: revision, byID: make(map[string]*Instance), services: make(map[string][]*Instance)}
	for i := range list {
		one := &list[i]
		v.byID[one.ID] = one
		v.services[one.Service] = append(v.services[one.Service], one)
	}
	for _, group := range v.services {
		sort.Slice(group, func(i, j int) bool { return group[i].ID < group[j].ID })
	}
	return v
}

// Get returns the instance of the ID, or nil.
func (v *View) Get(id string) *Instance { return v.byID[id] }

// Service returns the instances of a service, in the order of their IDs.
func (v *View) Service(name string) []*Instance { return v.services[name] }

// Services returns the names of all services that have instances.
func (v *View) Services() []string {
	out := make([]string, 0, len(v.services))
	for name := range v.services {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// Len returns the number of instances.
func (v *View) Len() int { return len(v.byID) }

// All returns all instances, in no order.
func (v *View) All() []Instance {
	out := make([]Instance, 0, len(v.byID))
	for _, one := range v.byID {
		out = append(out, *one)
	}
	return out
}

// Diff returns what changes the old view into the new one.
func Diff(old, next *View) (changed []Instance, removed []string) {
	for id, one := range next.byID {
		if was := old.byID[id]; was == nil || *was != *one {
			changed = append(changed, *one)
		}
	}
	for id := range old.byID {
		if next.byID[id] == nil {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// Apply returns the view with changes made to it.
func (v *View) Apply(revision uint64, changed []Instance, removed []string) *View {
	list := make(map[string]Instance, len(v.byID)+len(changed))
	for id, one := range v.byID {
		list[id] = *one
	}
	for _, one := range changed {
		list[one.ID] = one
	}
	for _, id := range removed {
		delete(list, id)
	}
	all := make([]Instance, 0, len(list))
	for _, one := range list {
		all = append(all, one)
	}
	return NewView(revision, all)
}
