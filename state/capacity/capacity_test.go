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
		{findLine(t, small, "gateway", "memory", "MB").Value, 18},
		{findLine(t, large, "gateway", "memory", "MB").Value, 25},
	} {
		if c.got < c.want/2 || c.got > c.want*2 {
			t.Errorf("%.3f, measured %.3f", c.got, c.want)
		}
	}
	if findLine(t, small, "leader", "renewals", "calls/s").Value != 176 {
		t.Error("renewals for the initial spans of eleven upstreams are not 176 per second")
	}
}

func TestLeaderCostGrowsWithGateways(t *testing.T) {
	shape := DeploymentSize{Gateways: 300, Domains: 3, Upstreams: 1000, Keyed: 400, Rate: 1e4}
	larger := shape
	larger.Gateways *= 10
	a, b := Estimate(shape), Estimate(larger)
	if findLine(t, b, "leader", "control", "cores").Value <= findLine(t, a, "leader", "control", "cores").Value {
		t.Error("the leader's cost does not grow with the number of gateways")
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
