package capacity

import "testing"

func findLine(t *testing.T, lines []Line, role, what, unit string) Line {
	t.Helper()
	for _, l := range lines {
		if l.Role == role && l.What == what && l.Unit == unit {
			return l
		}
	}
	t.Fatalf("no line %s %s %s", role, what, unit)
	return Line{}
}

// At the sizes that were measured, the memory estimate is within a factor of two of the measured
// peaks of 18 MB and 25 MB.
func TestEstimateMatchesMeasuredMemory(t *testing.T) {
	small := Estimate(DeploymentSize{Gateways: 11, Domains: 3, Upstreams: 35, Keyed: 11, Rate: 569})
	large := Estimate(DeploymentSize{Gateways: 78, Domains: 3, Upstreams: 346, Keyed: 119, Rate: 1400})
	for _, c := range []struct {
		got, want float64
	}{
		{findLine(t, small, "busiest", "memory", "MB").Value, 18},
		{findLine(t, large, "busiest", "memory", "MB").Value, 25},
	} {
		if c.got < c.want/2 || c.got > c.want*2 {
			t.Errorf("%.3f, measured %.3f", c.got, c.want)
		}
	}
	if findLine(t, small, "leader", "renewals", "calls/s").Value != 176 {
		t.Error("renewals for the initial spans of eleven upstreams are not 176 per second")
	}
}

// TestFleetMemoryMatches checks the estimate against the peak of 99 MB measured at the largest size that
// was played.
func TestFleetMemoryMatches(t *testing.T) {
	fleet := Estimate(DeploymentSize{Gateways: 985, Domains: 5, Upstreams: 10_003, Keyed: 3440, Rate: 2700})
	if got := findLine(t, fleet, "busiest", "memory", "MB").Value; got < 99*0.7 || got > 99*1.3 {
		t.Errorf("%.0f MB, measured 99 MB", got)
	}
	if got := findLine(t, fleet, "leader", "renewals", "calls/s").Value; got != 3440 {
		t.Errorf("%.0f renewals a second, one for each keyed upstream is due", got)
	}
}

// TestLeaderCostDependsOnSpansNotOnGateways checks that beyond the fan-out of the reporting tree more
// gateways cost the leader nothing, that below it they do, and that its renewals do not fit.
func TestLeaderCostDependsOnSpansNotOnGateways(t *testing.T) {
	small := DeploymentSize{Gateways: 30, Domains: 3, Upstreams: 1000, Keyed: 400, Rate: 1e4}
	grown := small
	grown.Gateways = 150
	if a, b := findLine(t, Estimate(small), "leader", "control", "bytes/s"), findLine(t, Estimate(grown), "leader", "control", "bytes/s"); b.Value <= a.Value {
		t.Errorf("%.0f bytes a second at 150 gateways, %.0f at 30", b.Value, a.Value)
	}
	shape := DeploymentSize{Gateways: 300, Domains: 3, Upstreams: 1000, Keyed: 400, Rate: 1e4}
	larger := shape
	larger.Gateways *= 10
	a, b := Estimate(shape), Estimate(larger)
	if got, want := findLine(t, b, "leader", "control", "cores").Value, findLine(t, a, "leader", "control", "cores").Value; got > want {
		t.Errorf("%.4f cores at ten times the gateways, %.4f before", got, want)
	}
	if l := findLine(t, b, "leader", "control", "cores"); l.Fits() {
		t.Errorf("%.3f cores are reported to fit the limit of %.3f", l.Value, l.Limit)
	}
	if findLine(t, a, "all", "store calls", "calls/s") != findLine(t, b, "all", "store calls", "calls/s") {
		t.Error("store calls grow with the number of gateways")
	}
}

func TestValidateDeploymentSize(t *testing.T) {
	good := DeploymentSize{Gateways: 11, Domains: 3, Upstreams: 35, Keyed: 11, Rate: 569}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for name, bad := range map[string]DeploymentSize{
		"no gateways":     {Domains: 1, Upstreams: 1},
		"too many keyed":  {Gateways: 1, Domains: 1, Upstreams: 1, Keyed: 2},
		"empty domains":   {Gateways: 2, Domains: 3, Upstreams: 1},
		"rate below zero": {Gateways: 1, Domains: 1, Upstreams: 1, Rate: -1},
	} {
		if bad.Validate() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}
