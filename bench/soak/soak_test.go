package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/standin/instance"
)

// A seed must always give the same plan, otherwise failures cannot be reproduced, and each
// kind of fault must occur.
func TestPlanIsDeterministicForItsSeed(t *testing.T) {
	if diff := cmp.Diff(NewPlan(7, 50), NewPlan(7, 50)); diff != "" {
		t.Error(diff)
	}
	seen := make(map[Kind]bool)
	for _, step := range NewPlan(7, 500).Steps {
		seen[step.Kind] = true
		if step.Delay >= maxDelay || step.Duration >= maxFaultDuration {
			t.Errorf("step is out of bounds: %+v", step)
		}
	}
	for _, k := range append([]Kind{Restart, Evacuate, Rest, LeaveByResponses, Refusals, TakeOver, Endless, Broken}, weightedKinds...) {
		if !seen[k] {
			t.Errorf("kind %s does not occur", k)
		}
	}
}

// TestPlanOfSomeKindsKeepsItsTimes guards against steps that begin at other times because others are left out.
func TestPlanOfSomeKindsKeepsItsTimes(t *testing.T) {
	plan := NewPlan(7, 50)
	begins := func(p Plan) (out []string) {
		at := time.Duration(0)
		for _, step := range p.Steps {
			at += step.Delay
			if step.Kind == Refusals || step.Kind == Kill {
				out = append(out, fmt.Sprint(at, step.Kind, step.Duration, step.Target, step.Variant))
			}
		}
		return out
	}
	some := plan.Only([]Kind{Refusals, Kill})
	if diff := cmp.Diff(begins(plan), begins(some)); diff != "" || len(some.Steps) != len(begins(some)) {
		t.Errorf("%d steps: %s", len(some.Steps), diff)
	}
	if diff := cmp.Diff(plan, plan.Only(nil)); diff != "" {
		t.Error(diff)
	}
}

func TestInvalidSizesAreRejectedBeforeAnyFileIsWritten(t *testing.T) {
	good := Size{Gateways: 5, Upstreams: 8, Steps: 20}
	if err := good.Check(4096); err != nil {
		t.Error(err)
	}
	for name, bad := range map[string]Size{
		"one gateway":     {Gateways: 1, Upstreams: 8, Steps: 20},
		"no upstreams":    {Gateways: 5, Steps: 20},
		"no steps":        {Gateways: 5, Upstreams: 8},
		"too much memory": {Gateways: 100, Upstreams: 8, Steps: 20},
	} {
		if bad.Check(4096) == nil {
			t.Errorf("size is accepted: %s", name)
		}
	}
	dir := t.TempDir()
	for _, args := range [][]string{{"--seed", "seven"}, {"--seed", "7", "--gateways", "1"}} {
		cmd := Command(&strings.Builder{})
		cmd.SetArgs(append([]string{"run", "--dir", filepath.Join(dir, "run")}, args...))
		if cmd.Execute() == nil {
			t.Errorf("arguments are accepted: %v", args)
		}
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) > 0 {
		t.Errorf("files were written: %v, %v", files, err)
	}
}

// TestMonitorReportsViolations guards against a soak test that passes because the monitor
// misses violations.
func TestMonitorReportsViolations(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
		run    bool
		want   int
	}{
		"answered":                       {200, "done r by i", true, 0},
		"answer to another request":      {200, "done x by i", true, 1},
		"part of an answer":              {200, "done r b", true, 1},
		"part of an upstream's ID":       {200, "done r by ", true, 1},
		"more than an answer":            {200, "done r by idone r by i", true, 1},
		"refused and ran":                {503, "", true, 1},
		"refused and never ran":          {503, "", false, 0},
		"unexpected client error status": {404, "", false, 1},
		"unknown outcome":                {502, "", true, 0},
	} {
		m := newMonitor(&deployment{oracle: oracleWith(c.run), allUpstreams: []*upstream{{Instance: &instance.Instance{ID: "i"}}}})
		m.checkResponse("r", c.status, c.body)
		if got := append(m.violations, m.promises.broken(m.deployment.oracle)...); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// oracleWith returns an oracle that has recorded a run of request r if run is true.
func oracleWith(run bool) *instance.Oracle {
	o := instance.NewOracle()
	if run {
		o.RecordRun("i", "r", "POST")
	}
	return o
}

func TestPage(t *testing.T) {
	dir := t.TempDir()
	r := &Report{Seed: 7, Size: Size{Gateways: 5}, Events: []Event{{At: time.Second, Description: "kill"}},
		Violations: []string{"two owners"}, Seconds: []map[outcome]int{{served: 10}, {served: 8, refused: 2}}}
	run := filepath.Join(dir, "7")
	if err := os.Mkdir(run, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := r.Save(run); err != nil {
		t.Fatal(err)
	}
	reports, err := Load(dir)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]*Report{r}, reports); diff != "" {
		t.Error(diff)
	}
	name := filepath.Join(dir, "soak.html")
	if err := WritePage(name, reports); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"two owners", "data:image/svg", "Seed 7"} {
		if !strings.Contains(string(page), part) {
			t.Errorf("page does not contain %q", part)
		}
	}
}

