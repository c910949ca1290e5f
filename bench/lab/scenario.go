// Package lab simulates the handling of requests in virtual time: clients, gateways and upstreams
// are events in one process, without a network. The decisions are made by the product's own
// packages, unchanged: dispatch, patience, retry and ownership. Only their surroundings are
// modelled.
package lab

import (
	"fmt"
	"math"
	"time"

	"github.com/rockcroft/rockcroft/coordination/dispatch"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/spans"
)

// What an upstream does with a request that it cannot queue.
const (
	// FullRefuses responds that the request did not run.
	FullRefuses = "refuses"
	// FullResets resets the connection.
	FullResets = "resets"
	// FullHangs never responds.
	FullHangs = "hangs"
)

// Service is a group of upstreams with the same settings; their speeds may differ.
type Service struct {
	Name      string `json:"name"`
	Upstreams int    `json:"upstreams"`
	// Slots is how many requests an upstream runs at once, Queue how many more it queues.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// WhenFull is "refuses", "resets" or "hangs".
	WhenFull string `json:"when_full"`
	// Speeds are assigned to the upstreams in turn; 2 runs twice as fast.
	Speeds []float64 `json:"speeds"`
	// Keyed services run a request at the owner of its key.
	Keyed bool `json:"keyed"`
	// ColdFactor is the slowdown of keys for ColdFor after they got a new owner without a handover.
	ColdFactor float64        `json:"cold_factor"`
	ColdFor    jsonc.Duration `json:"cold_for"`
	// WarmUp is how long an upstream is warming up after a start. Meanwhile its runs take
	// WarmUpFactor times as long, and it fails if it gets more than MaxWarmUpRate requests within a
	// second. WarmUpRateLimit is the limit for this rate that operators configure, 0 for none.
	WarmUp          jsonc.Duration `json:"warm_up"`
	WarmUpFactor    float64        `json:"warm_up_factor"`
	MaxWarmUpRate   int            `json:"breaks"`
	WarmUpRateLimit float64        `json:"start_bound"`
	// NoiseShare of the upstreams take NoiseFactor times as long at any time. This is drawn anew
	// for each upstream every NoiseEvery.
	NoiseShare  float64        `json:"noise_share"`
	NoiseFactor float64        `json:"noise_factor"`
	NoiseEvery  jsonc.Duration `json:"noise_every"`
	// ReportsLoad makes upstreams report their load with each response.
	ReportsLoad bool `json:"tells_load"`
}

// Route is one kind of request.
type Route struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Rate is the request rate over all gateways, in requests per second.
	Rate float64 `json:"rate"`
	// WorkTime is the mean time of a run at speed 1. It has a log-normal distribution; Spread is
	// the standard deviation of its logarithm. A share Tail takes TailFactor times as long.
	WorkTime   jsonc.Duration `json:"work"`
	Spread     float64        `json:"spread"`
	Tail       float64        `json:"tail"`
	TailFactor float64        `json:"tail_factor"`
	// Objective is the time from the client's first try within which a response has full worth.
	// Timeout bounds one try; Patience is the time after which the client stops waiting.
	Objective jsonc.Duration `json:"objective"`
	Timeout   jsonc.Duration `json:"timeout"`
	Patience  jsonc.Duration `json:"patience"`
	// Retries is how often a client retries a call.
	Retries    int  `json:"retries"`
	Idempotent bool `json:"idempotent"`
	Attempts   int  `json:"attempts"`
	Priority   int  `json:"priority"`
	// Worth is the value of a response within the objective, LateWorth that of a later one.
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	// Keys is the number of distinct keys; the popularity of the k-th is proportional to 1/k^Skew.
	// Popular keys are adjacent.
	Keys int     `json:"keys"`
	Skew float64 `json:"skew"`
	// Callers is the number of callers, 0 if gateways do not know them. GreedyCallers of them send three
	// times as many requests as the others, and retry them at once and three times as often, whatever
	// time to come back they are given.
	Callers       int `json:"callers"`
	GreedyCallers int `json:"greedy_callers"`
}

// Kinds of disturbances.
const (
	// TrafficBurst multiplies the traffic by Factor.
	TrafficBurst = "burst"
	// HotKey directs Share of a route's requests to one key, or to Count adjacent ones.
	HotKey = "hot_key"
	// Silent makes Share of a service's upstreams stop responding; Refusing makes them refuse
	// connections.
	Silent   = "dark"
	Refusing = "gone"
	// Slowdown makes Share of a service's upstreams slower by Factor.
	Slowdown = "slow"
	// Draining makes Share of a service's upstreams leave with advance notice.
	Draining = "drain"
	// ColdRestart stops a service's upstreams in the failure domain with the index Count and starts
	// them again at the same time.
	ColdRestart = "cold_return"
	// NamedLimits makes Share of a service's upstreams name a rate limit of Factor times their
	// current request rate.
	NamedLimits = "need"
	// GatewayFailure stops Share of the gateways.
	GatewayFailure = "gateway_lost"
)

