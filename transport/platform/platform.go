// Package platform is the client side of the platform's object service: the store interface, its
// HTTP client, and an in-memory implementation for tests and the stand-in platform.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rockcroft/rockcroft/protocol/answer"
)

// Kinds of objects in the store.
const (
	KindCell      = "cell"
	KindDirectory = "directory"
	KindService   = "service"
	KindIntent    = "intent"
	KindRoster    = "roster"
)

// Object is a versioned value.
type Object struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is assigned by the platform and increases with each write.
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Batch holds the objects returned by a list or a watch, and the revision of the store they were
// read at.
type Batch struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// VM is an entry of the platform's list of VMs. The list lags behind the actual state.
type VM struct {
	ID     string `json:"id"`
	Domain string `json:"domain"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Errors of a Store. After any other error it is unknown whether a write took effect.
var (
	ErrNotFound    = errors.New("object not found")
	ErrConflict    = errors.New("object has another version")
	ErrRateLimited = errors.New("platform refused the call by its rate limit")
)

// Store is the platform's object service.
type Store interface {
	// Get returns the current object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind and the revision of the list.
	List(ctx context.Context, kind string) (Batch, error)
	// Put stores the value if the current version equals expect, where zero means that the object
	// does not exist. It returns the new version, or ErrConflict.
	Put(ctx context.Context, obj Object, expect uint64) (uint64, error)
	// Watch waits until objects of the kind change after the given revision, at most for the given
	// time, and returns the changed objects.
	Watch(ctx context.Context, kind string, after uint64, wait time.Duration) (Batch, error)
	// VMs returns the list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}

type writeStamp struct {
	WriteID string `json:"write_id"`
}

// PutWithWriteID stores a document that carries a write ID. If the response is lost, it recognizes
// its own write by this ID. It returns the version of the object.
func PutWithWriteID(ctx context.Context, s Store, kind, name string, doc any, expect uint64) (uint64, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return 0, answer.Wrap(answer.Internal, err)
	}
	version, err := s.Put(ctx, Object{Kind: kind, Name: name, Value: value}, expect)
	if err == nil {
		return version, nil
	}
	if errors.Is(err, ErrRateLimited) || errors.Is(err, ErrNotFound) {
		return 0, err
	}
	// A conflict may be caused by an earlier attempt of the same write, and any other error may
	// hide a write that took effect.
	current, getErr := s.Get(ctx, kind, name)
	if getErr != nil {
		return 0, fmt.Errorf("%w (read back: %w)", err, getErr)
	}
	if sameWrite(current.Value, value) {
		return current.Version, nil
	}
	if current.Version != expect {
		return 0, ErrConflict
	}
	return 0, err
}

func sameWrite(a, b json.RawMessage) bool {
	var x, y writeStamp
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return x.WriteID != "" && x.WriteID == y.WriteID
}
