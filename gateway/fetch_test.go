package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/instances"
	"github.com/rockcroft/rockcroft/state/routing"
)

// flakyPeer serves pieces of parts and fails chosen calls.
type flakyPeer struct {
	syncpb.Peer
	parts *partCache
	// fails decides whether the call, counted from zero, fails.
	fails func(call int) bool
	calls int
	// served is the number of bytes sent.
	served int
}

func (p *flakyPeer) Fetch(_ context.Context, r *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	call := p.calls
	p.calls++
	data, kept := p.parts.piece(r.Id, int(r.Offset))
	if p.fails(call) || !kept {
		return nil, errors.New("connection closed")
	}
	p.served += len(data)
	return &syncpb.FetchResponse{Data: data}, nil
}

// randomBytes returns incompressible bytes.
func randomBytes(size int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// testFetcher returns a fetcher that fetches all pieces from peer. taken receives the completed
// parts.
func testFetcher(peer syncpb.Peer) (f *fetcher, taken chan []byte) {
	taken = make(chan []byte, 1)
	client := func(string) syncpb.Peer { return peer }
	take := func(_ string, _ *syncpb.Part, data []byte) { taken <- data }
	f = newFetcher(client, take, time.Now, slog.New(slog.DiscardHandler), newMeters())
	return f, taken
}

// TestFetchResumesAfterFailure checks that the data received so far is not sent again when a part
// is offered again after a failed piece, and that each attempt ends with its first failure,
// because another gateway may be a better source for the rest.
func TestFetchResumesAfterFailure(t *testing.T) {
	const pieces = 8
	made, err := (&partCache{}).get(partKey{name: partConfiguration, version: 1}, nil, randomBytes(pieces*pieceSize-100))
	if err != nil {
		t.Fatal(err)
	}
	part := &syncpb.Part{Name: partConfiguration, Id: made.id, Size: uint32(len(made.data))}
	peer := &flakyPeer{parts: &partCache{kept: []encodedPart{made}}, fails: func(call int) bool { return call%2 == 1 }}
	f, taken := testFetcher(peer)
	for try := 1; len(taken) == 0; try++ {
		f.fetch(t.Context(), offer{"a", part})
		if len(taken) == 0 && peer.calls != 2*try {
			t.Fatalf("%d calls in %d attempts, want two per attempt because every second call fails", peer.calls, try)
		}
	}
	if data := <-taken; string(data) != string(made.data) {
		t.Error("the fetched part differs from the offered one")
	}
	if peer.served != len(made.data) {
		t.Errorf("%d bytes were sent for a part of %d", peer.served, len(made.data))
	}
}

// TestReportsContinueWhileDecoding checks that a part sent within a response is applied outside the
// report loop and is named as being fetched meanwhile.
//
// It guards against gateways that wrongly consider the leader lost. When the report loop applied a
// changed configuration itself, decoding it took 1.4 to 2.0 s on a busy machine. Six gateways sent
// no report meanwhile, considered the leader lost 0.7 s after its last response and listed the
// store, although no report had failed.
func TestReportsContinueWhileDecoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := testFetcher(nil)
		decoded, taken := make(chan struct{}), 0
		f.apply = func(string, *syncpb.Part, []byte) {
			<-decoded
			taken++
		}
		go f.run(t.Context())
		// The next answer contains the part again while the first copy is still being applied.
		for range 2 {
			f.handleOffers("a", []*syncpb.Part{{Name: partConfiguration, Id: 1, Size: 1, Data: []byte{1}}})
			synctest.Wait()
		}
		if got := f.fetching(); !slices.Equal(got, []string{partConfiguration}) {
			t.Errorf("fetching %v", got)
		}
		close(decoded)
		synctest.Wait()
		if got := f.fetching(); len(got) > 0 || taken != 1 {
			t.Errorf("fetching %v, applied %d times", got, taken)
		}
	})
}

