package platform

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Memory is an in-memory Store with the semantics of the platform.
type Memory struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storedObject
	vms      []VM
	changed  chan struct{}
}

type storedObject struct {
	object   Object
	revision uint64
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{objects: make(map[string]map[string]storedObject), changed: make(chan struct{})}
}

// Get implements Store.
func (m *Memory) Get(_ context.Context, kind, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.objects[kind][name]
	if !ok {
		return Object{}, ErrNotFound
	}
	return s.object, nil
}

// List implements Store.
func (m *Memory) List(_ context.Context, kind string) (Batch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changedSince(kind, 0), nil
}

func (m *Memory) changedSince(kind string, after uint64) Batch {
	b := Batch{Revision: m.revision}
	for _, s := range m.objects[kind] {
		if s.revision > after {
			b.Objects = append(b.Objects, s.object)
		}
	}
	sort.Slice(b.Objects, func(i, j int) bool { return b.Objects[i].Name < b.Objects[j].Name })
	return b
}

// Put implements Store.
func (m *Memory) Put(_ context.Context, obj Object, expect uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byName := m.objects[obj.Kind]
	if byName == nil {
		byName = make(map[string]storedObject)
		m.objects[obj.Kind] = byName
	}
	current := byName[obj.Name].object.Version
	if current != expect {
		return 0, ErrConflict
	}
	m.revision++
	obj.Version = current + 1
	byName[obj.Name] = storedObject{object: obj, revision: m.revision}
	close(m.changed)
	m.changed = make(chan struct{})
	return obj.Version, nil
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		b := m.changedSince(kind, after)
		changed := m.changed
		m.mu.Unlock()
		if len(b.Objects) > 0 {
			return b, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return b, nil
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

// VMs implements Store.
func (m *Memory) VMs(context.Context) ([]VM, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]VM(nil), m.vms...), nil
}

// SetVMs replaces the list of VMs.
func (m *Memory) SetVMs(vms []VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms = append([]VM(nil), vms...)
}
