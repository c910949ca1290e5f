// Package instances holds the view of the upstreams that have registered themselves.
package instances

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Instance is one incarnation of an upstream.
type Instance struct {
	// ID identifies the upstream. A restarted upstream may keep its ID.
	ID string
	// StartedMs is the Unix time in milliseconds at which the upstream started, by its own clock.
	// It is zero if the upstream does not report it; each start then has an ID of its own.
	StartedMs uint64
	Service   string
	Address   string
	// Domain is the failure domain.
	Domain string
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Leaving is set if the upstream announced its shutdown or its entry was removed.
	Leaving bool
	// WarmUp is the remaining warm-up time at registration, during which the upstream is slow.
	WarmUp time.Duration
	// Revision is the store's revision of the entry.
	Revision uint64
}

// View is the set of all known upstreams. It must not be modified once it is shared. Views of
// successive versions share the instances that have not changed.
type View struct {
	// Revision is the store revision up to which the view is complete, removed entries included.
	Revision uint64
	// digest is the digest of all instances.
	digest uint64
	// all is in ascending order of the IDs.
	all []*Instance
	// services is built on first use.
	services atomic.Pointer[map[string][]*Instance]
}

// NewView returns the view of the given instances.
func NewView(revision uint64, list []Instance) *View { return (&View{}).next(revision, list) }

// next returns the successor of this view with the given instances.
func (v *View) next(revision uint64, list []Instance) *View {
	next := &View{Revision: revision, all: make([]*Instance, 0, len(list))}
	for i := range list {
		next.all = append(next.all, v.shared(&list[i]))
	}
	slices.SortFunc(next.all, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
	next.all = slices.CompactFunc(next.all, func(a, b *Instance) bool { return a.ID == b.ID })
	next.digest = digestOf(next.all)
	return next
}

// shared returns the instance of this view if it equals the given one, else a copy of that.
func (v *View) shared(instance *Instance) *Instance {
	if kept := v.Get(instance.ID); kept != nil && *kept == *instance {
		return kept
	}
	changed := *instance
	return &changed
}

// Get returns the instance with the ID, or nil.
func (v *View) Get(id string) *Instance {
	if i, ok := v.Position(id); ok {
		return v.all[i]
	}
	return nil
}

// Service returns the instances of a service, ordered by ID. The slice must not be modified.
func (v *View) Service(name string) []*Instance { return v.byService()[name] }

// Services returns the names of all services that have instances, in ascending order.
func (v *View) Services() []string { return slices.Sorted(maps.Keys(v.byService())) }

// byService returns the instances grouped by service.
func (v *View) byService() map[string][]*Instance {
	if known := v.services.Load(); known != nil {
		return *known
	}
	services := make(map[string][]*Instance)
	for _, instance := range v.all {
		services[instance.Service] = append(services[instance.Service], instance)
	}
	v.services.Store(&services)
	return services
}

// ReleaseIndex frees the memory of what was built on first use. It is called for a version that is
// kept only to be compared with.
func (v *View) ReleaseIndex() { v.services.Store(nil) }

// At returns the instance at an index of the ascending order of the IDs.
func (v *View) At(i int) *Instance { return v.all[i] }

// Position returns the index of an ID in the ascending order of the IDs.
func (v *View) Position(id string) (int, bool) { return position(v.all, id) }

func position(list []*Instance, id string) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(instance *Instance, id string) int { return strings.Compare(instance.ID, id) })
}

// Len returns the number of instances.
func (v *View) Len() int { return len(v.all) }

// All returns the instances in ascending order of their IDs.
func (v *View) All() iter.Seq[*Instance] { return slices.Values(v.all) }

// Diff returns the changes that turn the old view into the next one, in ascending order of the IDs.
func Diff(old, next *View) (changed []Instance, removed []string) {
	before, after := old.all, next.all
	for len(before) > 0 && len(after) > 0 {
		a, b := before[0], after[0]
		switch {
		case a == b:
			before, after = before[1:], after[1:]
		case a.ID == b.ID:
			if *a != *b {
				changed = append(changed, *b)
			}
			before, after = before[1:], after[1:]
		case a.ID < b.ID:
			removed = append(removed, a.ID)
			before = before[1:]
		default:
			changed = append(changed, *b)
			after = after[1:]
		}
	}
	for _, gone := range before {
		removed = append(removed, gone.ID)
	}
	for _, added := range after {
		changed = append(changed, *added)
	}
	return changed, removed
}

// NewlyLeaving returns the instances that are leaving in the next view and were not in the old one, in
// ascending order of the IDs. Nothing is newly leaving if there is no old view.
func NewlyLeaving(old, next *View) []*Instance {
	if old == nil {
		return nil
	}
	changed, _ := Diff(old, next)
	var out []*Instance
	for i := range changed {
		if former := old.Get(changed[i].ID); changed[i].Leaving && (former == nil || !former.Leaving) {
			out = append(out, next.Get(changed[i].ID))
		}
	}
	return out
}

// Apply returns a new view with the changes applied, and then the removals. Its cost is that of
// copying a pointer for each instance, whatever their number, and of a search for each change.
func (v *View) Apply(revision uint64, changed []Instance, removed []string) *View {
	changes := v.changeSet(changed, removed)
	next := &View{Revision: revision, all: applyChanges(v.all, changes), digest: v.digestAfter(changes)}
	if known := v.services.Load(); known != nil {
		services := v.regroup(*known, changes)
		next.services.Store(&services)
	}
	return next
}

// regroup returns the groups by service after the changes. Services without changes keep their lists.
func (v *View) regroup(services map[string][]*Instance, changes []change) map[string][]*Instance {
	byService := make(map[string][]change)
	for _, c := range changes {
		former := v.Get(c.id)
		if former != nil && (c.instance == nil || c.instance.Service != former.Service) {
			byService[former.Service] = append(byService[former.Service], change{id: c.id})
		}
		if c.instance != nil {
			byService[c.instance.Service] = append(byService[c.instance.Service], c)
		}
	}
	next := maps.Clone(services)
	for service, list := range byService {
		next[service] = applyChanges(next[service], list)
		if len(next[service]) == 0 {
			delete(next, service)
		}
	}
	return next
}

// digestAfter returns the digest of the view after the changes.
func (v *View) digestAfter(changes []change) uint64 {
	sum := v.digest
	for _, c := range changes {
		if former := v.Get(c.id); former != nil {
			sum -= former.digest()
		}
		if c.instance != nil {
			sum += c.instance.digest()
		}
	}
	return sum
}

// applyChanges returns a copy of a list with the changes. Both are in ascending order of the IDs.
func applyChanges(list []*Instance, changes []change) []*Instance {
	next := make([]*Instance, 0, len(list)+len(changes))
	for _, c := range changes {
		i, found := position(list, c.id)
		next = append(next, list[:i]...)
		if c.instance != nil {
			next = append(next, c.instance)
		}
		if found {
			i++
		}
		list = list[i:]
	}
	return append(next, list...)
}

// change is the change of one instance; a nil instance is a removal.
type change struct {
	id       string
	instance *Instance
}

// changeSet returns one change for each ID, in ascending order of the IDs.
func (v *View) changeSet(changed []Instance, removed []string) []change {
	byID := make(map[string]*Instance, len(changed)+len(removed))
	for i := range changed {
		byID[changed[i].ID] = v.shared(&changed[i])
	}
	for _, id := range removed {
		byID[id] = nil
	}
	out := make([]change, 0, len(byID))
	for _, id := range slices.Sorted(maps.Keys(byID)) {
		out = append(out, change{id, byID[id]})
	}
	return out
}
