package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// The case "first": the machine that leads first, at the first start of the system, is lost for good a moment later, and
// a new one comes at another address. Then all processes are killed once, and instances crash for good after that.
// Times are from the start of traffic.
const (
	firstLostAfter  = 300 * time.Millisecond
	firstReplaced   = 2 * time.Second
	firstKillAt     = 10 * time.Second
	firstDown       = 1400 * time.Millisecond
	firstCrashAt    = 13 * time.Second
	firstCrashGap   = 1500 * time.Millisecond
	firstCrashes    = 9
	firstMeasureEnd = 62 * time.Second
)

func playFirst(d *deployment, trouble bool) (broken bool, err error) {
	r := &votersRun{deployment: d, killAt: firstKillAt, down: firstDown}
	if err := r.prepare(); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if trouble {
		if err := r.loseFirstLeader(); err != nil {
			return false, err
		}
	}
	if err := d.awaitAllReady(); err != nil {
		return false, err
	}
	r.began = time.Now()
	d.rec.printf("all gateways are ready, traffic starts")
	steps := make(chan error, 1)
	go func() { steps <- r.firstSteps() }()
	return r.traffic(firstMeasureEnd, steps)
}

// loseFirstLeader ends the machine that has written the first lease, for good.
func (r *votersRun) loseFirstLeader() error {
	var lease struct {
		Address string   `json:"address"`
		Voters  []string `json:"voters"`
	}
	for end := time.Now().Add(readyFor); lease.Address == ""; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("no gateway leads")
		}
		if data := r.store.Spec("rockcroft-leases", "leader"); len(data) > 0 {
			if err := json.Unmarshal(data, &lease); err != nil {
				return err
			}
		}
	}
	r.rec.printf("the first lease is written, it names %d voters", len(lease.Voters))
	time.Sleep(firstLostAfter)
	for _, g := range r.current() {
		if g.peers == lease.Address {
			r.lose([]*gateway{g})
			time.Sleep(firstReplaced)
			added, err := r.addGateways(g.zone)
			if err != nil {
				return err
			}
			return r.start(added[0])
		}
	}
	return errors.New("no gateway has the address of the lease")
}

// firstSteps carries out what happens during the run.
func (r *votersRun) firstSteps() error {
	r.sleepUntil(firstKillAt)
	r.rec.printf("the final fault: all processes of the system are killed")
	for _, g := range r.current() {
		r.kill(g)
	}
	r.sleepUntil(firstKillAt + firstDown)
	if err := r.startAll(); err != nil {
		return err
	}
	for n := range firstCrashes {
		r.sleepUntil(firstCrashAt + time.Duration(n)*firstCrashGap)
		r.crash(n)
	}
	return nil
}

// prepare writes the manifest, and registers the instances.
func (r *votersRun) prepare() error {
	zones := []string{"bole", "bole", "bole", "bole", "bole", "kazanchis", "kazanchis", "kazanchis", "megenagna", "megenagna", "megenagna"}
	if _, err := r.addGateways(zones...); err != nil {
		return err
	}
	r.store.Put(platform.ConfigKind, platform.ConfigName, votersConfiguration())
	for n := range votersInstances {
		i, err := startKeyedInstance(fmt.Sprintf("i-%08x", rand.Uint32()), "status-svc", zones[n], votersSlots, votersWork, r.rec)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, i)
		r.register(i.id, i.service, i.zone, i.address, "ready", votersSlots)
	}
	return nil
}

// crash ends an instance for good. Its entry goes after three pings.
func (r *votersRun) crash(n int) {
	i := r.instances[n]
	i.crash()
	r.rec.printf("%s crashes for good", i.id)
	time.AfterFunc(votersEntryLasts, func() { r.store.Remove(platform.InstancesKind, i.id) })
}

// traffic sends requests until the end and returns the verdict.
func (r *votersRun) traffic(end time.Duration, steps <-chan error) (broken bool, err error) {
	var consumers sync.WaitGroup
	for time.Since(r.began) < end {
		consumers.Go(r.consume)
		time.Sleep(time.Second / votersPerSecond)
	}
	consumers.Wait()
	if err := <-steps; err != nil {
		return false, err
	}
	r.rec.printf("before the final fault %s; later than recover_s after it %s", r.before.String(), r.after.String())
	if r.before.served.Load()*4 < r.before.sent.Load() || r.after.sent.Load() == 0 {
		return false, errors.New("too little was served before the final fault for a verdict")
	}
	return r.after.served.Load()*4 < r.after.sent.Load(), nil
}
