package gateway

import (
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// This file tracks how current the configuration in force is known to be, from the store or from
// other gateways. The ages add up on the way from the store to a gateway.

// freshness is until when a configuration is known to have been the newest.
type freshness struct {
	// heardAt is when an answer said so, less the age that the answer stated. The answer may have
	// been on its way for a while.
	heardAt time.Time
	// confirmedAt is the same, counted from when the question was asked. It is never too late.
	confirmedAt time.Time
}

// latest returns the later times of both.
func (c freshness) latest(other freshness) freshness {
	return freshness{heardAt: laterOf(c.heardAt, other.heardAt), confirmedAt: laterOf(c.confirmedAt, other.confirmedAt)}
}

// announcedConfiguration is a revision of the configuration and until when another gateway knew it to
// be the newest.
type announcedConfiguration struct {
	revision uint64
	freshness
}

// recordAnnouncement records until when another gateway knew its configuration to be the newest. It
// was asked at the given time.
func (f *follower) recordAnnouncement(resp *syncpb.SyncResponse, asked time.Time) {
	if resp.ConfigRevision == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	known := freshness{heardAt: f.now().Add(-time.Duration(resp.ConfigMs) * time.Millisecond)}
	if resp.ConfigConfirmedMs > 0 {
		known.confirmedAt = asked.Add(-time.Duration(resp.ConfigConfirmedMs) * time.Millisecond)
	}
	switch {
	case f.view.configuration().revision >= resp.ConfigRevision:
		f.configFreshness = f.configFreshness.latest(known)
	case resp.ConfigRevision >= f.announcedConfig.revision:
		f.announcedConfig = announcedConfiguration{revision: resp.ConfigRevision, freshness: known}
	}
}

// configurationFreshness returns until when the configuration in force is known to have been the
// newest, from other gateways or from the own watch.
func (f *follower) configurationFreshness(watched freshness) freshness {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.configFreshness.latest(watched)
	if f.announcedConfig.revision > 0 && f.view.configuration().revision >= f.announcedConfig.revision {
		known = known.latest(f.announcedConfig.freshness)
	}
	return known
}

// configurationAge returns how long ago the configuration in force was last heard to be the newest,
// and how long ago that was certainly so. It returns at most maxReportedAge, also if that was never
// known.
func (g *Gateway) configurationAge() (heard, confirmed time.Duration) {
	return configurationAge(g.follower, g.watcher)
}

func configurationAge(f *follower, w *watcher) (heard, confirmed time.Duration) {
	known := f.configurationFreshness(w.configurationFreshness())
	now := f.now()
	return min(now.Sub(known.heardAt), maxReportedAge), min(now.Sub(known.confirmedAt), maxReportedAge)
}

// maxReportedAge bounds the ages of a configuration. Beyond it, the exact age makes no difference.
const maxReportedAge = time.Hour
