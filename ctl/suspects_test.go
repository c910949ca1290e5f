package ctl

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// TestPrintSuspects checks that blocked requests are distinguished from those still sent to upstreams.
func TestPrintSuspects(t *testing.T) {
	var out bytes.Buffer
	o := &options{out: &out}
	err := o.printSuspects(&placementpb.SuspectsState{List: []*placementpb.Suspect{
		{Digest: "00c0ffee12345678", Crashes: 3, LastMs: 12_400, Refused: true}, {Digest: "0000000000000001", Crashes: 1, LastMs: 900},
	}})
	if err != nil {
		t.Fatal(err)
	}
	want := "00c0ffee12345678  3 upstreams ended with it, the last 12s ago; sent no more\n" +
		"0000000000000001  1 upstreams ended with it, the last 1s ago; sent on\n" +
		"2 requests suspected\n"
	if d := cmp.Diff(want, out.String()); d != "" {
		t.Error(d)
	}
}
