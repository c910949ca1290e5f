package gateway

import (
	"sync"
	"sync/atomic"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/delta"
	"github.com/rockcroft/rockcroft/state/evacuation"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/spans"
)

// view is what this process believes: configuration, upstreams, owners of
// keys. Nothing in it goes back to an older version.
type view struct {
	table  atomic.Pointer[routing.Table]
	inst   atomic.Pointer[instances.View]
	owners atomic.Pointer[map[string]*spans.Table]
	evac   atomic.Pointer[evacuation.Set]

	mu sync.Mutex
	// config is the configuration in force in the form that is handed on, formerConfigs
	// are those before it.
	config          configVersion
	previousConfigs []configVersion
	// instVersion tells versions of the view of upstreams apart.
	instVersion uint64
	changed     chan struct{}
	// former are older versions, to tell others only what has changed since.
	previousInst  map[uint64]*instances.View
	previousOrder []uint64
	previousSpans map[string][]*spans.Table
	// toldInstances and toldSpans are the messages about the newest versions.
	instancesMessages messageCache[*syncpb.Instances]
	spansMessages     map[string]*messageCache[*syncpb.Spans]
	// onInstances is called, with the lock held, when upstreams have changed,
	// onSpans when the owners of a service have, onEvacuations when failure domains were
	// evacuated or taken back.
	onInstances func(*instances.View)
	// onConfiguration is called, with the lock held, when another configuration is in force.
	onConfiguration func(*routing.Table)
	onSpans         func(*spans.Table)
	onEvacuations   func(*evacuation.Set)
}

// configVersion is one version of the configuration as the store has it.
type configVersion struct {
	// revision is the store's.
	revision uint64
	// digest tells the bytes of spec.
	digest uint64
	spec   []byte
}

func newView() *view {
	v := &view{
		onInstances: func(*instances.View) {}, onSpans: func(*spans.Table) {}, onEvacuations: func(*evacuation.Set) {},
		onConfiguration: func(*routing.Table) {},
		changed:         make(chan struct{}), previousInst: make(map[uint64]*instances.View), previousSpans: make(map[string][]*spans.Table),
		spansMessages: make(map[string]*messageCache[*syncpb.Spans]),
	}
	v.owners.Store(&map[string]*spans.Table{})
	return v
}

// wait returns a channel that is closed at the next change.
func (v *view) nextChange() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notify wakes who waits for a change, as something beside the view has changed.
func (v *view) notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notifyLocked()
}

func (v *view) notifyLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// setConfiguration takes over a newer configuration and reports whether it was
// newer. One of the version in force that was written again stays in force under its
// newer revision, by which gateways tell who is behind.
func (v *view) setConfiguration(revision uint64, spec []byte, c *routing.Configuration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.table.Load(); old != nil && c.Version <= old.Version {
		if c.Version == old.Version && revision > v.config.revision {
			v.config.revision = revision
			v.notifyLocked()
		}
		return false
	}
	if v.config.digest != 0 {
		v.previousConfigs = append(v.previousConfigs, v.config)
	}
	if len(v.previousConfigs) > maxPreviousConfigs {
		v.previousConfigs = v.previousConfigs[1:]
	}
	v.config = configVersion{revision: revision, digest: delta.Digest(spec), spec: spec}
	table := routing.NewTable(c)
	v.table.Store(table)
	v.onConfiguration(table)
	v.notifyLocked()
	return true
}

// setInstances takes over a view of upstreams that is at least as new.
func (v *view) setInstances(version uint64, next *instances.View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.inst.Load(); old != nil && (next.Revision < old.Revision || version == v.instVersion) {
		return false
	}
	v.instVersion = version
	v.inst.Store(next)
	v.previousInst[version] = next
	v.previousOrder = append(v.previousOrder, version)
	if len(v.previousOrder) > maxPreviousVersions {
		delete(v.previousInst, v.previousOrder[0])
		v.previousOrder = v.previousOrder[1:]
	}
	v.onInstances(next)
	v.notifyLocked()
	return true
}

// setSpans takes over a newer assignment of a service.
func (v *view) setSpans(t *spans.Table) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := *v.owners.Load()
	if known := old[t.Service]; known != nil && t.Version <= known.Version {
		return false
	}
	next := make(map[string]*spans.Table, len(old)+1)
	for name, table := range old {
		next[name] = table
	}
	next[t.Service] = t
	previous := append(v.previousSpans[t.Service], t)
	if len(previous) > maxPreviousVersions {
		previous = previous[1:]
	}
	v.previousSpans[t.Service] = previous
	v.owners.Store(&next)
	v.onSpans(t)
	v.notifyLocked()
	return true
}

// takeEvacuations takes over what is newer of the marks. It returns whether there was
// anything, and how many marks were dropped.
func (v *view) mergeEvacuations(marks []evacuation.Mark) (changed bool, dropped int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known := v.evac.Load()
	next, dropped := known.Merge(marks)
	if next == known {
		return false, dropped
	}
	v.evac.Store(next)
	v.onEvacuations(next)
	v.notifyLocked()
	return true, dropped
}

// evacuated reports whether the failure domain is evacuated.
func (v *view) evacuated(domain string) bool { return v.evac.Load().Active(domain) }

// spansOf returns the assignment of a service, or nil.
func (v *view) spansOf(service string) *spans.Table { return (*v.owners.Load())[service] }

// configuration returns the configuration in force in the form that is handed on.
func (v *view) configuration() configVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// configurationSpec returns the spec with the digest, of the configuration in force or
// a former one; nil when it is not kept.
func (v *view) configurationSpec(digest uint64) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.config.digest == digest {
		return v.config.spec
	}
	for _, previous := range v.previousConfigs {
		if previous.digest == digest {
			return previous.spec
		}
	}
	return nil
}

// upstreams returns the view of upstreams, nil before there is one, and its version.
func (v *view) upstreams() (*instances.View, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.inst.Load(), v.instVersion
}

// upstreamsKnown returns the revision and the version of the view of upstreams, zero
// before there is one.
func (v *view) upstreamsVersion() (revision, version uint64) {
	now, version := v.upstreams()
	if now == nil {
		return 0, 0
	}
	return now.Revision, version
}

// formerConfigsKept is how many former configurations are kept, of a megabyte at most
// each: those that gateways which are a little behind still have.
const maxPreviousConfigs = 4

// formerKept is how many versions are kept of each part of the view: those of
// some seconds with many changes.
const maxPreviousVersions = 48

// formerInstances returns an older version of the view of upstreams, or nil.
func (v *view) previousInstances(version uint64) *instances.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.previousInst[version]
}

// toldOwners returns the messages about the owners of a service.
func (v *view) spansMessageCache(service string) *messageCache[*syncpb.Spans] {
	v.mu.Lock()
	defer v.mu.Unlock()
	cache := v.spansMessages[service]
	if cache == nil {
		cache = &messageCache[*syncpb.Spans]{}
		v.spansMessages[service] = cache
	}
	return cache
}

// formerTable returns an older version of an assignment, or nil.
func (v *view) previousTable(service string, version uint64) *spans.Table {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, t := range v.previousSpans[service] {
		if t.Version == version {
			return t
		}
	}
	return nil
}
