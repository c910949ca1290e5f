// Package capacity works out what gateways cost for control at a given size, from
// slopes at small sizes. It is arithmetic: nothing was run at the sizes that it is asked
// about. Processor time is that of the machine of the slopes; docs/CAPACITY.md says which
// that is and how far the estimate is off on others.
package capacity

import (
	"fmt"
	"time"
)

// Shape is the size of a deployment.
type DeploymentSize struct {
	Gateways int
	Domains  int
	// Upstreams are all of them, Keyed those of the largest service that is divided
	// by key.
	Upstreams int
	Keyed     int
	// Rate is requests a second over all gateways.
	Rate float64
}

// Check reports what is wrong with a shape, or nil.
func (s DeploymentSize) Validate() error {
	switch {
	case s.Gateways < 1 || s.Domains < 1 || s.Domains > s.Gateways:
		return fmt.Errorf("%d gateways in %d failure domains: at least one each", s.Gateways, s.Domains)
	case s.Upstreams < 1 || s.Keyed < 0 || s.Keyed > s.Upstreams:
		return fmt.Errorf("%d upstreams, %d of them keyed: at least one, and no more keyed than all", s.Upstreams, s.Keyed)
	case s.Rate < 0:
		return fmt.Errorf("%g requests a second", s.Rate)
	}
	return nil
}

// Slopes; `make bench` shows those of the machine that it runs on. Where both ends of a
// message run in one process, half is counted here.
const (
	// forwardCost is a gateway's part of one request: BenchmarkForward, through a gateway
	// less straight.
	forwardCost = 87 * time.Microsecond
	// reportCost is one end of a report, reportLoadCost of each load in it:
	// BenchmarkReport, with 10 loads and with 100.
	reportCost     = 50 * time.Microsecond
	reportLoadCost = 520 * time.Nanosecond
	// renewalCost is one renewal at the leader: BenchmarkRenewal.
	renewalCost = 31 * time.Microsecond
	// planCost is one plan, planUpstreamCost each keyed upstream in it: BenchmarkMake.
	planCost         = 440 * time.Microsecond
	planUpstreamCost = 950 * time.Nanosecond
	// baseMemory and upstreamMemory are the peak of a gateway and the part of each upstream
	// in it, in MB.
	baseMemoryMB     = 17.2
	upstreamMemoryMB = 0.0232
	// reportBytes and loadBytes are the encoded sizes of a report and of a load in it.
	reportBytes = 200
	loadBytes   = 23
)

// How often things are done; the names in package gateway are reportInterval,
// renewInterval, planInterval, leadership.RenewInterval and watchWait.
const (
	reportsPerSecond  = 4
	renewalsPerSecond = 1
	plansPerSecond    = 4
	leasesPerSecond   = 1 / 0.6
	watchesPerSecond  = 2 / 1.2
	// treeLeast is the number of gateways from which one of each failure domain
	// reports for the rest.
	minTreeGateways = 24
	// spansEach, spansTotal and spansLeast bound the first assignment.
	spansPerUpstream, maxInitialSpans, minSpansPerUpstream = 16, 256, 2
)

// Limits of one node for control, from the size to design for.
const (
	maxControlCores = 0.022
	maxMemoryMB     = 256.0
	maxControlBytes = 24e3
)

// Line is one figure of an estimate.
type Line struct {
	Role string
	What string
	Unit string
	// Value is the estimate, Limit what is allowed; zero when there is no limit.
	Value, Limit float64
	// By names what it grows with.
	By string
}

// Fits reports whether the value keeps the limit.
func (l Line) Fits() bool { return l.Limit == 0 || l.Value <= l.Limit }

// Estimate works the figures of all roles out.
func Estimate(s DeploymentSize) []Line {
	ordinary := s.controlCost(1, 0)
	leader := s.controlCost(s.reportersToLeader(), s.initialSpans())
	lines := []Line{
		{"gateway", "serving", "cores", s.Rate / float64(s.Gateways) * forwardCost.Seconds(), 0, "requests of its own"},
		{"gateway", "control", "cores", ordinary.cores, maxControlCores, "loads it reports"},
		{"gateway", "control", "bytes/s", ordinary.bytes, maxControlBytes, "loads it reports"},
		{"gateway", "memory", "MB", baseMemoryMB + upstreamMemoryMB*float64(s.Upstreams), maxMemoryMB, "upstreams"},
		{"leader", "control", "cores", leader.cores, maxControlCores, "gateways of its failure domain, spans"},
		{"leader", "control", "bytes/s", leader.bytes, maxControlBytes, "gateways of its failure domain"},
		{"leader", "renewals", "calls/s", float64(s.initialSpans()) * renewalsPerSecond, 0, "spans of the largest keyed service"},
		{"all", "store calls", "calls/s", leasesPerSecond + watchesPerSecond, 0, "nothing; changes and moves come on top"},
	}
	if s.Gateways < minTreeGateways {
		return lines
	}
	head := s.controlCost(s.gatewaysPerDomain(), 0)
	return append(lines,
		Line{"head", "control", "cores", head.cores, maxControlCores, "gateways of its failure domain"},
		Line{"head", "control", "bytes/s", head.bytes, maxControlBytes, "gateways of its failure domain"})
}

// perDomain is the number of gateways in one failure domain.
func (s DeploymentSize) gatewaysPerDomain() int { return (s.Gateways + s.Domains - 1) / s.Domains }

// children are the gateways that report to the leader.
func (s DeploymentSize) reportersToLeader() int {
	if s.Gateways < minTreeGateways {
		return s.Gateways - 1
	}
	return s.gatewaysPerDomain() - 1 + s.Domains - 1
}

// spans of the largest keyed service at first.
func (s DeploymentSize) initialSpans() int {
	if s.Keyed == 0 {
		return 0
	}
	return s.Keyed * max(min(spansPerUpstream, maxInitialSpans/s.Keyed), minSpansPerUpstream)
}

// cost of control in one process.
type cost struct{ cores, bytes float64 }

// control is the cost of reports sent or received each quarter second, each with the
// loads of all upstreams at most, and of the spans that are kept.
func (s DeploymentSize) controlCost(reports, spans int) cost {
	loads := float64(s.loadsPerReport())
	each := reportCost.Seconds() + loads*reportLoadCost.Seconds()
	c := cost{
		cores: float64(reports) * reportsPerSecond * each,
		bytes: float64(reports) * reportsPerSecond * (reportBytes + loads*loadBytes),
	}
	if spans > 0 {
		c.cores += float64(spans)*renewalsPerSecond*renewalCost.Seconds() +
			plansPerSecond*(planCost.Seconds()+float64(s.Keyed)*planUpstreamCost.Seconds())
	}
	return c
}

// loads is the number of upstreams in a report: those with requests of one gateway.
func (s DeploymentSize) loadsPerReport() int {
	const workTime = 0.2 // seconds, of the users' services
	inFlight := s.Rate / float64(s.Gateways) * workTime
	return min(s.Upstreams, int(inFlight)+1)
}
