package capacity

import "testing"

func find(t *testing.T, lines []Line, role, what, unit string) Line {
	t.Helper()
	for _, l := range lines {
		if l.Role == role && l.What == what && l.Unit == unit {
			return l
		}
	}
	t.Fatalf("no line %s %s %s", role, what, unit)
	return Line{}
}

// TestEstimateAtMeasuredSizes: at the sizes that were played the memory lies within a
// factor of two of the peaks on the users' bench, 18 MB and 25 MB.
func TestEstimateAtMeasuredSizes(t *testing.T) {
	small := Estimate(Shape{Gateways: 11, Domains: 3, Upstreams: 35, Keyed: 11, Rate: 569})
	large := Estimate(Shape{Gateways: 78, Domains: 3, Upstreams: 346, Keyed: 119, Rate: 1400})
	for _, c := range []struct {
		got, want float64
	}{
		{find(t, small, "gateway", "memory", "MB").Value, 18},
		{find(t, large, "gateway", "memory", "MB").Value, 25},
	} {
		if c.got < c.want/2 || c.got > c.want*2 {
			t.Errorf("%.3f, measured %.3f", c.got, c.want)
		}
	}
	if find(t, small, "leader", "renewals", "calls/s").Value != 176 {
		t.Error("spans of eleven upstreams")
	}
}

func TestEstimateGrows(t *testing.T) {
	shape := Shape{Gateways: 300, Domains: 3, Upstreams: 1000, Keyed: 400, Rate: 1e4}
	larger := shape
	larger.Gateways *= 10
	a, b := Estimate(shape), Estimate(larger)
	if find(t, b, "leader", "control", "cores").Value <= find(t, a, "leader", "control", "cores").Value {
		t.Error("a leader of ten times the gateways costs no more")
	}
	if l := find(t, b, "leader", "control", "cores"); l.Fits() {
		t.Errorf("%.3f cores are said to fit %.3f", l.Value, l.Limit)
	}
	if find(t, a, "all", "store calls", "calls/s") != find(t, b, "all", "store calls", "calls/s") {
		t.Error("store calls grow with gateways")
	}
}

func TestShapesAreChecked(t *testing.T) {
	good := Shape{Gateways: 11, Domains: 3, Upstreams: 35, Keyed: 11, Rate: 569}
	if err := good.Check(); err != nil {
		t.Error(err)
	}
	for name, bad := range map[string]Shape{
		"no gateways":     {Domains: 1, Upstreams: 1},
		"too many keyed":  {Gateways: 1, Domains: 1, Upstreams: 1, Keyed: 2},
		"empty domains":   {Gateways: 2, Domains: 3, Upstreams: 1},
		"rate below zero": {Gateways: 1, Domains: 1, Upstreams: 1, Rate: -1},
	} {
		if bad.Check() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
}
