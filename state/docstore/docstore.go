// Package docstore keeps the newest known version of each document that processes
// share. Older versions are ignored, so documents may arrive in any order and from
// any source.
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

// Kind is the type of a shared document.
type Kind string

// Kinds of shared documents.
const (
	Directory Kind = "directory"
	Service   Kind = "service"
	Roster    Kind = "roster"
)

// Document is one version of a shared document, both encoded as JSON and parsed.
type Document struct {
	Kind    Kind
	Name    string
	Version uint64
	Data    []byte

	// Exactly one of these is set, depending on Kind.
	Directory *cell.Directory
	Service   *service.Config
	Roster    *cell.Roster
}

// Parse parses and validates a document of the given kind.
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

// docID identifies a document regardless of its version.
type docID struct {
	kind Kind
	name string
}

// BucketCount is the number of buckets by which two stores are compared, so that
// one changed document does not cause all documents to be sent.
const BucketCount = 64

// bucket returns the index of the bucket that the document belongs to.
func (id docID) bucket() int {
	return int(xxhash.Sum64String(string(id.kind)+"/"+id.name) % BucketCount)
}

// Store holds the newest known version of each document. It is safe for concurrent use.
type Store struct {
	// notifyMu serializes the calls of onChange. It is locked before mu.
	notifyMu sync.Mutex
	mu       sync.Mutex
	docs     map[docID]*Document
	buckets  [BucketCount]uint64
	onChange func(*Document)
}

// New returns an empty store. It calls onChange with each document that is new or
// replaces an older version, one at a time and in the order of the changes.
func New(onChange func(*Document)) *Store {
	return &Store{docs: make(map[docID]*Document), onChange: onChange}
}

// Add stores a document and reports true, unless the store already has the same or
// a newer version.
//
// It calls onChange without holding the lock that readers need: onChange may wait
// for locks whose holders are reading documents from the store, which would deadlock.
func (s *Store) Add(d *Document) bool {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	if !s.replaceIfNewer(d) {
		return false
	}
	s.onChange(d)
	return true
}

// replaceIfNewer stores d if no version at least as new is known, and reports whether
// it did.
func (s *Store) replaceIfNewer(d *Document) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := docID{d.Kind, d.Name}
	if known := s.docs[id]; known != nil && known.Version >= d.Version {
		return false
	}
	// A digest is the sum of one hash per document, so that the cost of updating it
	// does not depend on the number of documents.
	sum := &s.buckets[id.bucket()]
	*sum += d.versionHash()
	if known := s.docs[id]; known != nil {
		*sum -= known.versionHash()
	}
	s.docs[id] = d
	return true
}

// Empty reports whether the store holds no documents.
func (s *Store) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.docs) == 0
}

// Digest returns a digest of the kinds, names and versions of all documents. Two
// stores with equal digests hold the same versions, except for hash collisions.
func (s *Store) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum uint64
	for _, b := range s.buckets {
		sum += b
	}
	return sum
}

// BucketDigests returns the digest of each bucket.
func (s *Store) BucketDigests() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.buckets[:])
}

// Differing returns the documents in buckets whose digests differ from the given
// ones. If the number of digests is not BucketCount, it returns all documents.
func (s *Store) Differing(digests []uint64) []*Document {
	all := s.All()
	if len(digests) != BucketCount {
		return all
	}
	own := s.BucketDigests()
	return slices.DeleteFunc(all, func(d *Document) bool {
		b := docID{d.Kind, d.Name}.bucket()
		return own[b] == digests[b]
	})
}

// versionHash returns a hash of the kind, name and version.
func (d *Document) versionHash() uint64 {
	return xxhash.Sum64String(string(d.Kind) + "/" + d.Name + "@" + strconv.FormatUint(d.Version, 10))
}

// All returns all documents, sorted by kind and name.
func (s *Store) All() []*Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Document, 0, len(s.docs))
	for _, d := range s.docs {
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

func (s *Store) get(kind Kind, name string) *Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.docs[docID{kind, name}]
}

// Service returns the newest known configuration of a service, or nil.
func (s *Store) Service(name string) *service.Config {
	if d := s.get(Service, name); d != nil {
		return d.Service
	}
	return nil
}

// Directory returns the newest known directory of a service, or nil.
func (s *Store) Directory(name string) *cell.Directory {
	if d := s.get(Directory, name); d != nil {
		return d.Directory
	}
	return nil
}

// Roster returns the newest known roster of a cell, or nil.
func (s *Store) Roster(name string) *cell.Roster {
	if d := s.get(Roster, name); d != nil {
		return d.Roster
	}
	return nil
}
