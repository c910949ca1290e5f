package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

const (
	// shortestReport and longestReport bound the time between reports to the leader, which
	// waits that long for changes before it answers; between them it grows with the gateways
	// by reportPause, as the leader answers all. Younger reports tell better what others
	// have in flight.
	shortestReport = 100 * time.Millisecond
	longestReport  = 250 * time.Millisecond
	reportPause    = time.Millisecond
	// reportTimeout is how long the answer to a report may take beyond that.
	reportTimeout = 400 * time.Millisecond
	// newsAtOnce is within what time an answer with news came at once, newsPause the time to
	// the next report then.
	newsAtOnce = 50 * time.Millisecond
	newsPause  = 25 * time.Millisecond
	// orphanAfter is how long a gateway hears from no leader before it watches
	// the store by itself.
	orphanAfter = 700 * time.Millisecond
	// orphanPause is the time between looks for a leader, seekLook between looks
	// whether one has become known meanwhile.
	orphanPause = 100 * time.Millisecond
	seekLook    = 20 * time.Millisecond
)

// follower keeps in touch with the leader: it reports what this gateway sees
// and takes over what the leader knows.
type follower struct {
	view    *view
	cluster *cluster
	traffic *traffic
	seeds   []string
	// seed says that this gateway is itself among the seeds.
	seed   bool
	now    func() time.Time
	log    *slog.Logger
	meters *meters
	evac   *evacuations
	// sieve drops what others say of upstreams that cannot be.
	sieve *sieve
	// fetcher fetches what is too large for an answer to a report.
	fetcher *fetcher
	// setOwn keeps this process's own report, for those that report to it.
	setOwn func(*localReport)
	// limits are those that upstreams name.
	limits *namedLimits
	// suspects are requests that end upstreams.
	suspects *suspects

	mu sync.Mutex
	// began is when this process began to follow, heard when it last heard from a
	// leader; zero before.
	began time.Time
	heard time.Time
	// news is when this gateway last had news by way of another one.
	news time.Time
	// ahead is the number of gateways of the own failure domain that come before
	// this one: all, or those that answered the last look for a leader.
	ahead int
	// refused says that the leader's address refuses connections.
	refused bool
	// resigned says that the known leader answers and leads no more.
	resigned bool
	// failing is the run of reports to parents without success.
	failing failedReports
	// newest is when the configuration was known to be the newest, by another gateway, and
	// told is the newest one that was told and was not in force then.
	newest time.Time
	told   toldConfiguration
	// wantWhole says that the last difference of the configuration could not be decoded.
	wantWhole bool
}

// reportInterval is the time between reports where there are so many gateways.
func reportInterval(gateways int) time.Duration {
	return min(max(shortestReport, time.Duration(gateways)*reportPause), longestReport)
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := reportInterval(f.cluster.gateways())
		if f.cluster.isLeading() {
			f.noteHeard()
			pause(ctx, interval)
			continue
		}
		if parent := f.cluster.parent(); parent != "" {
			ok, answered := f.report(ctx, parent, interval)
			if ok {
				continue
			}
			if l := f.cluster.knownLeader(); !answered && l.Member.Address != parent {
				f.cluster.avoid(parent)
				if ok, _ = f.report(ctx, l.Member.Address, interval); ok {
					continue
				}
			}
		}
		if !f.seek(ctx) {
			pause(ctx, orphanPause)
		}
	}
}

