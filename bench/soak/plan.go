// Package soak drives real gateway processes on loopback through seeded series of
// faults and checks what callers and upstreams see. Store, upstreams, relays and
// callers are stand-ins in one process; the gateways are processes of their own, which
// a script starts and whose faults come from outside: signals and relays.
package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The faults. Those of gateways are signals, those of paths are the relays'.
const (
	Kill           Kind = "kill"           // SIGKILL, and a new start
	Stop           Kind = "stop"           // SIGTERM, and a new start when it has ended
	Pause          Kind = "pause"          // SIGSTOP, and SIGCONT
	StorePath      Kind = "store_path"     // the path of one gateway to the store
	StoreSilent    Kind = "store_silent"   // its open connections fall silent
	StoreMode      Kind = "store_mode"     // the store turns one gateway away, or loses its answers
	StoreModeAll   Kind = "store_away"     // the same for all gateways
	Compact        Kind = "compact"        // the store forgets its history
	UpstreamPath   Kind = "upstream_path"  // the path of all gateways to one upstream
	UpstreamReset  Kind = "upstream_reset" // its open connections are reset
	UpstreamSilent Kind = "upstream_quiet" // they fall silent
	UpstreamMode   Kind = "upstream_mode"  // it is silent, loses answers, sheds, takes grants late
	Drain          Kind = "drain"          // it says that it leaves, and comes back as another
	Configure      Kind = "configure"      // a new configuration
	Restart        Kind = "restart"        // an upstream's process ends and starts again under its ID
	Evacuate       Kind = "evacuate"       // a failure domain is evacuated, and taken back
	NameLimit      Kind = "need"           // an upstream names a limit on what it takes
	Rest           Kind = "rest"           // an upstream turns requests away and asks for rest
	LeaveByAnswers Kind = "depart"         // it says that it leaves with its answers only, and comes back as another
	HarmfulRequest Kind = "harm"           // a request that ends upstreams is asked again at all gateways
	LateCalls      Kind = "late_calls"     // all upstreams leave every second control call unanswered, and carry it out later
)

// weightedKinds are all faults, the more often listed the more likely.
var weightedKinds = []Kind{
	Kill, Kill, Stop, Stop, Pause, StorePath, StoreSilent, StoreMode, StoreModeAll, Compact,
	UpstreamPath, UpstreamPath, UpstreamReset, UpstreamSilent, UpstreamMode, UpstreamMode, Drain, Configure, Configure,
}

// Step is one fault.
type Step struct {
	Kind Kind
	// Delay is the time since the step before.
	Delay time.Duration
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Target picks a gateway or upstream, Variant one of the ways of the kind.
	Target, Variant int
}

// Bounds of a step's times: faults overlap, and the longest outlasts a grant of the
// leader (4 s) and its lease (1.8 s).
const (
	maxDelay         = 1500 * time.Millisecond
	maxFaultDuration = 6 * time.Second
)

// Plan is a series of faults. The same seed gives the same plan.
type Plan struct {
	Seed  uint64
	Steps []Step
}

// stepsPerRestart is after how many steps an upstream starts again, beside the last of them.
// Restarts are drawn by themselves, so the other steps of a seed are what they always were.
const stepsPerRestart = 4

// stepsPerEvacuation is the same for evacuations.
const stepsPerEvacuation = 5

// stepsPerLimit is the same for upstreams in need.
const stepsPerLimit = 3

// stepsPerRest and stepsPerDeparture are the same for upstreams that ask for rest and that leave without a
// word in their entry.
const (
	stepsPerRest      = 3
	stepsPerDeparture = 6
)

// stepsPerLateCalls is the same for late control calls.
const stepsPerLateCalls = 7

// stepsPerHarm is the same for requests that end upstreams.
const stepsPerHarm = 10

// NewPlan returns the plan of a seed: so many steps, and restarts of upstreams,
// evacuations, upstreams in need, that rest or depart, late control calls and harmful requests beside
// them.
func NewPlan(seed uint64, steps int) Plan {
	rng, restarts := rand.New(rand.NewPCG(seed, seed)), rand.New(rand.NewPCG(seed, seed+1))
	evacuations := rand.New(rand.NewPCG(seed, seed+2))
	limits := rand.New(rand.NewPCG(seed, seed+3))
	lateCalls := rand.New(rand.NewPCG(seed, seed+4))
	harmful := rand.New(rand.NewPCG(seed, seed+5))
	notices := rand.New(rand.NewPCG(seed, seed+6))
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
			p.Steps = append(p.Steps, Step{Kind: LeaveByAnswers, Target: notices.IntN(1 << 16)})
		}
		if i%stepsPerLateCalls == stepsPerLateCalls-1 {
			p.Steps = append(p.Steps, Step{Kind: LateCalls, Duration: time.Duration(lateCalls.Int64N(int64(maxFaultDuration)))})
		}
		if i%stepsPerHarm == stepsPerHarm-1 {
			p.Steps = append(p.Steps, Step{Kind: HarmfulRequest, Duration: time.Duration(harmful.Int64N(int64(maxFaultDuration)))})
		}
		if i%stepsPerEvacuation == stepsPerEvacuation-1 {
			p.Steps = append(p.Steps, Step{
				Kind: Evacuate, Duration: time.Duration(evacuations.Int64N(int64(maxFaultDuration))), Target: evacuations.IntN(1 << 16),
			})
		}
	}
	return p
}

// String describes a step.
func (s Step) String() string {
	return fmt.Sprintf("%s for %s", s.Kind, s.Duration.Round(time.Millisecond))
}
