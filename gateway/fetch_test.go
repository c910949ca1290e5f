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

// flakyPeer serves pieces of one part and fails as it is told.
type flakyPeer struct {
	syncpb.Peer
	parts *partCache
	// fails tells whether the call, counted from zero, fails.
	fails func(call int) bool
	calls int
	// served counts the bytes that were handed out.
	served int
}

func (p *flakyPeer) Fetch(_ context.Context, r *syncpb.FetchRequest) (*syncpb.FetchResponse, error) {
	call := p.calls
	p.calls++
	data, kept := p.parts.piece(r.Id, int(r.Offset))
	if p.fails(call) || !kept {
		return nil, errors.New("the connection is cut")
	}
	p.served += len(data)
	return &syncpb.FetchResponse{Data: data}, nil
}

// randomBytes are bytes that cannot be compressed.
func randomBytes(size int) []byte {
	rng := rand.New(rand.NewPCG(1, 1))
	out := make([]byte, size)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// testFetcher is a fetcher of which another gateway's pieces come from peer. taken
// receives the parts that became whole.
func testFetcher(peer syncpb.Peer) (f *fetcher, taken chan []byte) {
	taken = make(chan []byte, 1)
	client := func(string) syncpb.Peer { return peer }
	take := func(_ *syncpb.Part, data []byte) { taken <- data }
	f = newFetcher(client, take, time.Now, slog.New(slog.DiscardHandler), newMeters())
	return f, taken
}

// TestFetchGoesOn: what has arrived of a part is not sent again when the part is offered
// anew after a piece did not arrive, and each try ends with its first failure: another
// gateway may be the better one to go on with.
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
			t.Fatalf("%d calls in %d tries of which each fails with its second", peer.calls, try)
		}
	}
	if data := <-taken; string(data) != string(made.data) {
		t.Error("another part came back")
	}
	if peer.served != len(made.data) {
		t.Errorf("%d bytes were handed out for a part of %d", peer.served, len(made.data))
	}
}

// TestReportsGoOnBesideDecoding: a part that came within an answer is taken over beside
// the reports, and is named as being fetched meanwhile.
//
// Gateways in touch with the leader listed at the store although all their reports were
// answered within the limit. The order of events: a change of one route came within an
// answer; six gateways decoded the whole configuration at once, for 1.4 to 2.0 s on a busy
// machine; none of them reported meanwhile, and 0.7 s and more after its last answer each
// counted the leader as lost. The cause: the answer was taken over by the loop that reports.
// What proved it: no report of those runs failed, the loop was in the decoding when the
// lists began, and no goroutine waited for the processor for more than 0.1 s.
func TestReportsContinueWhileDecoding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := testFetcher(nil)
		decoded, taken := make(chan struct{}), 0
		f.apply = func(*syncpb.Part, []byte) {
			<-decoded
			taken++
		}
		go f.run(t.Context())
		// While it is taken over the next answer has it again.
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
			t.Errorf("fetching %v, taken over %d times", got, taken)
		}
	})
}

// TestFetchOfAnotherPart: what has arrived of one version is not mixed with another.
func TestFetchDoesNotMixVersions(t *testing.T) {
	kept := &partCache{}
	var offered []*syncpb.Part
	for version := range uint64(2) {
		made, err := kept.get(partKey{name: partConfiguration, version: version}, nil, randomBytes(3*pieceSize+int(version)))
		if err != nil {
			t.Fatal(err)
		}
		offered = append(offered, &syncpb.Part{Name: partConfiguration, Id: made.id, Size: uint32(len(made.data))})
	}
	peer := &flakyPeer{parts: kept, fails: func(call int) bool { return call > 0 }}
	f, taken := testFetcher(peer)
	f.fetch(t.Context(), offer{"a", offered[0]})
	peer.fails = func(int) bool { return false }
	f.fetch(t.Context(), offer{"a", offered[1]})
	if data := <-taken; string(data) != string(kept.kept[1].data) {
		t.Error("two versions were mixed")
	}
}

// TestOneFetchOfAName: a part that several gateways offer is fetched from one of them,
// and told as being fetched meanwhile.
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
		t.Errorf("told as being fetched: %v", set)
	}
}

