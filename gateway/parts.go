package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/coordination/reporttree"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/delta"
)

// This file sends documents that can be large to other gateways as parts, which they fetch in
// pieces. The size of a response to a report is bounded because the time for it is: a version too
// large for the links would not arrive in time, and each retry would fill the links again.

const (
	// maxInlineBytes bounds the data about configuration, upstreams and owners in one response.
	// Thirty answers of that size at once take 0.1 s on a link of 10 Mbit/s.
	maxInlineBytes = 4 << 10
	// pieceSize is the maximum size of a piece of a part, in bytes. Thirty gateways that each
	// fetch a piece at the same time occupy a link of 10 Mbit/s for 0.4 s, which is within
	// pieceTimeout.
	pieceSize = 16 << 10
	// maxWithheld is how long a gateway that should get large parts from another one is not offered them.
	// Learning of its parent and reporting to it takes two reports.
	maxWithheld = 300 * time.Millisecond
	// maxCachedParts and maxCachedBytes bound the number and the total size of the parts kept for
	// fetching. They allow for some versions of each document, each encoded against a few base
	// versions.
	maxCachedParts = 24
	maxCachedBytes = 4 * megabyte
)

// Names of parts. The owners of a service have the prefix partOwners followed by the service's
// name.
const (
	partConfiguration = "configuration"
	partUpstreams     = "upstreams"
	partOwners        = "owners/"
)

// partKey identifies a part by its name, the version of its document, the revision if that is not part of
// the version, and the base version that its receiver has.
type partKey struct {
	name                    string
	version, revision, base uint64
}

// encodedPart is a part with its encoded bytes.
type encodedPart struct {
	key  partKey
	id   uint64
	base uint64
	data []byte
}

// partCache caches encoded parts, the newest last, so that a part requested by many gateways is
// encoded once. It is safe for concurrent use.
type partCache struct {
	mu    sync.Mutex
	kept  []encodedPart
	bytes int
}

// get returns the part, encoding the document against the base that the receiver has if the part
// is not cached.
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

// add adds a part and drops the oldest parts beyond the bounds, but never the new one. The lock
// is held.
func (p *partCache) add(made encodedPart) {
	p.kept = append(p.kept, made)
	p.bytes += len(made.data)
	for len(p.kept) > maxCachedParts || len(p.kept) > 1 && p.bytes > maxCachedBytes {
		p.bytes -= len(p.kept[0].data)
		p.kept = p.kept[1:]
	}
}

// piece returns up to pieceSize bytes of a part from an offset on, and whether the part is still
// cached.
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

// responseBuilder adds updates to one response: small ones inline, the others as parts to be
// fetched.
type responseBuilder struct {
	*peerServer
	request *syncpb.SyncRequest
	resp    *syncpb.SyncResponse
	// remaining is the number of bytes that may still be added inline.
	remaining int
	// smallOnly is set if only what fits is added.
	smallOnly bool
}

// addUpdates adds what the sender of the report neither has nor is fetching.
func (p *peerServer) addUpdates(r *syncpb.SyncRequest, resp *syncpb.SyncResponse) {
	b := &responseBuilder{peerServer: p, request: r, resp: resp, remaining: maxInlineBytes, smallOnly: !p.servesParts(r)}
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

// servesParts reports whether the sender of the report is offered large parts here. A gateway that only
// asks for the leader is not, once there are heads: it gets them from its parent, and the few gateways
// that all others ask after a start would have to send everything to everyone.
// One that has lacked upstreams for a while is served by whoever it asks.
func (p *peerServer) servesParts(r *syncpb.SyncRequest) bool {
	if r.InstancesBehindMs >= milliseconds(maxWithheld) {
		return true
	}
	if r.WaitMs == 0 {
		return p.cluster.gatewayCount() < reporttree.MinGateways || p.leaderAge() >= leaderSilenceTimeout
	}
	return p.cluster.servesParts(r.Member)
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
		b.addMessage(partKey{name: partUpstreams, version: m.Version, revision: m.Revision, base: m.Base}, m)
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

// reserve reports whether the message still fits into the response, and deducts its size if so.
func (b *responseBuilder) reserve(m proto.Message) bool {
	size := proto.Size(m)
	if size > b.remaining {
		return false
	}
	b.remaining -= size
	return true
}

// addMessage adds a message as a part. The message is already a difference from its base, so the
// part is encoded without one.
func (b *responseBuilder) addMessage(key partKey, m proto.Message) {
	document, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		b.log.Error("cannot encode part", "part", key.name, "error", err)
		return
	}
	b.addPart(key, 0, nil, document)
}

// addPart adds a part, with its bytes if they still fit.
func (b *responseBuilder) addPart(key partKey, revision uint64, base, document []byte) {
	made, err := b.parts.get(key, base, document)
	if err != nil {
		b.log.Error("cannot encode part", "part", key.name, "error", err)
		return
	}
	if b.smallOnly && len(made.data) > b.remaining {
		return
	}
	part := &syncpb.Part{Name: key.name, Id: made.id, Size: uint32(len(made.data)), Base: made.base, Revision: revision}
	if len(made.data) <= b.remaining {
		b.remaining -= len(made.data)
		part.Data = made.data
	}
	b.resp.Parts = append(b.resp.Parts, part)
}

// serviceOf returns the service whose owners the part describes.
func serviceOf(part string) (service string, ok bool) { return strings.CutPrefix(part, partOwners) }