// Disturbance is a failure or a change of the load for a limited time.
type Disturbance struct {
	Kind     string         `json:"kind"`
	Start    jsonc.Duration `json:"at"`
	Duration jsonc.Duration `json:"for"`
	Share    float64        `json:"share"`
	Factor   float64        `json:"factor"`
	Count    int            `json:"count"`
	Service  string         `json:"service"`
	Route    string         `json:"route"`
}

// Scenario describes a simulation.
type Scenario struct {
	Name     string         `json:"name"`
	Length   jsonc.Duration `json:"length"`
	Gateways int            `json:"gateways"`
	// ReportInterval is the time between reports of gateways. Hop is the one-way delay between any
	// two processes, ClientHop that between a client and a gateway.
	ReportInterval jsonc.Duration `json:"report"`
	Hop            jsonc.Duration `json:"hop"`
	ClientHop      jsonc.Duration `json:"client_hop"`
	// RateSwing is the relative amplitude of a sine wave of the traffic with the period
	// SwingPeriod.
	RateSwing   float64        `json:"wave"`
	SwingPeriod jsonc.Duration `json:"wave_period"`
	// SilentOwnerTimeout is how long the keys of a silent owner stay without an owner,
	// RefusingOwnerTimeout how long those of an owner that refuses connections do.
	SilentOwnerTimeout   jsonc.Duration `json:"owner_lost"`
	RefusingOwnerTimeout jsonc.Duration `json:"owner_gone"`
	// RetryShare and RetryAllowance bound the retries of gateways within RetryWindow.
	RetryShare     float64        `json:"retry_share"`
	RetryAllowance float64        `json:"retry_allowance"`
	RetryWindow    jsonc.Duration `json:"retry_window"`
	Services       []Service      `json:"services"`
	Routes         []Route        `json:"routes"`
	Disturbances   []Disturbance  `json:"troubles"`
	// Disabled are the mechanisms of the decisions that are disabled.
	Disabled dispatch.Mechanisms `json:"off"`
}

// Defaults of a scenario; a scenario file sets only what differs.
const (
	defaultLength               = 40 * time.Second
	defaultReportInterval       = 250 * time.Millisecond
	defaultHop                  = 500 * time.Microsecond
	defaultClientHop            = 8 * time.Millisecond
	defaultSwingPeriod          = 11 * time.Second
	defaultSilentOwnerTimeout   = 4500 * time.Millisecond
	defaultRefusingOwnerTimeout = 1200 * time.Millisecond
	defaultRetryWindow          = 10 * time.Second
)

// DefaultScenario returns a scenario with the default settings.
func DefaultScenario() Scenario {
	return Scenario{
		Length: jsonc.Duration(defaultLength), ReportInterval: jsonc.Duration(defaultReportInterval),
		Hop: jsonc.Duration(defaultHop), ClientHop: jsonc.Duration(defaultClientHop),
		SwingPeriod:        jsonc.Duration(defaultSwingPeriod),
		SilentOwnerTimeout: jsonc.Duration(defaultSilentOwnerTimeout), RefusingOwnerTimeout: jsonc.Duration(defaultRefusingOwnerTimeout),
		RetryShare: 0.2, RetryAllowance: 64, RetryWindow: jsonc.Duration(defaultRetryWindow),
	}
}

// maxRequests bounds the requests of one run; an event takes about a microsecond and some hundred
// bytes.
const maxRequests = 5_000_000

// Check implements jsonc.Checker.
func (s *Scenario) Check() []jsonc.Diagnostic {
	var out []jsonc.Diagnostic
	add := func(bad bool, path, message string) {
		if bad {
			out = append(out, jsonc.Diagnostic{Path: path, Message: message})
		}
	}
	add(s.Name == "", "name", "is required")
	add(s.Length <= 0, "length", "must be positive")
	add(s.Gateways <= 0, "gateways", "must be positive")
	add(s.ReportInterval <= 0, "report", "must be positive")
	add(s.Hop < 0, "hop", "must not be negative")
	add(s.ClientHop < 0, "client_hop", "must not be negative")
	add(s.RateSwing < 0 || s.RateSwing >= 1, "wave", "must lie between 0 and 1")
	add(s.SwingPeriod <= 0, "wave_period", "must be positive")
	add(s.RetryShare < 0, "retry_share", "must not be negative")
	add(s.RetryAllowance < 0, "retry_allowance", "must not be negative")
	add(s.RetryWindow <= 0, "retry_window", "must be positive")
	add(len(s.Services) == 0, "services", "is required")
	add(len(s.Routes) == 0, "routes", "is required")
	services, routes := make(map[string]bool), make(map[string]bool)
	for i, one := range s.Services {
		services[one.Name] = true
		one.check(fmt.Sprintf("services[%d].", i), add)
	}
	total := 0.0
	for i, one := range s.Routes {
		routes[one.Name] = true
		one.check(fmt.Sprintf("routes[%d].", i), add)
		add(!services[one.Service], fmt.Sprintf("routes[%d].service", i), "is not among the services")
		total += one.Rate * time.Duration(s.Length).Seconds()
	}
	for i, one := range s.Disturbances {
		one.check(fmt.Sprintf("troubles[%d].", i), services, routes, add)
		if one.Kind == TrafficBurst && one.Factor > 1 {
			total *= 1 + (one.Factor-1)*one.Duration.D().Seconds()/max(s.Length.D().Seconds(), 1)
		}
	}
	add(total > maxRequests || math.IsNaN(total), "routes", fmt.Sprintf("make %.0f requests, at most %d can be played", total, maxRequests))
	return out
}