// TestFetchDoesNotMixVersions checks that data received of one version is not combined with data
// of another.
func TestFetchDoesNotMixVersions(t *testing.T) {
	kept := &partCache{}
	var offeredParts []*syncpb.Part
	for version := range uint64(2) {
		made, err := kept.get(partKey{name: partConfiguration, version: version}, nil, randomBytes(3*pieceSize+int(version)))
		if err != nil {
			t.Fatal(err)
		}
		offeredParts = append(offeredParts, &syncpb.Part{Name: partConfiguration, Id: made.id, Size: uint32(len(made.data))})
	}
	peer := &flakyPeer{parts: kept, fails: func(call int) bool { return call > 0 }}
	f, taken := testFetcher(peer)
	f.fetch(t.Context(), offer{"a", offeredParts[0]})
	peer.fails = func(int) bool { return false }
	f.fetch(t.Context(), offer{"a", offeredParts[1]})
	if data := <-taken; string(data) != string(kept.kept[1].data) {
		t.Error("data of two versions was mixed")
	}
}

// TestOneFetchPerPartName checks that a part offered by several gateways is fetched from only one
// of them and is named as being fetched.
func TestOneFetchPerPartName(t *testing.T) {
	f, _ := testFetcher(&flakyPeer{})
	part := &syncpb.Part{Name: partUpstreams, Id: 1, Size: pieceSize}
	f.handleOffers("a", []*syncpb.Part{part})
	f.handleOffers("b", []*syncpb.Part{part})
	if len(f.offers) != 1 || len(f.fetching()) != 1 {
		t.Errorf("%d fetches of %v", len(f.offers), f.fetching())
	}
	set := fetchingSet(&syncpb.SyncRequest{Fetching: f.fetching()})
	if !set[partUpstreams] || set[partConfiguration] {
		t.Errorf("named as being fetched: %v", set)
	}
}

// TestPartCacheIsBounded checks that the cached parts are bounded in number and bytes, and that a
// part requested several times is encoded once.
func TestPartCacheIsBounded(t *testing.T) {
	p := &partCache{}
	for version := range uint64(2 * maxCachedParts) {
		for range 2 {
			if _, err := p.get(partKey{name: partConfiguration, version: version}, nil, []byte("x")); err != nil {
				t.Fatal(err)
			}
		}
	}
	if len(p.kept) != maxCachedParts {
		t.Errorf("%d parts are cached, want %d", len(p.kept), maxCachedParts)
	}
	large := randomBytes(maxCachedBytes / 2)
	for version := range uint64(3) {
		if _, err := p.get(partKey{name: partUpstreams, version: version}, nil, large); err != nil {
			t.Fatal(err)
		}
	}
	if p.bytes > maxCachedBytes || len(p.kept) == 0 {
		t.Errorf("%d parts with %d bytes are cached", len(p.kept), p.bytes)
	}
	if _, kept := p.piece(p.kept[len(p.kept)-1].id, 0); !kept {
		t.Error("the newest part is not cached")
	}
}

// viewWithUpstreams returns a new view with registeredUpstreams upstreams.
func viewWithUpstreams(version uint64) *view {
	v := newView()
	var list []instances.Instance
	for n := range registeredUpstreams {
		list = append(list, instances.Instance{ID: fmt.Sprintf("i-%d", n), Service: "pay", Address: "127.0.0.1:1", Slots: 1})
	}
	v.setInstances(version, instances.NewView(version, list))
	return v
}

// TestPartEncodingIsDeterministic checks that gateways with the same version of the upstreams
// encode the same part, so that a fetch begun from one gateway can continue from another.
func TestPartEncodingIsDeterministic(t *testing.T) {
	ids := make(map[uint64]bool)
	for range 8 {
		p := &peerServer{view: viewWithUpstreams(5), cluster: threeGateways(), parts: &partCache{}, log: slog.New(slog.DiscardHandler), limits: noLimits(), suspects: noSuspects(), quotas: noQuotas()}
		resp := &syncpb.SyncResponse{}
		p.addUpdates(&syncpb.SyncRequest{}, resp)
		if len(resp.Parts) != 1 {
			t.Fatalf("%d parts", len(resp.Parts))
		}
		ids[resp.Parts[0].Id] = true
	}
	if len(ids) != 1 {
		t.Errorf("%d different parts of one version", len(ids))
	}
}

