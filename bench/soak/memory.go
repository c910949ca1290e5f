package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/standin/instance"
)

// This file makes upstreams send responses without an end, and checks the memory of the gateways.

const (
	// endlessShare is the share of requests that get a response without an end.
	endlessShare = 0.03
	// stepsPerEndless is the number of random steps after which the fault is added.
	stepsPerEndless = 6
	// memoryPollInterval is the interval at which the memory of gateways is read.
	memoryPollInterval = 300 * time.Millisecond
)

// endlessSteps returns the steps that begin together with random step i.
func endlessSteps(rng *rand.Rand, i int) []Step {
	if i%stepsPerEndless != stepsPerEndless-1 {
		return nil
	}
	return []Step{{Kind: Endless, Duration: time.Duration(rng.Int64N(int64(maxFaultDuration))), Target: rng.IntN(1 << 16)}}
}

// respondWithoutEnd makes all upstreams send responses without an end, for the duration of the step. Of overlapping
// faults, the one that ends first ends all.
func (d *deployment) respondWithoutEnd(step Step) {
	holdFault(step.Duration, func() {
		d.changeResponseFaults(func(f *instance.ResponseFaults) { f.Endless, f.Seed = endlessShare, uint64(step.Target) })
	}, func() {
		d.changeResponseFaults(func(f *instance.ResponseFaults) { f.Endless = 0 })
	})
}

// checkMemory checks until ctx ends that no gateway process takes more memory than its limit, beyond which the platform
// ends processes.
func (m *monitor) checkMemory(ctx context.Context) {
	reported := make(map[int]bool)
	for ; ctx.Err() == nil; time.Sleep(memoryPollInterval) {
		for _, g := range m.deployment.gateways {
			pid, err := g.pid()
			if err != nil || reported[pid] {
				continue
			}
			if mb := peakMemoryMB(pid); mb > gatewayMemory {
				reported[pid] = true
				m.addViolation("%s of process %d took %d MB of its %d MB", g.name, pid, mb, gatewayMemory)
			}
		}
	}
}

// peakMemoryMB returns the largest resident memory that a process has had, or zero if that is not known.
func peakMemoryMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	kb := 0
	for _, line := range strings.Split(string(data), "\n") {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
			break
		}
	}
	return kb >> 10
}
