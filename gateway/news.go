package gateway

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/delta"
)

// This file takes over what other gateways tell.

// take takes over what is newer than this gateway's own view.
func (f *follower) take(address string, resp *syncpb.SyncResponse) {
	if f.cluster.setLeader(resp.Leader) && resp.HeardMs < milliseconds(leaderSilenceTimeout) && len(resp.Members) > 0 {
		f.cluster.setMembers(resp.MembersVersion, resp.Members)
	}
	// Before upstreams: none is used that is known to be in an evacuated failure domain.
	f.evac.told(resp.Evacuations)
	// First, as a part may be in force as soon as it is offered.
	f.noteConfiguration(resp)
	f.fetcher.offered(address, resp.Parts)
	if resp.Instances != nil {
		f.takeUpstreams(resp.Instances)
	}
	for _, m := range resp.Spans {
		f.takeOwners(m)
	}
}

func (f *follower) takeUpstreams(m *syncpb.Instances) {
	f.sieve.instances(m)
	f.view.takeInstances(m)
}

func (f *follower) takeOwners(m *syncpb.Spans) {
	if err := f.view.takeSpans(m); err != nil {
		f.log.Error("owners from another gateway are not valid", "error", err)
	}
}

// takePart takes over a part of the news.
func (f *follower) takePart(part *syncpb.Part, data []byte) {
	if err := f.decodePart(part, data); err != nil {
		f.log.Error("part of the news cannot be read", "part", part.Name, "bytes", len(data), "error", err)
	}
}

func (f *follower) decodePart(part *syncpb.Part, data []byte) error {
	if delta.Digest(data) != part.Id {
		return errors.New("the bytes are not those of the part")
	}
	if part.Name == partConfiguration {
		return f.takeConfiguration(part, data)
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
		f.takeUpstreams(m)
		return nil
	}
	if _, ok := serviceOf(part.Name); !ok {
		return errors.New("a part of unknown name")
	}
	m := &syncpb.Spans{}
	if err := proto.Unmarshal(document, m); err != nil {
		return err
	}
	f.takeOwners(m)
	return nil
}

// takeConfiguration takes over a configuration. After one that cannot be decoded the
// next is asked for whole.
func (f *follower) takeConfiguration(part *syncpb.Part, data []byte) error {
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

// toldConfiguration is a revision of the configuration, and when another gateway knew it
// to be the newest.
type toldConfiguration struct {
	revision uint64
	at       time.Time
}

// noteConfiguration notes when another gateway knew its configuration to be the newest.
func (f *follower) noteConfiguration(resp *syncpb.SyncResponse) {
	if resp.ConfigRevision == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.now().Add(-time.Duration(resp.ConfigMs) * time.Millisecond)
	switch {
	case f.view.configuration().revision >= resp.ConfigRevision:
		f.configNewestAt = laterOf(f.configNewestAt, at)
	case resp.ConfigRevision >= f.toldConfig.revision:
		f.toldConfig = toldConfiguration{revision: resp.ConfigRevision, at: at}
	}
}

// configurationAge returns how long ago the configuration was known to be the newest,
// from another gateway or by the own watch, which was last heard at watched; an hour when
// it never was.
func (f *follower) configurationAge(watched time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := laterOf(f.configNewestAt, watched)
	if f.toldConfig.revision > 0 && f.view.configuration().revision >= f.toldConfig.revision {
		newest = laterOf(newest, f.toldConfig.at)
	}
	return min(f.now().Sub(newest), time.Hour)
}
