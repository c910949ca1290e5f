package gateway

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/delta"
	"github.com/rockcroft/rockcroft/state/evacuation"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
	"github.com/rockcroft/rockcroft/state/spans"
)

// view is this process's copy of the shared state: configuration, upstreams, key owners and
// evacuations. An older version never replaces a newer one.
type view struct {
	table  atomic.Pointer[routing.Table]
	inst   atomic.Pointer[instances.View]
	owners atomic.Pointer[map[string]*spans.Table]
	evac   atomic.Pointer[evacuation.Set]

	mu sync.Mutex
	// config is the configuration in force as it is sent to other gateways; previousConfigs are
	// its predecessors, oldest first.
	config          configVersion
	previousConfigs []configVersion
	// instVersion identifies the upstreams of inst.
	instVersion uint64
	changed     chan struct{}
	// previousInst, previousOrder and previousSpans keep older versions, so that other gateways
	// can be sent only the changes since the version they have.
	previousInst  map[uint64]*instances.View
	previousOrder []uint64
	previousSpans map[string][]*spans.Table
	// instancesMessages and spansMessages cache the messages built for the newest versions.
	instancesMessages messageCache[*syncpb.Instances]
	spansMessages     map[string]*messageCache[*syncpb.Spans]
	// onInstances is called with the lock held after a change of the upstreams, onSpans after a
	// change of a service's key owners, and onEvacuations after a failure domain was evacuated or
	// its evacuation ended.
	onInstances func(*instances.View)
	// onConfiguration is called with the lock held when a new configuration comes into force.
	onConfiguration func(*routing.Table)
	onSpans         func(*spans.Table)
	onEvacuations   func(*evacuation.Set)
	// hasReceivers reports whether other gateways are sent the changes of this view.
	hasReceivers func() bool
}

// configVersion is one version of the configuration as stored.
type configVersion struct {
	// revision is the store's revision of the object.
	revision uint64
	// digest is the digest of spec.
	digest uint64
	spec   []byte
}

func newView() *view {
	v := &view{
		onInstances: func(*instances.View) {}, onSpans: func(*spans.Table) {}, onEvacuations: func(*evacuation.Set) {},
		onConfiguration: func(*routing.Table) {}, hasReceivers: func() bool { return true },
		changed: make(chan struct{}), previousInst: make(map[uint64]*instances.View), previousSpans: make(map[string][]*spans.Table),
		spansMessages: make(map[string]*messageCache[*syncpb.Spans]),
	}
	v.owners.Store(&map[string]*spans.Table{})
	return v
}

// nextChange returns a channel that is closed at the next change.
func (v *view) nextChange() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// notify wakes the goroutines that wait for a change, when state outside the view has changed.
func (v *view) notify() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.notifyLocked()
}

func (v *view) notifyLocked() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// setConfiguration applies a configuration if its version is newer and reports whether it did. If
// the version in force was written to the store again, only its revision is updated: gateways
// compare revisions to find out who is behind.
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

// setInstances applies a view of the upstreams unless its revision is older or its version is
// already in use. It reports whether it did.
func (v *view) setInstances(version uint64, next *instances.View) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if old := v.inst.Load(); old != nil {
		switch {
		case version == v.instVersion:
			v.raiseRevision(next.Revision)
			return false
		case next.Revision < old.Revision:
			return false
		}
		old.ReleaseIndex()
	}
	v.instVersion = version
	v.inst.Store(next)
	v.keepVersion(version, next)
	v.onInstances(next)
	v.notifyLocked()
	return true
}

// confirmRevision records that the upstreams of a version are complete up to a revision, if the view has that
// version. Another gateway may have listed the same upstreams later.
func (v *view) confirmRevision(version, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.inst.Load() != nil && version == v.instVersion {
		v.raiseRevision(revision)
	}
}

// raiseRevision raises the revision of the upstreams. The lock is held, and there are upstreams.
func (v *view) raiseRevision(revision uint64) {
	if now := v.inst.Load(); revision > now.Revision {
		v.inst.Store(now.WithRevision(revision))
	}
}

// keepVersion keeps a version of the upstreams as the newest one, also if it is kept already, and drops the
// oldest beyond those to be kept. The lock is held.
func (v *view) keepVersion(version uint64, next *instances.View) {
	if i := slices.Index(v.previousOrder, version); i >= 0 {
		v.previousOrder = slices.Delete(v.previousOrder, i, i+1)
	}
	v.previousInst[version] = next
	v.previousOrder = append(v.previousOrder, version)
	for len(v.previousOrder) > v.versionsToKeep() {
		delete(v.previousInst, v.previousOrder[0])
		v.previousOrder = v.previousOrder[1:]
	}
}

// setSpans applies a service's table of key owners if it is newer and reports whether it did.
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
	v.previousSpans[t.Service] = boundTables(append(v.previousSpans[t.Service], t))
	v.owners.Store(&next)
	v.onSpans(t)
	v.notifyLocked()
	return true
}

// mergeEvacuations merges newer evacuation marks into the known ones. It returns whether anything
// changed and how many marks were dropped.
func (v *view) mergeEvacuations(marks []evacuation.Record) (changed bool, dropped int) {
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

// spansOf returns a service's table of key owners, or nil.
func (v *view) spansOf(service string) *spans.Table { return (*v.owners.Load())[service] }

// configuration returns the configuration in force as it is sent to other gateways.
func (v *view) configuration() configVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

// configurationSpec returns the spec with the digest if it is the configuration in force or one
// of the previous ones that are kept, otherwise nil.
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

// upstreams returns the current view of the upstreams, or nil if there is none yet, and its
// version.
func (v *view) upstreams() (*instances.View, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.inst.Load(), v.instVersion
}

// upstreamsVersion returns the revision and the version of the current view of the upstreams, or
// zeros if there is none yet.
func (v *view) upstreamsVersion() (revision, version uint64) {
	now, version := v.upstreams()
	if now == nil {
		return 0, 0
	}
	return now.Revision, version
}

// maxPreviousConfigs is the number of previous configurations that are kept, each of at most a
// megabyte. They serve as bases of differences for gateways that are a few versions behind.
const maxPreviousConfigs = 4

// maxPreviousVersions is the number of versions kept of each other part of the view. It covers
// some seconds with many changes.
const maxPreviousVersions = 48

// ownVersions is the number of versions of the upstreams kept by a gateway that sends them to no other:
// its parent sends changes of one of its latest versions.
const ownVersions = 8

func (v *view) versionsToKeep() int {
	if v.hasReceivers() {
		return maxPreviousVersions
	}
	return ownVersions
}

// maxPreviousSpans bounds the spans in the kept versions of one service's key owners, and with them
// their memory: unlike versions of the upstreams, they share nothing.
const maxPreviousSpans = 1 << 15

// boundTables drops the oldest tables beyond maxPreviousVersions and maxPreviousSpans, but never the
// newest two.
func boundTables(list []*spans.Table) []*spans.Table {
	kept, total := 0, 0
	for kept < min(len(list), maxPreviousVersions) {
		total += len(list[len(list)-1-kept].Spans)
		if kept >= 2 && total > maxPreviousSpans {
			break
		}
		kept++
	}
	return slices.Clone(list[len(list)-kept:])
}

// previousInstances returns a kept version of the upstreams, or nil.
func (v *view) previousInstances(version uint64) *instances.View {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.previousInst[version]
}

// spansMessageCache returns the cache of messages about a service's key owners.
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

// previousTable returns a kept version of a service's table of key owners, or nil.
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
