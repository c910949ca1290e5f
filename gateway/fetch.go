package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

const (
	// pieceTimeout bounds the fetch of one piece: twice what it takes from a gateway with
	// a link of 10 Mbit/s from which thirty others fetch too. What other gateways could
	// tell of the part is held back for as long.
	pieceTimeout = 800 * time.Millisecond
	// mostPart bounds a part in bytes: the store's largest value, with what compression
	// may add to one that cannot be compressed.
	maxPartSize = 2 * megabyte
	// offersKept is more than there are parts: one for the configuration, one for the
	// upstreams and one for each keyed service.
	maxOffers = 64
)

// offer is a part of the news that the gateway at an address has.
type offer struct {
	address string
	part    *syncpb.Part
}

// fetcher fetches parts of the news, beside the reports: a report is bounded in time,
// for it tells whether the leader is heard; a part may take as long as the links need.
// When a piece does not arrive the part is left, and the gateway that offers it next goes
// on with it: what has arrived is kept and is not sent again.
type fetcher struct {
	client func(address string) syncpb.Peer
	// take takes over a part that is whole.
	apply  func(p *syncpb.Part, data []byte)
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	offers chan offer

	mu sync.Mutex
	// running are the parts being fetched, by name.
	running map[string]bool
	// arrived is what has arrived of parts, by name.
	partial map[string]*partialPart
}

// arrival is what has arrived of a part.
type partialPart struct {
	id   uint64
	data []byte
}

// newFetcher returns a fetcher of parts from gateways, which gives whole ones to take.
func newFetcher(client func(string) syncpb.Peer, take func(*syncpb.Part, []byte), now func() time.Time, log *slog.Logger, m *meters) *fetcher {
	return &fetcher{
		client: client, apply: take, now: now, log: log, meters: m, offers: make(chan offer, maxOffers),
		running: make(map[string]bool), partial: make(map[string]*partialPart),
	}
}

// run fetches what is offered until ctx ends.
func (f *fetcher) run(ctx context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	for {
		select {
		case o := <-f.offers:
			all.Go(func() { f.fetch(ctx, o) })
		case <-ctx.Done():
			return
		}
	}
}

// offered notes parts that another gateway has. Each is fetched, unless it has all its
// bytes, and taken over beside the loop that reports: a configuration of thousands of
// routes takes longer to decode than a gateway may be silent. One of each name is at a
// time.
func (f *fetcher) handleOffers(address string, list []*syncpb.Part) {
	for _, part := range list {
		if part.Size > maxPartSize {
			f.log.Error("part of the news is too large", "part", part.Name, "bytes", part.Size, "from", address)
			continue
		}
		if f.claim(part.Name) {
			f.offers <- offer{address, part}
		}
	}
}

// begin marks a part as being fetched, unless it is already or too many are.
func (f *fetcher) claim(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[name] || len(f.running) >= maxOffers {
		return false
	}
	f.running[name] = true
	return true
}

func (f *fetcher) release(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.running, name)
}

// fetching returns the names of the parts being fetched.
func (f *fetcher) fetching() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for name := range f.running {
		out = append(out, name)
	}
	return out
}

// fetch fetches one part, unless it was offered with its bytes, and takes it over.
func (f *fetcher) fetch(ctx context.Context, o offer) {
	defer f.release(o.part.Name)
	if len(o.part.Data) > 0 {
		f.apply(o.part, o.part.Data)
		return
	}
	began := f.now()
	data, err := f.fetchPieces(ctx, o)
	if err != nil {
		f.meters.inc(partsLeft)
		f.log.Warn("part of the news left", "part", o.part.Name, "from", o.address, "bytes", len(data), "of", o.part.Size, "cause", err)
		return
	}
	f.meters.inc(partsFetched)
	f.log.Info("part of the news fetched", "part", o.part.Name, "from", o.address, "bytes", len(data), "took_ms", f.now().Sub(began).Milliseconds())
	f.apply(o.part, data)
}

// pieces fetches what is missing of a part. With an error it returns what has arrived,
// which is kept.
func (f *fetcher) fetchPieces(ctx context.Context, o offer) ([]byte, error) {
	a := f.partialFor(o.part)
	for len(a.data) < int(o.part.Size) {
		piece, err := f.fetchPiece(ctx, o, len(a.data))
		if err != nil {
			return a.data, err
		}
		a.data = append(a.data, piece...)
	}
	f.discardPartial(o.part.Name)
	return a.data, nil
}

// piece fetches the next piece of a part.
func (f *fetcher) fetchPiece(ctx context.Context, o offer, offset int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	resp, err := f.client(o.address).Fetch(ctx, &syncpb.FetchRequest{Id: o.part.Id, Offset: uint32(offset)})
	if err != nil {
		f.meters.inc(piecesFailed)
		return nil, err
	}
	if len(resp.Data) == 0 || offset+len(resp.Data) > int(o.part.Size) {
		return nil, fmt.Errorf("a piece of %d bytes at %d of %d", len(resp.Data), offset, o.part.Size)
	}
	f.meters.inc(piecesFetched)
	return resp.Data, nil
}

// arrival returns what has arrived of the part before. What has arrived of another
// part of the name is forgotten.
func (f *fetcher) partialFor(part *syncpb.Part) *partialPart {
	f.mu.Lock()
	defer f.mu.Unlock()
	a := f.partial[part.Name]
	if a == nil || a.id != part.Id {
		a = &partialPart{id: part.Id}
		f.partial[part.Name] = a
	}
	return a
}

func (f *fetcher) discardPartial(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.partial, name)
}
