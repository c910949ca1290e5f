package ctl

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// TestPrintEvacuations checks that gateways with an older revision are listed.
func TestPrintEvacuations(t *testing.T) {
	var out bytes.Buffer
	o := &options{out: &out}
	err := o.printEvacuations(&placementpb.EvacuationsState{
		Revision: 31,
		Domains:  []*placementpb.EvacuatedDomain{{Domain: "a", Revision: 31, KnownMs: 61_400, Upstreams: 4, Keys: 12}},
		Gateways: []*placementpb.GatewayRevision{{Node: "g1", Domain: "a", Revision: 31}, {Node: "g2", Domain: "b", Revision: 7}},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := "a  evacuated, revision 31, known for 1m1s: 4 upstreams, which own 12 keys\n" +
		"    g2 in b is at revision 7\n" +
		"1 domains evacuated, 1 of 2 gateways at revision 31\n"
	if d := cmp.Diff(want, out.String()); d != "" {
		t.Error(d)
	}
}
