// Package soak runs real gateway processes on the loopback interface through seeded
// sequences of faults, and checks what callers and upstreams observe. The store, the
// upstreams, the relays and the callers are stand-ins in one process. A script starts the
// gateways as separate processes. Faults are injected from outside of them, by signals,
// relays and the stand-ins.
package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind identifies a type of fault in progress output and reports.
type Kind string

// The kinds of faults. Gateway processes get signals; relays inject faults into network paths.
const (
	Kill             Kind = "kill"           // a gateway gets SIGKILL and is restarted
	Stop             Kind = "stop"           // a gateway gets SIGTERM and is restarted after it has exited
	Pause            Kind = "pause"          // a gateway gets SIGSTOP, and SIGCONT later
	StorePath        Kind = "store_path"     // the path from one gateway to the store has a fault
	StoreSilent      Kind = "store_silent"   // open connections from one gateway to the store stop carrying data
	StoreMode        Kind = "store_mode"     // the store rejects one gateway's calls, or loses the responses
	StoreModeAll     Kind = "store_away"     // the same as StoreMode, for all gateways
	Compact          Kind = "compact"        // the store compacts its history
	UpstreamPath     Kind = "upstream_path"  // the path from all gateways to one upstream has a fault
	UpstreamReset    Kind = "upstream_reset" // open connections to one upstream are reset
	UpstreamSilent   Kind = "upstream_quiet" // open connections to one upstream stop carrying data
	UpstreamMode     Kind = "upstream_mode"  // an upstream does not respond, loses responses, fails, sheds load or applies grants late
	Drain            Kind = "drain"          // an upstream announces in the store and in its responses that it leaves, and is replaced
	Configure        Kind = "configure"      // the operator writes a new configuration
	Restart          Kind = "restart"        // an upstream's process ends and is restarted with the same ID
	Evacuate         Kind = "evacuate"       // a failure domain is evacuated, and the evacuation is cancelled later
	NameLimit        Kind = "need"           // an upstream announces a limit on its request rate
	Rest             Kind = "rest"           // an upstream refuses requests and asks for rest
	LeaveByResponses Kind = "depart"         // an upstream announces only in its responses that it leaves, and is replaced
	HarmfulRequest   Kind = "harm"           // a request that crashes upstreams is repeated at all gateways
	LateCalls        Kind = "late_calls"     // all upstreams leave every second control call unanswered and apply it later
	CutGateways      Kind = "cut_gateways"   // some gateways, which may include the leader, are cut off from all upstreams
	SilentRemoval    Kind = "removal"        // an upstream's entry is removed, without a notice, while the leader is suspended
	Endless          Kind = "endless"        // some responses of all upstreams have no end
	TakeOver         Kind = "take_over"      // an upstream ends and another one starts at its address
	Refusals         Kind = "refusals"       // all upstreams refuse a part of the requests and send late copies of responses
	Broken           Kind = "broken"         // some responses of all upstreams are broken, others whole in unusual forms, also to long uploads
)

// weightedKinds lists the kinds that NewPlan draws at random. A kind that is listed twice is
// twice as likely.
var weightedKinds = []Kind{
	Kill, Kill, Stop, Stop, Pause, StorePath, StoreSilent, StoreMode, StoreModeAll, Compact,
	UpstreamPath, UpstreamPath, UpstreamReset, UpstreamSilent, UpstreamMode, UpstreamMode, Drain, Configure, Configure,
}

// Step is one fault of a plan.
type Step struct {
	Kind Kind
	// Delay is the time between the previous step's begin and this one's.
	Delay time.Duration
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Target selects a gateway, upstream or failure domain; Variant selects a variant of
	// the kind. Both are taken modulo the number of choices.
	Target, Variant int
}

// Upper bounds of a step's times. The delay is short enough for faults to overlap. The
// longest faults outlast a grant of the leader (4 s) and its lease (1.8 s).
const (
	maxDelay         = 1500 * time.Millisecond
	maxFaultDuration = 6 * time.Second
)

// Plan is a sequence of faults. The same seed and number of steps give the same plan.
type Plan struct {
	Seed  uint64
	Steps []Step
}

// stepsPerRestart is the number of random steps after which an upstream restart is added,
// which begins together with the last of them. Restarts have a random generator of their
// own, so that they do not change the other steps of a seed.
const stepsPerRestart = 4

// stepsPerEvacuation is the same for evacuations of failure domains.
const stepsPerEvacuation = 5

// stepsPerLimit is the same for upstreams that announce a rate limit.
const stepsPerLimit = 3

// stepsPerRest and stepsPerDeparture are the same for upstreams that ask for rest, and for
// those that announce only in their responses, not in the store, that they leave.
const (
	stepsPerRest      = 3
	stepsPerDeparture = 6
)

// stepsPerLateCalls is the same for late control calls.
const stepsPerLateCalls = 7

// stepsPerHarm is the same for requests that crash upstreams.
const stepsPerHarm = 10

// stepsPerRemoval is the same for upstreams whose entry is removed while the leader is suspended.
const stepsPerRemoval = 5

// stepsPerCut is the same for gateways that are cut off from all upstreams.
const stepsPerCut = 5

