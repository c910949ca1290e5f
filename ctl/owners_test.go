package ctl

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// TestPrintOwners checks that the reason is printed for upstreams that get no keys.
func TestPrintOwners(t *testing.T) {
	var out bytes.Buffer
	o := &options{out: &out}
	err := o.printOwners(&placementpb.OwnersState{Services: []*placementpb.ServiceOwners{{
		Service: "status", Moving: 1, Owners: []*placementpb.OwnerState{
			{Upstream: "u1", Keys: 65000, Spans: 140, Load: 480, Capacity: 100, Usable: true, Keeps: true},
			{Upstream: "u2", Capacity: 90, FailingMs: 16000, Reached: true},
			{Upstream: "u3", Capacity: 90, FailingMs: 500, Keeps: true},
			{Upstream: "u4", Capacity: 90, Keeps: true, Warming: true},
			{Upstream: "u5", Capacity: 90},
		},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	want := "status  5 upstreams, 1 moves under way\n" +
		"    u1  65000 keys in 140 spans, 480 of 100 requests a second\n" +
		"    u2  0 keys in 0 spans, 0 of 90 requests a second; given none: grants fail for 16s, other calls are answered\n" +
		"    u3  0 keys in 0 spans, 0 of 90 requests a second; given none: calls fail for 500ms\n" +
		"    u4  0 keys in 0 spans, 0 of 90 requests a second; given none: warms up\n" +
		"    u5  0 keys in 0 spans, 0 of 90 requests a second; given none: leaves or has ended\n"
	if d := cmp.Diff(want, out.String()); d != "" {
		t.Error(d)
	}
}
