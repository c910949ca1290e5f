// Package instances holds the view of the upstreams that have registered themselves.
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

// View is the set of all known upstreams. It must not be modified once it is shared.
type View struct {
	// Revision is the store revision up to which the view is complete.
	Revision uint64
	byID     map[string]*Instance
	services map[string][]*Instance
	// ids holds all IDs in ascending order, positions the index of each ID in IDs. Both are built
	// on first use.
	once      sync.Once
	ids       []string
	positions map[string]int
}

// NewView returns the view of the given instances.
func NewView(revision uint64, list []Instance) *View { return (&View{}).next(revision, list) }

// next returns the successor of this view with the given instances. Unchanged instances are shared:
// a gateway keeps dozens of versions of a view of a thousand upstreams.
func (v *View) next(revision uint64, list []Instance) *View {
	next := &View{Revision: revision, byID: make(map[string]*Instance, len(list))}
	for i := range list {
		next.putShared(v.byID[list[i].ID], &list[i])
	}
	next.groupByService()
	return next
}

// putShared adds an instance. It reuses kept, the instance in the previous view, if that is equal;
// kept may be nil.
func (v *View) putShared(kept, now *Instance) {
	if kept == nil || *kept != *now {
		changed := *now
		kept = &changed
	}
	v.byID[now.ID] = kept
}

// groupByService builds the lists of instances by service, ordered by ID.
func (v *View) groupByService() {
	v.services = make(map[string][]*Instance)
	for _, instance := range v.byID {
		v.services[instance.Service] = append(v.services[instance.Service], instance)
	}
	for _, group := range v.services {
		sort.Slice(group, func(i, j int) bool { return group[i].ID < group[j].ID })
	}
}

// Get returns the instance with the ID, or nil.
func (v *View) Get(id string) *Instance { return v.byID[id] }

// Service returns the instances of a service, ordered by ID.
func (v *View) Service(name string) []*Instance { return v.services[name] }

// Services returns the names of all services that have instances, in ascending order.
func (v *View) Services() []string {
	out := make([]string, 0, len(v.services))
	for name := range v.services {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// IDs returns the IDs of all instances in ascending order. The slice must not be modified.
func (v *View) IDs() []string {
	v.indexIDs()
	return v.ids
}

// Position returns the index of an ID in IDs.
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

// All returns all instances in no particular order.
func (v *View) All() []Instance {
	out := make([]Instance, 0, len(v.byID))
	for _, instance := range v.byID {
		out = append(out, *instance)
	}
	return out
}

// Diff returns the changes that turn the old view into the next one.
func Diff(old, next *View) (changed []Instance, removed []string) {
	for id, instance := range next.byID {
		if previous := old.byID[id]; previous == nil || *previous != *instance {
			changed = append(changed, *instance)
		}
	}
	for id := range old.byID {
		if next.byID[id] == nil {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// Apply returns a new view with the changes applied.
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
