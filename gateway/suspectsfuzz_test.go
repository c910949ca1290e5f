package gateway

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
)

// FuzzSuspectsMessage guards against messages of other gateways that end this one, or whose contents are passed on without a bound.
func FuzzSuspectsMessage(f *testing.F) {
	for _, m := range []*syncpb.Suspects{
		{Crashes: []*syncpb.Crash{{Digest: 1, Event: 2, AgeMs: 3, ConnectionAgeMs: 4, Run: 5}}, Clearings: []*syncpb.Clearing{{Digest: 1, AgeMs: 1}}},
		{Ends: []*syncpb.UpstreamEnd{{Upstream: "u", Incarnation: 1, AgeMs: 1 << 31}}, PossibleEnds: []*syncpb.PossibleEnd{{Digest: 1, Upstream: "u", ConnectionAgeMs: 1 << 31}}},
		{ContradictedEnds: []*syncpb.UpstreamEnd{{Upstream: "u", Incarnation: 1, AgeMs: 1, ConnectionAgeMs: 1}}},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := noSuspects()
		for _, data := range [][]byte{first, second, first} {
			m := &syncpb.Suspects{}
			if proto.Unmarshal(data, m) != nil {
				return
			}
			s.applyMessage(m)
		}
		s.reportNow()
		if m := s.message(); m != nil && max(len(m.Crashes), len(m.Clearings), len(m.Ends), len(m.ContradictedEnds), len(m.PossibleEnds)) > maxSuspectsPerMessage {
			t.Errorf("more is passed on than a gateway accepts: %d crashes, %d ends", len(m.Crashes), len(m.Ends))
		}
		for _, suspect := range s.list() {
			if suspect.Crashes < 1 {
				t.Errorf("suspect without ends: %+v", suspect)
			}
		}
	})
}
