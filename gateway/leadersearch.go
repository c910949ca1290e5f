package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file asks other gateways for the leader when this one has no contact with it.

const (
	// seekRetryInterval is the time between searches for a leader. seekPollInterval is the time
	// between checks, during a search, whether a parent has become known in the meantime.
	seekRetryInterval = 100 * time.Millisecond
	// seekIntervalPerGateway, times the number of gateways of the failure domain, is the time between
	// searches if that is longer. All of them ask the same few gateways when the domain is cut off, and
	// each of these answers at most 500 searches a second.
	seekIntervalPerGateway = 2 * time.Millisecond
	seekPollInterval       = 20 * time.Millisecond
)

// seekInterval returns the time between searches for a leader, in a failure domain with the given number
// of gateways.
func seekInterval(domainGateways int) time.Duration {
	return max(seekRetryInterval, time.Duration(domainGateways)*seekIntervalPerGateway)
}

// seekLeader asks other gateways for the leader and for cluster state: first those of the own
// failure domain, then the seeds and all others. It returns true early when another gateway to
// report to becomes known, because after a power loss some of the gateways asked may not be
// running yet.
func (f *follower) seekLeader(ctx context.Context) (found bool) {
	former := f.cluster.parent()
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		f.askCandidates(ctx)
	}()
	ticker := time.NewTicker(seekPollInterval)
	defer ticker.Stop()
	for ended := false; !ended; {
		select {
		case <-asked:
			ended = true
		case <-ticker.C:
		}
		if parent := f.cluster.parent(); parent != "" && parent != former {
			return true
		}
	}
	return false
}

// askCandidates asks all candidates concurrently and waits for their responses.
func (f *follower) askCandidates(ctx context.Context) {
	var ahead atomic.Int64
	var all sync.WaitGroup
	for _, m := range f.candidates() {
		all.Go(func() {
			limited, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			asked := f.now()
			resp, err := f.cluster.client(m.Address).Sync(limited, f.request(0))
			if ctx.Err() == nil {
				f.meters.inc(fillPattern(reportAnswer, reportOutcome(reportError(resp, err))))
			}
			if err != nil {
				return
			}
			f.applyResponse(m.Address, resp, asked)
			f.recordUpdate(resp)
			if m.Domain == f.cluster.self.Domain && stronger(m, f.cluster.self) {
				ahead.Add(1)
			}
		})
	}
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.domainPeersAhead = int(ahead.Load())
}

// candidates returns the gateways to ask in a search for a leader.
func (f *follower) candidates() []*syncpb.Member {
	members, _ := f.cluster.allMembers()
	var mates, others []*syncpb.Member
	for _, m := range members {
		switch {
		case m.Address == f.cluster.self.Address:
		case m.Domain == f.cluster.self.Domain:
			mates = append(mates, m)
		default:
			others = append(others, m)
		}
	}
	for _, s := range f.seeds {
		others = append([]*syncpb.Member{{Address: s}}, others...)
	}
	list := append(mates[:min(maxDomainPeersAsked, len(mates))], others...)
	asked := map[string]bool{f.cluster.self.Address: true}
	var out []*syncpb.Member
	for _, m := range list {
		if !asked[m.Address] && len(out) < maxPeersAsked {
			asked[m.Address] = true
			out = append(out, m)
		}
	}
	return out
}

// maxDomainPeersAsked limits the gateways of the own failure domain among those asked.
const maxDomainPeersAsked = 2

// maxPeersAsked limits the gateways that are asked for the leader at the same time.
const maxPeersAsked = 5