// NewPlan returns the plan of a seed. It has the given number of random steps and, in
// addition to them, the kinds that are added at fixed intervals: restarts, rate limits,
// rests, departures, late control calls, harmful requests, evacuations, removals, cuts, refusals with upstreams
// that take over an address, responses without an end, and broken ones.
func NewPlan(seed uint64, steps int) Plan {
	rng, restarts := rand.New(rand.NewPCG(seed, seed)), rand.New(rand.NewPCG(seed, seed+1))
	evacuations := rand.New(rand.NewPCG(seed, seed+2))
	limits := rand.New(rand.NewPCG(seed, seed+3))
	lateCalls := rand.New(rand.NewPCG(seed, seed+4))
	harmful := rand.New(rand.NewPCG(seed, seed+5))
	notices := rand.New(rand.NewPCG(seed, seed+6))
	removals := rand.New(rand.NewPCG(seed, seed+7))
	cuts := rand.New(rand.NewPCG(seed, seed+8))
	refusals := rand.New(rand.NewPCG(seed, seed+9))
	endless := rand.New(rand.NewPCG(seed, seed+10))
	broken := rand.New(rand.NewPCG(seed, seed+11))
	p := Plan{Seed: seed}
	for i := range steps {
		p.Steps = append(p.Steps, Step{
			Kind: weightedKinds[rng.IntN(len(weightedKinds))], Delay: time.Duration(rng.Int64N(int64(maxDelay))),
			Duration: time.Duration(rng.Int64N(int64(maxFaultDuration))), Target: rng.IntN(1 << 16), Variant: rng.IntN(1 << 16),
		})
		if i%stepsPerRestart == stepsPerRestart-1 {
			p.Steps = append(p.Steps, Step{
				Kind: Restart, Duration: time.Duration(restarts.Int64N(int64(maxFaultDuration))), Target: restarts.IntN(1 << 16),
			})
		}
		if i%stepsPerLimit == stepsPerLimit-1 {
			p.Steps = append(p.Steps, Step{
				Kind: NameLimit, Duration: time.Duration(limits.Int64N(int64(maxFaultDuration))), Target: limits.IntN(1 << 16), Variant: limits.IntN(1 << 16),
			})
		}
		if i%stepsPerRest == stepsPerRest-1 {
			p.Steps = append(p.Steps, Step{
				Kind: Rest, Duration: time.Duration(notices.Int64N(int64(maxFaultDuration))), Target: notices.IntN(1 << 16), Variant: notices.IntN(1 << 16),
			})
		}
		if i%stepsPerDeparture == stepsPerDeparture-1 {
			p.Steps = append(p.Steps, Step{Kind: LeaveByResponses, Target: notices.IntN(1 << 16)})
		}
		if i%stepsPerLateCalls == stepsPerLateCalls-1 {
			p.Steps = append(p.Steps, Step{Kind: LateCalls, Duration: time.Duration(lateCalls.Int64N(int64(maxFaultDuration)))})
		}
		if i%stepsPerHarm == stepsPerHarm-1 {
			p.Steps = append(p.Steps, Step{Kind: HarmfulRequest, Duration: time.Duration(harmful.Int64N(int64(maxFaultDuration)))})
		}
		if i%stepsPerRemoval == stepsPerRemoval-1 {
			p.Steps = append(p.Steps, Step{
				Kind: SilentRemoval, Duration: time.Duration(removals.Int64N(int64(maxFaultDuration))), Target: removals.IntN(1 << 16),
			})
		}
		if i%stepsPerCut == stepsPerCut-1 {
			p.Steps = append(p.Steps, Step{
				Kind: CutGateways, Duration: time.Duration(cuts.Int64N(int64(maxFaultDuration))), Target: cuts.IntN(1 << 16), Variant: cuts.IntN(1 << 16),
			})
		}
		p.Steps = append(p.Steps, refusalSteps(refusals, i)...)
		p.Steps = append(p.Steps, endlessSteps(endless, i)...)
		p.Steps = append(p.Steps, brokenSteps(broken, i)...)
		if i%stepsPerEvacuation == stepsPerEvacuation-1 {
			p.Steps = append(p.Steps, Step{
				Kind: Evacuate, Duration: time.Duration(evacuations.Int64N(int64(maxFaultDuration))), Target: evacuations.IntN(1 << 16),
			})
		}
	}
	return p
}

// Only returns the plan without the steps of other kinds. The others begin when they would otherwise. If no kinds are
// given, it returns the whole plan.
func (p Plan) Only(kinds []Kind) Plan {
	if len(kinds) == 0 {
		return p
	}
	out := Plan{Seed: p.Seed}
	skipped := time.Duration(0)
	for _, step := range p.Steps {
		if !slices.Contains(kinds, step.Kind) {
			skipped += step.Delay
			continue
		}
		step.Delay += skipped
		skipped = 0
		out.Steps = append(out.Steps, step)
	}
	return out
}

// String returns the kind and duration of the step.
func (s Step) String() string {
	return fmt.Sprintf("%s for %s", s.Kind, s.Duration.Round(time.Millisecond))
}