// TestPartsAreBounded: the parts that are kept for others are bounded in number and
// bytes, and one that many ask for is made once.
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
		t.Errorf("%d parts are kept, %d should be", len(p.kept), maxCachedParts)
	}
	large := randomBytes(maxCachedBytes / 2)
	for version := range uint64(3) {
		if _, err := p.get(partKey{name: partUpstreams, version: version}, nil, large); err != nil {
			t.Fatal(err)
		}
	}
	if p.bytes > maxCachedBytes || len(p.kept) == 0 {
		t.Errorf("%d parts of %d bytes are kept", len(p.kept), p.bytes)
	}
	if _, kept := p.piece(p.kept[len(p.kept)-1].id, 0); !kept {
		t.Error("the newest part is not kept")
	}
}

// listed is a view of many upstreams, built anew each time.
func viewWithUpstreams(version uint64) *view {
	v := newView()
	var list []instances.Instance
	for n := range registeredUpstreams {
		list = append(list, instances.Instance{ID: fmt.Sprintf("i-%d", n), Service: "pay", Address: "127.0.0.1:1", Slots: 1})
	}
	v.setInstances(version, instances.NewView(version, list))
	return v
}

// TestSamePartEverywhere: gateways with the same version of the upstreams make the same
// part of it, so that one can go on with what another has begun to send.
func TestPartEncodingIsDeterministic(t *testing.T) {
	ids := make(map[uint64]bool)
	for range 8 {
		p := &peerServer{view: viewWithUpstreams(5), parts: &partCache{}, log: slog.New(slog.DiscardHandler), limits: noLimits(), suspects: noSuspects()}
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

// TestUpstreamsAreToldWithTheirVersion: a view of upstreams is never told under the
// number of another one.
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

// TestOlderUpstreamsAreNotTold: a gateway that has a newer view of the upstreams than its
// parent is not told the older one, which it would not take.
func TestOlderUpstreamsAreNotSent(t *testing.T) {
	p := &peerServer{view: viewWithUpstreams(90), parts: &partCache{}, log: slog.New(slog.DiscardHandler), limits: noLimits(), suspects: noSuspects()}
	for _, c := range []struct {
		revision uint64
		told     bool
	}{{89, true}, {90, true}, {91, false}} {
		r := &syncpb.SyncRequest{InstancesRevision: c.revision, InstancesVersion: 7}
		resp := &syncpb.SyncResponse{}
		p.addUpdates(r, resp)
		if told := len(resp.Parts) > 0; told != c.told || p.hasUpdates(r) != c.told {
			t.Errorf("told %v, knows more %v, to one with revision %d", told, p.hasUpdates(r), c.revision)
		}
	}
}

// TestVersionWrittenAgain: a configuration that was written again without a new version
// does not let those that have the version look behind for ever.
func TestConfigurationRewrittenWithSameVersion(t *testing.T) {
	const first, again = 10, 11
	child, parent := newView(), newView()
	for _, one := range []struct {
		view     *view
		revision uint64
	}{{child, first}, {parent, again}} {
		if !one.view.setConfiguration(one.revision, []byte("spec"), &routing.Configuration{Version: 3}) {
			t.Fatal("not taken")
		}
	}
	child.setConfiguration(again, []byte("spec"), &routing.Configuration{Version: 3})
	p := &peerServer{view: parent, parts: &partCache{}, log: slog.New(slog.DiscardHandler), limits: noLimits(), suspects: noSuspects()}
	if p.hasUpdates(&syncpb.SyncRequest{ConfigRevision: child.configuration().revision}) {
		t.Error("behind although it has the version")
	}
	if child.setConfiguration(first, []byte("spec"), &routing.Configuration{Version: 3}); child.configuration().revision != again {
		t.Error("back to the older revision")
	}
}

// noLimits knows of no limit that an upstream names.
func noLimits() *namedLimits {
	return newNamedLimits(newView(), time.Now, slog.New(slog.DiscardHandler), newMeters())
}

// noSuspects suspects no request.
func noSuspects() *suspects {
	return newSuspects(newView(), func() int { return 1 }, time.Now, slog.New(slog.DiscardHandler), newMeters(), rand.New(rand.NewPCG(1, 1)))
}
