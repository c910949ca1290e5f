package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/rawhttp"
)

// This file makes upstreams send broken responses, and whole ones in unusual forms, and sends long uploads meanwhile.

const (
	// brokenShare is the share of requests whose response is sent in another form. It applies to requests with a short
	// body; to those with a long one, all responses are.
	brokenShare = 0.1
	// minBrokenDuration is the minimum duration of the fault. Shorter ones have few uploads.
	minBrokenDuration = 3 * time.Second
	// stepsPerBroken is the number of random steps after which the fault is added.
	stepsPerBroken = 5
	// uploadSize is the size of a long upload in bytes. uploadInterval is the pause between two of them.
	uploadSize     = 3 * instance.LongBody / 2
	uploadInterval = 100 * time.Millisecond
)

// brokenSteps returns the steps that begin together with random step i.
func brokenSteps(rng *rand.Rand, i int) []Step {
	if i%stepsPerBroken != stepsPerBroken-1 {
		return nil
	}
	return []Step{{Kind: Broken, Duration: time.Duration(rng.Int64N(int64(maxFaultDuration))), Target: rng.IntN(1 << 16)}}
}

// respondBroken makes all upstreams send some responses in other forms, for the duration of the step plus
// minBrokenDuration. Of overlapping faults, the one that ends first ends all.
func (d *deployment) respondBroken(step Step) {
	holdFault(minBrokenDuration+step.Duration, func() {
		d.changeResponseFaults(func(f *instance.ResponseFaults) {
			f.Raw, f.RawForms, f.Seed = brokenShare, allForms, uint64(step.Target)
		})
	}, func() {
		d.changeResponseFaults(func(f *instance.ResponseFaults) { f.Raw = 0 })
	})
}

// allForms returns the forms of a response, broken and whole ones.
func allForms(fields, body string) []rawhttp.Form {
	return append(slices.Concat(rawhttp.Broken(fields, body), rawhttp.Whole(fields, body)), rawhttp.ChunksInHTTP10(fields, body))
}

// respondsBroken reports whether upstreams send responses in other forms.
func (d *deployment) respondsBroken() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.responseFaults.Raw > 0
}

// isWholeBody reports whether a body is that of an upstream's response to the request.
func (d *deployment) isWholeBody(id, body string) bool {
	upstreamID, found := strings.CutPrefix(body, "done "+id+" by ")
	d.mu.Lock()
	defer d.mu.Unlock()
	return found && slices.ContainsFunc(d.allUpstreams, func(u *upstream) bool { return u.ID == upstreamID })
}

// runUploader sends long uploads to the gateways in turn until ctx ends, one at a time, while upstreams send responses
// in other forms.
func (m *monitor) runUploader(ctx context.Context) {
	for i := 0; ctx.Err() == nil; time.Sleep(uploadInterval) {
		if m.deployment.respondsBroken() {
			m.count(m.sendRequest(ctx, pick(m.deployment.gateways, i), uploadRequest, 0))
			i++
		}
	}
}