type addDiagnostic func(bad bool, path, message string)

func (s *Service) check(path string, add addDiagnostic) {
	add(s.Name == "", path+"name", "is required")
	add(s.Upstreams <= 0, path+"upstreams", "must be positive")
	add(s.Slots <= 0, path+"slots", "must be positive")
	add(s.Queue < 0, path+"queue", "must not be negative")
	add(s.WhenFull != FullRefuses && s.WhenFull != FullResets && s.WhenFull != FullHangs, path+"when_full", `must be "refuses", "resets" or "hangs"`)
	for _, speed := range s.Speeds {
		add(speed <= 0, path+"speeds", "must be positive")
	}
	add(s.ColdFactor < 0, path+"cold_factor", "must not be negative")
	add(s.MaxWarmUpRate < 0 || s.WarmUpRateLimit < 0, path+"breaks", "and start_bound must not be negative")
	add(s.WarmUp > 0 && s.WarmUpFactor <= 0, path+"warm_up_factor", "must be positive")
	add(s.NoiseShare < 0 || s.NoiseShare > 1, path+"noise_share", "must lie between 0 and 1")
	add(s.NoiseShare > 0 && s.NoiseFactor <= 0, path+"noise_factor", "must be positive")
	add(s.NoiseShare > 0 && s.NoiseEvery <= 0, path+"noise_every", "must be positive")
}

func (r *Route) check(path string, add addDiagnostic) {
	add(r.Name == "", path+"name", "is required")
	add(r.Rate < 0, path+"rate", "must not be negative")
	add(r.WorkTime <= 0, path+"work", "must be positive")
	add(r.Spread < 0, path+"spread", "must not be negative")
	add(r.Tail < 0 || r.Tail > 1, path+"tail", "must lie between 0 and 1")
	add(r.Objective <= 0, path+"objective", "must be positive")
	add(r.Timeout <= 0, path+"timeout", "must be positive")
	add(r.Patience < r.Objective, path+"patience", "must not be shorter than the objective")
	add(r.Retries < 0, path+"retries", "must not be negative")
	add(r.Attempts < 1, path+"attempts", "must be 1 or more")
	add(r.Worth < 0 || r.LateWorth < 0, path+"worth", "must not be negative")
	add(r.Keys < 0, path+"keys", "must not be negative")
	add(r.Skew < 0, path+"skew", "must not be negative")
	add(r.Callers < 0, path+"callers", "must not be negative")
	add(r.GreedyCallers < 0 || r.GreedyCallers > r.Callers, path+"greedy_callers", "must lie between 0 and the number of callers")
}

func (d *Disturbance) check(path string, services, routes map[string]bool, add addDiagnostic) {
	add(d.Start < 0, path+"at", "must not be negative")
	add(d.Duration < 0, path+"for", "must not be negative")
	add(d.Share < 0 || d.Share > 1, path+"share", "must lie between 0 and 1")
	switch d.Kind {
	case TrafficBurst:
		add(d.Factor <= 0, path+"factor", "must be positive")
	case HotKey:
		add(!routes[d.Route], path+"route", "is not among the routes")
		add(d.Count < 0 || d.Count > spans.MaxKey, path+"count", "must lie between 0 and the largest key")
	case ColdRestart:
		add(!services[d.Service], path+"service", "is not among the services")
		add(d.Count < 0 || d.Count >= failureDomains, path+"count", "is no failure domain")
	case Slowdown, NamedLimits:
		add(d.Factor <= 0, path+"factor", "must be positive")
		add(!services[d.Service], path+"service", "is not among the services")
	case Silent, Refusing, Draining:
		add(!services[d.Service], path+"service", "is not among the services")
	case GatewayFailure:
	default:
		add(true, path+"kind", "is not known")
	}
}
