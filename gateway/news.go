package gateway

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/delta"
)

// This file applies what other gateways send.

// applyResponse applies everything in a response that is newer than this gateway's own view. asked is
// when the response was asked for.
func (f *follower) applyResponse(address string, resp *syncpb.SyncResponse, asked time.Time) {
	if f.cluster.setLeader(resp.Leader) && resp.HeardMs < milliseconds(leaderSilenceTimeout) && len(resp.Members) > 0 {
		f.cluster.setMembers(resp.MembersVersion, resp.Members, resp.Domains)
	}
	// Apply evacuations before upstreams, so that no upstream is used that is known to be in an
	// evacuated failure domain.
	f.evac.applyFromPeer(resp.Evacuations)
	// Record the announcement before the parts are handled, because an offered part may come into
	// force at once.
	f.recordAnnouncement(resp, asked)
	f.fetcher.handleOffers(address, resp.Parts)
	if resp.Instances != nil {
		f.applyUpstreams(address, resp.Instances)
	}
	for _, m := range resp.Spans {
		f.applyOwners(m)
	}
}

func (f *follower) applyUpstreams(address string, m *syncpb.Instances) {
	f.validator.filterInstances(m)
	former := f.view.inst.Load()
	err := f.view.applyInstances(m)
	f.setWantAllUpstreams(errors.Is(err, errBaseNotKept))
	if err != nil {
		f.meters.inc(viewUpstreamsIgnored)
		revision, version := f.view.upstreamsVersion()
		f.log.Info("list of upstreams ignored", "cause", err, "from", address, "revision", m.Revision, "version", m.Version, "base", m.Base,
			"own_revision", revision, "own_version", version)
	}
	if next := f.view.inst.Load(); next != nil {
		lost, _, _ := f.leaderSilence()
		now := f.now()
		logLeaving(f.log, former, next, "from", "gateway", "sender", address, "parent", f.cluster.parent(), "leader_heard_ms_ago", lost.Milliseconds(),
			"earliest_ms_ago", now.Sub(f.traffic.currency.EarliestChange(now)).Milliseconds())
	}
}

// lacksUpstreams reports whether this gateway, after a response was applied, lacks upstreams that the sender
// has.
func (f *follower) lacksUpstreams(resp *syncpb.SyncResponse) bool {
	revision, version := f.view.upstreamsVersion()
	return resp.InstancesVersion != 0 && resp.InstancesVersion != version && resp.InstancesRevision >= revision
}

// recordLag records, after a parent's response was applied, whether this gateway lacks upstreams that the
// parent has. A gateway that has just started and has none is not behind, and one that lacks none needs no
// whole list.
func (f *follower) recordLag(address string, resp *syncpb.SyncResponse) {
	revision, version := f.view.upstreamsVersion()
	now, lacks := f.now(), f.lacksUpstreams(resp)
	if !lacks {
		f.setWantAllUpstreams(false)
	}
	if f.lag.Observe(now, version != 0 && lacks) {
		f.log.Warn("upstreams are behind those of the parent", "parent", address, "behind_ms", f.lag.Age(now).Milliseconds(), "revision", revision, "version", version,
			"parent_revision", resp.InstancesRevision, "parent_version", resp.InstancesVersion, "fetching", f.fetcher.isFetching(partUpstreams))
	}
}

func (f *follower) applyOwners(m *syncpb.Spans) {
	if err := f.view.applySpans(m); err != nil {
		f.log.Error("invalid key owners from another gateway", "error", err)
	}
}

// applyPart decodes and applies a part.
func (f *follower) applyPart(address string, part *syncpb.Part, data []byte) {
	if err := f.decodePart(address, part, data); err != nil {
		f.log.Error("cannot apply part", "part", part.Name, "bytes", len(data), "error", err)
	}
}

func (f *follower) decodePart(address string, part *syncpb.Part, data []byte) error {
	if delta.Digest(data) != part.Id {
		return errors.New("the digest of the data does not match the part")
	}
	if part.Name == partConfiguration {
		return f.applyConfiguration(part, data)
	}
	document, err := delta.Decode(nil, data)
	if err != nil {
		return err
	}
	if part.Name == partUpstreams {
		m := &syncpb.Instances{}
		if err := proto.Unmarshal(document, m); err != nil {
			return err
		}
		f.applyUpstreams(address, m)
		return nil
	}
	if _, ok := serviceOf(part.Name); !ok {
		return errors.New("unknown part name")
	}
	m := &syncpb.Spans{}
	if err := proto.Unmarshal(document, m); err != nil {
		return err
	}
	f.applyOwners(m)
	return nil
}

// applyConfiguration applies a configuration. If it cannot be decoded, the next request asks for
// the whole configuration instead of a difference.
func (f *follower) applyConfiguration(part *syncpb.Part, data []byte) error {
	if part.Revision <= f.view.configuration().revision {
		return nil
	}
	spec, err := delta.Decode(f.view.configurationSpec(part.Base), data)
	f.mu.Lock()
	f.wantFullConfig = err != nil
	f.mu.Unlock()
	if err != nil {
		return err
	}
	decoded, err := platform.DecodeConfiguration(spec)
	if err != nil {
		return err
	}
	if f.view.setConfiguration(part.Revision, spec, decoded) {
		f.log.Info("configuration in force", "version", decoded.Version, "routes", len(decoded.Routes), "from", "gateway", "bytes", len(data))
	}
	return nil
}
