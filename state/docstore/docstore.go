// Package docstore keeps the newest version of each shared document that a
// process has seen. A version never goes back: an older document is ignored, in
// whatever order and from whomever documents arrive.
package docstore

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/state/cell"
	"github.com/rockcroft/rockcroft/state/service"
)

// Kind is the kind of a shared document.
type Kind string

// The kinds of shared documents.
const (
	Directory Kind = "directory"
	Service   Kind = "service"
	Roster    Kind = "roster"
)

// Document is one version of a shared document, in its JSON form and parsed.
type Document struct {
	Kind    Kind
	Name    string
	Version uint64
	Data    []byte

	// Exactly one of these is set, by the kind.
	Directory *cell.Directory
	Service   *service.Config
	Roster    *cell.Roster
}

// Parse reads a document of the given kind and checks it.
func Parse(kind Kind, data []byte) (*Document, error) {
	d := &Document{Kind: kind, Data: data}
	var err error
	switch kind {
	case Directory:
		d.Directory, err = cell.DecodeDirectory(data)
		if err == nil {
			d.Name, d.Version = d.Directory.Service, d.Directory.Version
		}
	case Service:
		d.Service, err = service.Decode(data)
		if err == nil {
			d.Name, d.Version = d.Service.Name, d.Service.Version
		}
	case Roster:
		d.Roster, err = cell.DecodeRoster(data)
		if err == nil {
			d.Name, d.Version = d.Roster.Cell, d.Roster.Version
		}
	default:
		err = fmt.Errorf("unknown document kind %q", kind)
	}
	if err != nil {
		return nil, err
	}
	return d, nil
}

type docID struct {
	kind Kind
	name string
}

// BucketCount is the number of parts in which two stores are compared, so that
// one changed document does not send all.
const BucketCount = 64

func (id docID) bucket() int {
	return int(xxhash.Sum64String(string(id.kind)+"/"+id.name) % BucketCount)
}

// Store holds documents. It is safe for concurrent use.
type Store struct {
	// notifyMu orders the reports of notifyMu. It is taken before mu.
	notifyMu  sync.Mutex
	mu       sync.Mutex
	docs     map[docID]*Document
	buckets  [BucketCount]uint64
	onChange func(*Document)
}

// New returns an empty store. OnChange is called with each document that
// replaced an older one, one at a time and in order.
func New(onChange func(*Document)) *Store {
	return &Store{docs: make(map[docID]*Document), onChange: onChange}
}

// Add takes a document unless a version at least as new is known.
//
// The change is reported without the lock that readers need: whoever is told may
// hold locks under which others read documents.
func (l *Store) Add(d *Document) bool {
	l.notifyMu.Lock()
	defer l.notifyMu.Unlock()
	if !l.replaceIfNewer(d) {
		return false
	}
	l.onChange(d)
	return true
}

// replaceIfNewer replaces an older version and reports whether it did.
func (l *Store) replaceIfNewer(d *Document) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := docID{d.Kind, d.Name}
	if known := l.docs[id]; known != nil && known.Version >= d.Version {
		return false
	}
	// Digests are sums of one hash a document, so that a change costs the same
	// however many documents there are.
	sum := &l.buckets[id.bucket()]
	*sum += d.versionHash()
	if known := l.docs[id]; known != nil {
		*sum -= known.versionHash()
	}
	l.docs[id] = d
	return true
}

// Empty reports whether no document is known.
func (l *Store) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.docs) == 0
}

// Digest identifies the set of versions. Two stores with equal digests hold
// the same versions.
func (l *Store) Digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum uint64
	for _, b := range l.buckets {
		sum += b
	}
	return sum
}

// BucketDigests returns one digest for each bucket of document names.
func (l *Store) BucketDigests() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.buckets[:])
}

// Differing returns the documents in buckets whose digest is not as given. With
// another number of digests it returns all.
func (l *Store) Differing(digests []uint64) []*Document {
	all := l.All()
	if len(digests) != BucketCount {
		return all
	}
	mine := l.BucketDigests()
	return slices.DeleteFunc(all, func(d *Document) bool {
		b := docID{d.Kind, d.Name}.bucket()
		return mine[b] == digests[b]
	})
}

// versionHash identifies kind, name and version.
func (d *Document) versionHash() uint64 {
	return xxhash.Sum64String(string(d.Kind) + "/" + d.Name + "@" + strconv.FormatUint(d.Version, 10))
}

// All returns the documents, ordered by kind and name.
func (l *Store) All() []*Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Document, 0, len(l.docs))
	for _, d := range l.docs {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b *Document) int {
		if c := strings.Compare(string(a.Kind), string(b.Kind)); c != 0 {
			return c
		}
		return strings.Compare(a.Name, b.Name)
	})
	return out
}

func (l *Store) get(kind Kind, name string) *Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.docs[docID{kind, name}]
}

// Service returns the configuration in force, or nil.
func (l *Store) Service(name string) *service.Config {
	if d := l.get(Service, name); d != nil {
		return d.Service
	}
	return nil
}

// Directory returns the directory in force, or nil.
func (l *Store) Directory(name string) *cell.Directory {
	if d := l.get(Directory, name); d != nil {
		return d.Directory
	}
	return nil
}

// Roster returns the member list of a cell, or nil.
func (l *Store) Roster(name string) *cell.Roster {
	if d := l.get(Roster, name); d != nil {
		return d.Roster
	}
	return nil
}