// TestInstancesMessageHasMatchingVersion checks that, while the upstreams change, a message never
// carries the version number of another view.
func TestInstancesMessageHasMatchingVersion(t *testing.T) {
	const versions = 2000
	v := newView()
	v.setInstances(1, instances.NewView(1, nil))
	var writer sync.WaitGroup
	writer.Go(func() {
		for n := uint64(2); n <= versions; n++ {
			v.setInstances(n, instances.NewView(n, nil))
		}
	})
	for last := uint64(0); last < versions; {
		m := v.instancesMessage(0)
		if m.Revision != m.Version {
			t.Fatalf("revision %d under version %d", m.Revision, m.Version)
		}
		last = m.Version
	}
	writer.Wait()
}

// TestOlderUpstreamsAreNotSent checks that a gateway whose view of the upstreams is newer than
// its parent's is not sent the older view, which it would reject.
func TestOlderUpstreamsAreNotSent(t *testing.T) {
	p := &peerServer{view: viewWithUpstreams(90), cluster: threeGateways(), parts: &partCache{}, log: slog.New(slog.DiscardHandler), limits: noLimits(), suspects: noSuspects(), quotas: noQuotas()}
	for _, c := range []struct {
		revision  uint64
		wantParts bool
	}{{89, true}, {90, true}, {91, false}} {
		r := &syncpb.SyncRequest{InstancesRevision: c.revision, InstancesVersion: 7}
		resp := &syncpb.SyncResponse{}
		p.addUpdates(r, resp)
		if sent := len(resp.Parts) > 0; sent != c.wantParts || p.hasUpdates(r) != c.wantParts {
			t.Errorf("sent %v, has updates %v, for a gateway with revision %d", sent, p.hasUpdates(r), c.revision)
		}
	}
}

// TestConfigurationRewrittenWithSameVersion checks that a configuration written to the store
// again with an unchanged version does not make gateways that have it look permanently outdated.
func TestConfigurationRewrittenWithSameVersion(t *testing.T) {
	const first, again = 10, 11
	child, parent := newView(), newView()
	for _, one := range []struct {
		view     *view
		revision uint64
	}{{child, first}, {parent, again}} {
		if !one.view.setConfiguration(one.revision, []byte("spec"), &routing.Configuration{Version: 3}) {
			t.Fatal("configuration rejected")
		}
	}
	child.setConfiguration(again, []byte("spec"), &routing.Configuration{Version: 3})
	p := &peerServer{view: parent, cluster: threeGateways(), parts: &partCache{}, log: slog.New(slog.DiscardHandler), limits: noLimits(), suspects: noSuspects(), quotas: noQuotas()}
	if p.hasUpdates(&syncpb.SyncRequest{ConfigRevision: child.configuration().revision}) {
		t.Error("a gateway with the same version is considered outdated")
	}
	if child.setConfiguration(first, []byte("spec"), &routing.Configuration{Version: 3}); child.configuration().revision != again {
		t.Error("the revision went back to an older one")
	}
}

// noLimits returns named limits without any entry.
func noLimits() *namedLimits {
	return newNamedLimits(newView(), time.Now, slog.New(slog.DiscardHandler), newMeters())
}

// noSuspects returns a list of suspects without any entry.
// threeGateways returns the cluster state of the leader of three gateways.
func threeGateways() *cluster {
	now := time.Now()
	return clusterOfSize(3, testMember("a", 0, 100), &now)
}

func noQuotas() *teamQuotas {
	return newTeamQuotas(newView(), func() int { return 1 }, 0, time.Now, rand.New(rand.NewPCG(1, 1)))
}

func noSuspects() *suspects {
	return newSuspects(newView(), func() int { return 1 }, time.Now, slog.New(slog.DiscardHandler), newMeters(), rand.New(rand.NewPCG(1, 1)))
}
