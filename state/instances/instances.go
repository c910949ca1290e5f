// Package instances is the view of the upstreams that registered themselves.
package instances

import (
	"maps"
	"slices"
	"sort"
	"sync"
	"time"
)

// Instance is one incarnation of an upstream.
type Instance struct {
	// ID is that of the upstream. It may start again under it.
	ID string
	// BornMs is the Unix millisecond of its start, by its own clock; zero when it does not
	// say: then each start has an ID of its own.
	StartedMs uint64
	Service   string
	Address   string
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
	// ids are in order, positions those of the IDs therein; made when they are asked for.
	once      sync.Once
	ids       []string
	positions map[string]int
}

// NewView returns the view of the instances.
func NewView(revision uint64, list []Instance) *View { return (&View{}).next(revision, list) }

// next returns the view of the instances that follows this one. What has not changed is
// shared: a gateway keeps dozens of versions of a view of a thousand upstreams.
func (v *View) next(revision uint64, list []Instance) *View {
	next := &View{Revision: revision, byID: make(map[string]*Instance, len(list))}
	for i := range list {
		next.putShared(v.byID[list[i].ID], &list[i])
	}
	next.groupByService()
	return next
}

// put adds an instance as it is now; kept is as it was in another view, or nil.
func (v *View) putShared(kept, now *Instance) {
	if kept == nil || *kept != *now {
		changed := *now
		kept = &changed
	}
	v.byID[now.ID] = kept
}

// group lists the instances by service, in the order of their IDs.
func (v *View) groupByService() {
	v.services = make(map[string][]*Instance)
	for _, one := range v.byID {
		v.services[one.Service] = append(v.services[one.Service], one)
	}
	for _, group := range v.services {
		sort.Slice(group, func(i, j int) bool { return group[i].ID < group[j].ID })
	}
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

// IDs returns the IDs of all instances in order. They are not to be changed.
func (v *View) IDs() []string {
	v.indexIDs()
	return v.ids
}

// Position returns the place of an ID in IDs.
func (v *View) Position(id string) (int, bool) {
	v.indexIDs()
	i, ok := v.positions[id]
	return i, ok
}

func (v *View) indexIDs() {
	v.once.Do(func() {
		v.ids = slices.Sorted(maps.Keys(v.byID))
		v.positions = make(map[string]int, len(v.ids))
		for i, id := range v.ids {
			v.positions[id] = i
		}
	})
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
	next := &View{Revision: revision, byID: maps.Clone(v.byID)}
	if next.byID == nil {
		next.byID = make(map[string]*Instance, len(changed))
	}
	for i := range changed {
		next.putShared(v.byID[changed[i].ID], &changed[i])
	}
	for _, id := range removed {
		delete(next.byID, id)
	}
	next.groupByService()
	return next
}