// report reports to a gateway and takes over its answer. It returns whether
// that gateway leads or hears from the leader, and whether it answered at all.
func (f *follower) report(ctx context.Context, address string, wait time.Duration) (ok, answered bool) {
	limited, cancel := context.WithTimeout(ctx, wait+reportTimeout)
	defer cancel()
	began := f.now()
	resp, err := f.cluster.client(address).Sync(limited, f.request(wait))
	if ctx.Err() == nil {
		// Else it was given up because this process stops.
		f.noteReport(address, reportError(resp, err), f.now().Sub(began))
	}
	if err != nil {
		f.mu.Lock()
		f.refused = errors.Is(err, syscall.ECONNREFUSED)
		f.mu.Unlock()
		if errors.Is(err, context.DeadlineExceeded) {
			// Connections can fall silent together without a reset; others to that
			// gateway would cost one more report each.
			f.cluster.http.CloseIdleConnections()
		}
		return false, false
	}
	f.take(address, resp)
	age := time.Duration(resp.HeardMs) * time.Millisecond
	f.mu.Lock()
	f.refused, f.resigned = false, resp.Leader != nil && resp.Leader.Member.Address == address && !resp.Leading
	if at := f.now().Add(-age); age < orphanAfter && at.After(f.heard) {
		f.heard = at
		f.ahead = f.cluster.ahead()
	}
	f.mu.Unlock()
	f.noteNews(resp)
	if age >= orphanAfter {
		return false, true
	}
	f.takeFleet(resp.Fleet)
	f.cluster.setDemandsAbove(resp.Demands)
	f.cluster.setHotKeys(resp.HotKeys)
	resp.Limits = f.sieve.soundLimits(unsoundNews, resp.Limits)
	f.cluster.setWantedAbove(resp.Limits)
	f.limits.told(resp.Limits)
	f.suspects.told(resp.Suspects)
	f.cluster.setRights(toldRights(resp.Rights), f.now().Add(-time.Duration(resp.RightsMs)*time.Millisecond))
	f.shareLoads(int(resp.Gateways))
	if f.now().Sub(began) < newsAtOnce {
		// The next report can wait a little.
		pause(ctx, newsPause)
	}
	return true, true
}

// takeFleet takes over what the parent told of the others' requests in flight, if it did.
func (f *follower) takeFleet(m *syncpb.Fleet) {
	if m == nil {
		return
	}
	if loads, works, ok := f.view.takeFleet(m); ok {
		f.cluster.setAbove(loads, works)
	}
}

// needsWhole reports whether the next configuration is to be told whole.
func (f *follower) needsWhole() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wantWhole
}

// shareLoads tells the decisions about requests what all other gateways have in
// flight: those above, and those that report to this one.
func (f *follower) shareLoads(gateways int) {
	self := f.cluster.self.Node
	rights, named := f.cluster.rightsAbove()
	f.traffic.applyReport(dispatch.ClusterReport{
		InFlight: f.cluster.inFlightElsewhere(), WorkTimes: f.cluster.worksAbove(), Gateways: gateways,
		Rights: held(f.view.inst.Load(), rights, named, self), Limits: f.limits.news(f.cluster.wantedByOthers),
	}, f.cluster.demandElsewhere(self, nil), admitted(f.cluster.hotKeysAbove()))
}

// request builds a report.
func (f *follower) request(wait time.Duration) *syncpb.SyncRequest {
	evacuated := f.view.evac.Load()
	r := &syncpb.SyncRequest{
		Member: f.cluster.selfKnowing(evacuated.Revision()), SpansVersions: make(map[string]uint64),
		WaitMs: uint32(wait.Milliseconds()), Evacuations: evacuationMessages(evacuated),
	}
	config := f.view.configuration()
	r.ConfigRevision = config.revision
	r.InstancesRevision, r.InstancesVersion = f.view.upstreamsKnown()
	if !f.needsWhole() {
		r.ConfigDigest = config.digest
	}
	r.Fetching = f.fetcher.fetching()
	for name, t := range *f.view.owners.Load() {
		r.SpansVersions[name] = t.Version
	}
	r.MembersVersion = f.cluster.membersVersion()
	if wait == 0 {
		return r
	}
	own := f.traffic.takeReport()
	f.setOwn(own)
	r.Demands = demandMessages(f.cluster.demandBelow(own.demand))
	r.Limits = f.limits.messages(func(upstream string) float64 { return f.cluster.wantedBelow(own.limitedDemand, upstream) })
	r.Suspects = f.suspects.messages()
	r.Followers = f.cluster.followers()
	f.cluster.keepRuns(own.loads)
	r.Loads = withRuns(f.cluster.below(own.loads), f.cluster.takeRuns())
	for name, list := range own.keys {
		k := &syncpb.KeyCounts{Service: name}
		for _, key := range list {
			k.Keys = append(k.Keys, uint32(key))
		}
		r.Keys = append(r.Keys, k)
	}
	return r
}

// noteNews notes how fresh the view is that another gateway has told.
func (f *follower) noteNews(resp *syncpb.SyncResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age := time.Duration(resp.NewsMs) * time.Millisecond
	if at := f.now().Add(-age); age < orphanAfter && at.After(f.news) {
		f.news = at
	}
}

