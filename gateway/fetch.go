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
	// pieceTimeout bounds the fetch of one piece. It is twice the time needed from a gateway on a
	// link of 10 Mbit/s that thirty other gateways fetch from as well. While a piece is awaited,
	// other gateways do not send the part either.
	pieceTimeout = 800 * time.Millisecond
	// maxPartSize bounds a part in bytes: the largest value that the store accepts, with what
	// compression may add to incompressible data.
	maxPartSize = 2 * megabyte
	// maxOffers exceeds the possible number of parts: one for the configuration, one for the
	// upstreams and one for each keyed service.
	maxOffers = 64
)

// offer is a part that the gateway at an address offers.
type offer struct {
	address string
	part    *syncpb.Part
}

// fetcher fetches parts independently of the reports. Reports have a short timeout, because
// they show whether the leader is reachable; a part may take as long as the links need. If a
// piece does not arrive, the fetch is aborted. The next gateway that offers the part continues
// it: the data received so far is kept and not sent again.
type fetcher struct {
	client func(address string) syncpb.Peer
	// apply applies a complete part from the gateway at an address.
	apply  func(address string, p *syncpb.Part, data []byte)
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	offers chan offer

	mu sync.Mutex
	// running holds the names of the parts being fetched.
	running map[string]bool
	// partial holds the data received so far of incomplete parts, by name.
	partial map[string]*partialPart
}

// partialPart is the data received so far of a part.
type partialPart struct {
	id   uint64
	data []byte
}

// newFetcher returns a fetcher that passes complete parts to apply.
func newFetcher(client func(string) syncpb.Peer, apply func(string, *syncpb.Part, []byte), now func() time.Time, log *slog.Logger, m *meters) *fetcher {
	return &fetcher{
		client: client, apply: apply, now: now, log: log, meters: m, offers: make(chan offer, maxOffers),
		running: make(map[string]bool), partial: make(map[string]*partialPart),
	}
}

// run fetches the offered parts until ctx ends.
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

// handleOffers starts to fetch the parts that another gateway offers, or to apply those that were
// sent with their data, one of each name at a time. Parts are applied outside the loop that sends
// reports: decoding a configuration of thousands of routes takes longer than a gateway may go
// without reporting.
func (f *fetcher) handleOffers(address string, list []*syncpb.Part) {
	for _, part := range list {
		if part.Size > maxPartSize {
			f.log.Error("offered part is too large", "part", part.Name, "bytes", part.Size, "from", address)
			continue
		}
		if f.claim(part.Name) {
			f.offers <- offer{address, part}
		}
	}
}

// claim marks a part as being fetched. It returns false if it already is or too many parts are.
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

// isFetching reports whether the part is being fetched.
func (f *fetcher) isFetching(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.running[name]
}

// fetch fetches one part, unless it was offered with its data, and applies it.
func (f *fetcher) fetch(ctx context.Context, o offer) {
	defer f.release(o.part.Name)
	if len(o.part.Data) > 0 {
		f.apply(o.address, o.part, o.part.Data)
		return
	}
	began := f.now()
	data, err := f.fetchPieces(ctx, o)
	if err != nil {
		f.meters.inc(partsLeft)
		f.log.Warn("part fetch aborted", "part", o.part.Name, "from", o.address, "bytes", len(data), "of", o.part.Size, "cause", err)
		return
	}
	f.meters.inc(partsFetched)
	f.log.Info("part fetched", "part", o.part.Name, "from", o.address, "bytes", len(data), "took_ms", f.now().Sub(began).Milliseconds())
	f.apply(o.address, o.part, data)
}

// fetchPieces fetches the missing pieces of a part. On an error it returns the data received so
// far, which is also kept for the next attempt.
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

// fetchPiece fetches the piece of a part that starts at the offset.
func (f *fetcher) fetchPiece(ctx context.Context, o offer, offset int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, pieceTimeout)
	defer cancel()
	resp, err := f.client(o.address).Fetch(ctx, &syncpb.FetchRequest{Id: o.part.Id, Offset: uint32(offset)})
	if err != nil {
		f.meters.inc(piecesFailed)
		return nil, err
	}
	if len(resp.Data) == 0 || offset+len(resp.Data) > int(o.part.Size) {
		return nil, fmt.Errorf("invalid piece of %d bytes at offset %d of a part of %d bytes", len(resp.Data), offset, o.part.Size)
	}
	f.meters.inc(piecesFetched)
	return resp.Data, nil
}

// partialFor returns the data received so far of the part. It discards data of another version of
// a part with the same name.
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
