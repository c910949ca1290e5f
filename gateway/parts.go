package gateway

import (
	"context"
	"strings"
	"sync"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/delta"
)

// This file tells other gateways what can be large: in parts that they fetch by pieces.
// An answer to a report is bounded in bytes, as the time for it is: else a version that
// is too large for the links does not arrive, and each new try fills them again.

const (
	// mostInline bounds what an answer has of configuration, upstreams and owners, in
	// bytes: thirty answers at once take 0.1 s of a link of 10 Mbit/s.
	maxInlineBytes = 4 << 10
	// pieceSize is the most that one piece of a part has, in bytes. Thirty gateways
	// that fetch at once keep a link of 10 Mbit/s busy for 0.4 s, within pieceTimeout.
	pieceSize = 16 << 10
	// partsKept and partBytesKept bound the parts that are kept for those that fetch them,
	// in number and bytes: some versions of each document, from a few earlier ones each.
	maxCachedParts = 24
	maxCachedBytes = 4 * megabyte
)

// Names of parts. That of the owners of a service ends with its name.
const (
	partConfiguration = "configuration"
	partUpstreams     = "upstreams"
	partOwners        = "owners/"
)

// partKey tells which part is meant: the version of a document, and the one that its
// receiver has.
type partKey struct {
	name          string
	version, base uint64
}

// madePart is a part with its bytes.
type encodedPart struct {
	key  partKey
	id   uint64
	base uint64
	data []byte
}

// parts keeps the parts that were made, the newest last. It is safe for concurrent
// use. A part that many ask for is made once.
type partCache struct {
	mu    sync.Mutex
	kept  []encodedPart
	bytes int
}

// get returns the part, made from the document and the base that its receiver has.
func (p *partCache) get(key partKey, base, document []byte) (encodedPart, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range p.kept {
		if part.key == key {
			return part, nil
		}
	}
	data, err := delta.Encode(base, document)
	if err != nil {
		return encodedPart{}, err
	}
	made := encodedPart{key: key, id: delta.Digest(data), base: delta.Digest(base), data: data}
	p.add(made)
	return made, nil
}

// keep adds a part and drops the oldest ones beyond the bounds, never the new one.
// The lock is held.
func (p *partCache) add(made encodedPart) {
	p.kept = append(p.kept, made)
	p.bytes += len(made.data)
	for len(p.kept) > maxCachedParts || len(p.kept) > 1 && p.bytes > maxCachedBytes {
		p.bytes -= len(p.kept[0].data)
		p.kept = p.kept[1:]
	}
}

// piece returns the bytes of a part from an offset on, and whether the part is kept.
func (p *partCache) piece(id uint64, offset int) (data []byte, kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, part := range p.kept {
		if part.id == id && offset <= len(part.data) {
			return part.data[offset:min(offset+pieceSize, len(part.data))], true
		}
	}
	return nil, false
}

// Fetch implements syncpb.Peer.
func (p *peerServer) Fetch(_ context.Context, r *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	data, kept := p.parts.piece(r.Id, int(r.Offset))
	if !kept {
		return nil, twirp.NotFoundError("the part is not kept")
	}
	return &syncpb.FetchResponse{Data: data}, nil
}

// telling builds the news of one answer: what is small within it, the rest as parts to
// be fetched.
type responseBuilder struct {
	*peerServer
	request *syncpb.SyncRequest
	resp    *syncpb.SyncResponse
	// room is how many bytes the answer may still take.
	remaining int
}

// tell adds the news that the sender does not know and is not fetching.
func (p *peerServer) addUpdates(r *syncpb.SyncRequest, resp *syncpb.SyncResponse) {
	b := &responseBuilder{peerServer: p, request: r, resp: resp, remaining: maxInlineBytes}
	fetching := fetchingSet(r)
	if !fetching[partConfiguration] {
		b.addConfiguration()
	}
	if !fetching[partUpstreams] && p.hasNewerUpstreams(r) {
		b.addUpstreams()
	}
	for service := range *p.view.owners.Load() {
		if !fetching[partOwners+service] {
			b.addOwners(service)
		}
	}
}

func fetchingSet(r *syncpb.SyncRequest) map[string]bool {
	set := make(map[string]bool, len(r.Fetching))
	for _, name := range r.Fetching {
		set[name] = true
	}
	return set
}

func (b *responseBuilder) addConfiguration() {
	now := b.view.configuration()
	if now.revision <= b.request.ConfigRevision {
		return
	}
	base := b.view.configurationSpec(b.request.ConfigDigest)
	key := partKey{name: partConfiguration, version: now.digest, base: delta.Digest(base)}
	b.addPart(key, now.revision, base, now.spec)
}

func (b *responseBuilder) addUpstreams() {
	m := b.view.instancesMessage(b.request.InstancesVersion)
	switch {
	case m == nil:
	case b.reserve(m):
		b.resp.Instances = m
	default:
		b.addMessage(partKey{name: partUpstreams, version: m.Version, base: m.Base}, m)
	}
}

func (b *responseBuilder) addOwners(service string) {
	now, base := b.view.spansOf(service), b.request.SpansVersions[service]
	if now.Version <= base {
		return
	}
	m := b.view.spansMessage(now, base)
	if b.reserve(m) {
		b.resp.Spans = append(b.resp.Spans, m)
		return
	}
	b.addMessage(partKey{name: partOwners + service, version: m.Version, base: m.Base}, m)
}

// fits reports whether the message goes within the answer, and takes the room for it.
func (b *responseBuilder) reserve(m proto.Message) bool {
	size := proto.Size(m)
	if size > b.remaining {
		return false
	}
	b.remaining -= size
	return true
}

// addMessage adds a message as a part. It is already the difference from its base.
func (b *responseBuilder) addMessage(key partKey, m proto.Message) {
	document, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		b.log.Error("part of the news cannot be made", "part", key.name, "error", err)
		return
	}
	b.addPart(key, 0, nil, document)
}

// addPart adds a part, with its bytes when there is room for them.
func (b *responseBuilder) addPart(key partKey, revision uint64, base, document []byte) {
	made, err := b.parts.get(key, base, document)
	if err != nil {
		b.log.Error("part of the news cannot be made", "part", key.name, "error", err)
		return
	}
	part := &syncpb.Part{Name: key.name, Id: made.id, Size: uint32(len(made.data)), Base: made.base, Revision: revision}
	if len(made.data) <= b.remaining {
		b.remaining -= len(made.data)
		part.Data = made.data
	}
	b.resp.Parts = append(b.resp.Parts, part)
}

// serviceOf returns the service whose owners the part tells.
func serviceOf(part string) (service string, ok bool) { return strings.CutPrefix(part, partOwners) }