// seek asks other gateways for the leader and for news: those of the own failure
// domain first, then the seeds and all others. It ends early, and reports so, when
// another gateway to report to has become known: after a loss of power some of those
// asked are dark yet.
func (f *follower) seek(ctx context.Context) (found bool) {
	former := f.cluster.parent()
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		f.askAll(ctx)
	}()
	look := time.NewTicker(seekLook)
	defer look.Stop()
	for ended := false; !ended; {
		select {
		case <-asked:
			ended = true
		case <-look.C:
		}
		if parent := f.cluster.parent(); parent != "" && parent != former {
			return true
		}
	}
	return false
}

// askAll asks all candidates and waits for their answers.
func (f *follower) askAll(ctx context.Context) {
	var ahead atomic.Int64
	var all sync.WaitGroup
	for _, m := range f.candidates() {
		all.Go(func() {
			limited, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			resp, err := f.cluster.client(m.Address).Sync(limited, f.request(0))
			if ctx.Err() == nil {
				f.meters.inc(fillPattern(reportAnswer, reportEnd(reportError(resp, err))))
			}
			if err != nil {
				return
			}
			f.take(m.Address, resp)
			f.noteNews(resp)
			if m.Domain == f.cluster.self.Domain && before(m, f.cluster.self) {
				ahead.Add(1)
			}
		})
	}
	all.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ahead = int(ahead.Load())
}

// candidates returns the gateways that are asked in a look for a leader.
func (f *follower) candidates() []*syncpb.Member {
	members, _ := f.cluster.list()
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
	list := append(mates[:min(mostMates, len(mates))], others...)
	asked := map[string]bool{f.cluster.self.Address: true}
	var out []*syncpb.Member
	for _, m := range list {
		if !asked[m.Address] && len(out) < mostAsked {
			asked[m.Address] = true
			out = append(out, m)
		}
	}
	return out
}

// mostMates bounds the gateways of the own failure domain among those asked.
const mostMates = 2

// mostAsked bounds the gateways that are asked for the leader at once.
const mostAsked = 5

func (f *follower) noteHeard() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = f.now()
}

// lostFor returns how long no leader has answered, whether the address of the
// known one refuses connections, and whether it answers and leads no more.
func (f *follower) lostFor() (lost time.Duration, refused, resigned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(later(f.began, f.heard)), f.refused, f.resigned
}

// heardAgo returns how long ago this process heard from a leader; long when it
// never did.
func (f *follower) heardAgo() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.heard)
}

// needsStore reports whether this gateway should watch the store itself: it has
// had no news for a while. Gateways that find others of their failure domain before
// them leave those a head start, and follow them; so the loss of a leader does
// not bring all gateways to the store at once. watched is when the own watch last
// had an answer.
func (f *follower) needsStore(watched time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	wait := orphanAfter + time.Duration(min(f.ahead, mostMates))*headStart
	if f.view.table.Load() == nil && f.news.IsZero() {
		// It has just started, and nobody that it asked has news.
		wait = f.startWait()
	}
	if !watched.IsZero() && now.Sub(watched) < watchKept {
		// It has begun: go on until the leader is heard again.
		return now.Sub(f.heard) > orphanAfter
	}
	return now.Sub(later(f.began, later(f.heard, f.news))) > wait
}

const (
	// headStart is how much longer a gateway waits for each that is before it:
	// the time for a list of everything and for its news.
	headStart = 400 * time.Millisecond
	// seedWait is how long a gateway that has just started, and is a seed, asks
	// others before it goes to the store; any gateway asks so long before it looks at
	// the lease, which may be that of the process before it.
	seedWait = 100 * time.Millisecond
	// seedHeadStart is how much longer the others wait: they ask the seeds. It is the
	// time to list some hundred upstreams in pages of fifty, and to be asked again.
	seedHeadStart = 300 * time.Millisecond
	// watchKept is how long after its last answer a watch counts as going on.
	watchKept = watchWait + storeTimeout
)

// startWait is how long this gateway asks others after its start before it goes to
// the store for its view. After all were killed at once the seeds go first and the
// rest learns from them: else each of a hundred would list all upstreams.
func (f *follower) startWait() time.Duration {
	if f.seed || len(f.seeds) == 0 {
		return seedWait
	}
	return seedWait + seedHeadStart
}

// alone reports whether this gateway has just started and nobody that it asked
// has news.
func (f *follower) alone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.news.IsZero() && f.heard.IsZero() && f.now().Sub(f.began) > seedWait
}

// newsAge returns how old the view is at most.
func (f *follower) newsAge(watched time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(later(later(f.heard, f.news), watched))
}
