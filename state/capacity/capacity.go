// Package capacity estimates the cost of the gateways' control work at a given size by
// extrapolating linearly from measurements at small sizes; nothing was run at the estimated sizes.
// Processor times apply to the machine of the measurements; docs/CAPACITY.md names it and gives the
// error of the estimate on other machines.
package capacity

import (
	"fmt"
	"time"
)

// DeploymentSize is the size of a deployment.
type DeploymentSize struct {
	Gateways int
	Domains  int
	// Upstreams is the number of all upstreams, Keyed that of the largest service that
	// is divided by key.
	Upstreams int
	Keyed     int
	// Rate is the number of requests per second across all gateways.
	Rate float64
}

// Validate returns an error if the size is not possible.
func (s DeploymentSize) Validate() error {
	switch {
	case s.Gateways < 1 || s.Domains < 1 || s.Domains > s.Gateways:
		return fmt.Errorf("%d gateways in %d failure domains: each domain needs at least one gateway", s.Gateways, s.Domains)
	case s.Upstreams < 1 || s.Keyed < 0 || s.Keyed > s.Upstreams:
		return fmt.Errorf("%d upstreams, %d of them keyed: at least one upstream is required, and at most all can be keyed", s.Upstreams, s.Keyed)
	case s.Rate < 0:
		return fmt.Errorf("rate of %g requests per second is negative", s.Rate)
	}
	return nil
}

// Measured costs; `make bench` shows those of the current machine. Where both ends of a message run
// in one benchmark process, half of the measured cost is used.
const (
	// forwardCost is the gateway's share of one request: in BenchmarkForward, the time through a
	// gateway minus the time of a direct request.
	forwardCost = 87 * time.Microsecond
	// reportCost is the cost of a report at one end, reportLoadCost that of each load in it:
	// BenchmarkReport with 10 and with 100 loads.
	reportCost     = 50 * time.Microsecond
	reportLoadCost = 520 * time.Nanosecond
	// renewalCost is the cost of renewing the grant of one span at the leader: BenchmarkRenewal.
	renewalCost = 31 * time.Microsecond
	// planCost is the cost of computing one plan, planUpstreamCost that of each keyed upstream in
	// it: BenchmarkMake.
	planCost         = 440 * time.Microsecond
	planUpstreamCost = 950 * time.Nanosecond
	// baseMemoryMB is the peak memory of the busiest gateway, upstreamMemoryMB the share of each
	// upstream in it.
	baseMemoryMB     = 17.2
	upstreamMemoryMB = 0.0082
	// reportBytes and loadBytes are the encoded sizes of a report and of a load in it.
	reportBytes = 200
	loadBytes   = 23
)

// Frequencies of the control work. The corresponding names in package gateway are reportInterval,
// renewInterval, planInterval, leadership.RenewInterval and watchWait.
const (
	reportsPerSecond  = 4
	renewalsPerSecond = 1
	plansPerSecond    = 4
	leasesPerSecond   = 1 / 0.6
	watchesPerSecond  = 2 / 1.2
	// minTreeGateways is the number of gateways from which on one gateway of each failure domain
	// aggregates the reports of the others, maxChildren the number of gateways of a domain that one
	// gateway answers. They are those of coordination/reporttree.
	minTreeGateways = 24
	maxChildren     = 64
	// spansPerUpstream, maxInitialSpans, minSpansPerUpstream and manyUpstreams determine the number
	// of spans in the initial assignment. They are those of coordination/ownership.
	spansPerUpstream, maxInitialSpans, minSpansPerUpstream, manyUpstreams = 16, 256, 2, 512
)

// Limits for the control work of one node, from the size that the system is designed for.
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
	// Value is the estimate, Limit the allowed maximum; zero if there is no limit.
	Value, Limit float64
	// By names the quantity with which the value grows.
	By string
}

// Fits reports whether the value is within the limit.
func (l Line) Fits() bool { return l.Limit == 0 || l.Value <= l.Limit }

// Estimate computes the figures of all roles.
func Estimate(s DeploymentSize) []Line {
	ordinary := s.controlCost(1, 0)
	leader := s.controlCost(s.reportersToLeader(), s.initialSpans())
	lines := []Line{
		{"gateway", "serving", "cores", s.Rate / float64(s.Gateways) * forwardCost.Seconds(), 0, "requests of its own"},
		{"gateway", "control", "cores", ordinary.cores, maxControlCores, "loads it reports"},
		{"gateway", "control", "bytes/s", ordinary.bytes, maxControlBytes, "loads it reports"},
		{"busiest", "memory", "MB", baseMemoryMB + upstreamMemoryMB*float64(s.Upstreams), maxMemoryMB, "upstreams"},
		{"leader", "control", "cores", leader.cores, maxControlCores, "spans, and gateways of its failure domain up to 64"},
		{"leader", "control", "bytes/s", leader.bytes, maxControlBytes, "gateways of its failure domain, up to 64"},
		{"leader", "renewals", "calls/s", float64(s.initialSpans()) * renewalsPerSecond, 0, "spans of the largest keyed service"},
		{"all", "store calls", "calls/s", leasesPerSecond + watchesPerSecond, 0, "nothing; changes and moves come on top"},
	}
	if s.Gateways < minTreeGateways {
		return lines
	}
	head := s.controlCost(min(s.gatewaysPerDomain(), maxChildren), 0)
	return append(lines,
		Line{"head", "control", "cores", head.cores, maxControlCores, "gateways of its failure domain, up to 64"},
		Line{"head", "control", "bytes/s", head.bytes, maxControlBytes, "gateways of its failure domain, up to 64"})
}

// gatewaysPerDomain returns the number of gateways in one failure domain.
func (s DeploymentSize) gatewaysPerDomain() int { return (s.Gateways + s.Domains - 1) / s.Domains }

// reportersToLeader returns the number of gateways that report directly to the leader.
func (s DeploymentSize) reportersToLeader() int {
	if s.Gateways < minTreeGateways {
		return s.Gateways - 1
	}
	if s.gatewaysPerDomain() <= maxChildren {
		return s.gatewaysPerDomain() - 1 + s.Domains - 1
	}
	return s.Domains
}

// initialSpans returns the number of spans of the largest keyed service in the initial assignment.
func (s DeploymentSize) initialSpans() int {
	if s.Keyed == 0 {
		return 0
	}
	if s.Keyed > manyUpstreams {
		return s.Keyed
	}
	return s.Keyed * max(min(spansPerUpstream, maxInitialSpans/s.Keyed), minSpansPerUpstream)
}

// cost is the cost per second of the control work in one process.
type cost struct{ cores, bytes float64 }

// controlCost returns the cost of sending or receiving the given number of reports every quarter
// second, each with the loads of at most all upstreams, and of maintaining the given number of
// spans.
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

// loadsPerReport returns the number of upstreams in a report: those with requests in flight from
// one gateway.
func (s DeploymentSize) loadsPerReport() int {
	const workTime = 0.2 // seconds; typical time per request in the users' services
	inFlight := s.Rate / float64(s.Gateways) * workTime
	return min(s.Upstreams, int(inFlight)+1)
}
