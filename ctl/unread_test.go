package ctl

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// TestPrintUnread checks that headers that upstreams still send are distinguished from those they no longer send.
func TestPrintUnread(t *testing.T) {
	var out bytes.Buffer
	o := &options{out: &out}
	err := o.printUnread(&placementpb.UnreadState{Headers: []*placementpb.UnreadHeader{
		{Service: "pay", Name: "X-New", Upstream: "i-p0", Answers: 3, LastMs: 1200, Sent: true},
		{Service: "status", Name: "X-Old", Upstream: "i-s0", Answers: 1, LastMs: 90_000},
	}})
	if err != nil {
		t.Fatal(err)
	}
	want := "pay  X-New  3 answers, first by i-p0, the last 1s ago; sent\n" +
		"status  X-Old  1 answers, first by i-s0, the last 1m30s ago; not sent any more\n" +
		"2 headers that no code reads\n"
	if d := cmp.Diff(want, out.String()); d != "" {
		t.Error(d)
	}
}