// The kernel can return a port again after its listener is closed. If two of a gateway's four
// addresses are the same, the gateway does not start. This happened in about one of a hundred
// runs.
func TestFreeAddressesAreDistinct(t *testing.T) {
	for range 2000 {
		list, err := freeAddresses("127.0.0.1", 4)
		if err != nil {
			t.Fatal(err)
		}
		seen := make(map[string]bool)
		for _, a := range list {
			seen[a] = true
		}
		if len(seen) != len(list) {
			t.Fatalf("addresses are not distinct: %v", list)
		}
	}
}

// TestLateRequestsAfterRemovalAreFound guards against missed late requests and against blaming gateways with faults.
func TestLateRequestsAfterRemovalAreFound(t *testing.T) {
	removed := time.Unix(1000, 0)
	unstable := []interval{{removed.Add(-stableTime / 2), removed}}
	for name, c := range map[string]struct {
		after time.Duration
		// gateway, path and store are the faults of the gateway, of its path to the store and of the store.
		gateway, path, store []interval
		want                 int
	}{
		"in time":                         {after: upstreamDrain},
		"late":                            {after: upstreamDrain + 1, want: 1},
		"late after a fault of a gateway": {after: upstreamDrain + 1, gateway: unstable},
		"late after a fault of its path":  {after: upstreamDrain + 1, path: unstable},
		"late after a fault of the store": {after: upstreamDrain + 1, store: unstable},
	} {
		g, store := &gateway{}, &faultIntervals{intervals: c.store}
		g.faults.intervals, g.storeFaults.intervals = c.gateway, c.path
		l := newRequestLog()
		l.add("r", sentRequest{gateway: g, sent: removed.Add(c.after)})
		u := &upstream{Instance: instance.New("i", false, 0, instance.NewOracle()), removedAt: removed}
		arrivals := []instance.Arrival{{RequestID: "r", ReceivedAt: removed.Add(c.after)}}
		if got := l.requestsAfterRemoval(u, g, arrivals, store); len(got) != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// TestCutGatewaysMustServe checks the comparison of gateways that are cut off with the others in the same
// periods.
func TestCutGatewaysMustServe(t *testing.T) {
	began := time.Now()
	cutOff, other := &gateway{name: "cut"}, &gateway{name: "other"}
	c := cut{gateways: map[*gateway]bool{cutOff: true}, from: began, to: began.Add(10 * time.Second)}
	for _, tt := range []struct {
		name               string
		inside, outside    outcome
		outsideFrom, until time.Duration
		want               int
	}{
		{"both serve", served, served, 0, 10 * time.Second, 0},
		{"the cut one refuses", refused, served, 0, 10 * time.Second, 1},
		{"both refuse", refused, refused, 0, 10 * time.Second, 0},
		{"the cut one refuses as long as it may", refused, served, 0, cutSettleTime, 0},
		{"the cut one refuses while there is no other", refused, served, 8 * time.Second, 8 * time.Second, 0},
		{"the cut one refuses a few", refused, served, 0, cutSettleTime + 500*time.Millisecond, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := newRequestLog()
			for at, i := time.Duration(0), 0; at < 10*time.Second; at, i = at+50*time.Millisecond, i+1 {
				inside := served
				if at < tt.until {
					inside = tt.inside
				}
				l.add(fmt.Sprint("in", i), sentRequest{gateway: cutOff, sent: began.Add(at), outcome: inside})
				if at >= tt.outsideFrom {
					l.add(fmt.Sprint("out", i), sentRequest{gateway: other, sent: began.Add(at), outcome: tt.outside})
				}
			}
			if got := c.violations(l, &faultIntervals{}); len(got) != tt.want {
				t.Errorf("%v, want %d", got, tt.want)
			}
		})
	}
}

// TestPeakMemoryIsRead guards against a check of memory that reads nothing.
func TestPeakMemoryIsRead(t *testing.T) {
	if mb := peakMemoryMB(os.Getpid()); mb < 1 || mb > 4096 {
		t.Errorf("this process took %d MB", mb)
	}
}
