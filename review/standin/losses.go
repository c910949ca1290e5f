package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/metastore"
)

// The case "losses": more than half of the machines, the leader among them, are lost for good at once and
// replaced at other addresses. Later some instances crash for good, and at last all gateway processes are killed.
const (
	lossesGateways  = 8
	lossesLost      = 5
	lossesInstances = 13
	// The times are from the start of traffic.
	lossesAt, lossesReplacedAt = 8 * time.Second, 10 * time.Second
	lossesCrashes              = 5
	lossesCrashAt              = 16 * time.Second
	lossesCrashGap             = 4 * time.Second
	lossesCrashed              = 2
	lossesKillAt               = 36 * time.Second
	lossesDown                 = 1500 * time.Millisecond
	lossesRecover              = 15 * time.Second
	lossesEnd                  = 72 * time.Second
	lossesPerSecond            = 24
	// entryLasts is how long the entry of an instance that has crashed stays: three pings.
	entryLasts = 2600 * time.Millisecond
)

// count is the requests sent in a time and those that were served.
type count struct{ sent, served atomic.Int64 }

func (c *count) add(served bool) {
	c.sent.Add(1)
	if served {
		c.served.Add(1)
	}
}

func (c *count) String() string {
	return fmt.Sprintf("%d of %d served", c.served.Load(), c.sent.Load())
}

// lossesRun is one run of the case.
type lossesRun struct {
	rec      *record
	store    *metastore.Store
	began    time.Time
	troubled bool
	dir      string
	conf     instanceConfig
	site     site
	storeAt  string

	mu        sync.Mutex
	gateways  []*gateway
	ended     []*gateway
	instances []*instance
}

func playLosses(dir, folder string, troubled bool) (int, error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitCouldNotRun, err
	}
	defer rec.close()
	store, address, err := startStore()
	if err != nil {
		return exitCouldNotRun, err
	}
	store.Put(platform.ConfigKind, platform.ConfigName, extraConfiguration())
	r := &lossesRun{
		rec: rec, store: store, troubled: troubled, dir: dir, storeAt: address,
		conf: instanceConfig{service: "firma-core", sharded: true, slots: 3, queue: 12, work: 290 * time.Millisecond, idleClose: 10 * time.Second},
		site: site{zones: []string{"norte-bio", "norte-sdr", "norte-ovd", "norte-vit"}, region: "norte", budgetSlack: 200, drain: 2.5, memoryMB: 536, linkMbps: 200, cpuShare: 0.8},
	}
	for range lossesInstances {
		if err := r.addInstance(); err != nil {
			return exitCouldNotRun, err
		}
	}
	if r.gateways, err = newGateways(dir, 0, lossesGateways, r.site, address); err != nil {
		return exitCouldNotRun, err
	}
	defer func() {
		for _, g := range append(r.gateways, r.ended...) {
			g.kill()
		}
	}()
	for _, g := range r.gateways {
		if err := g.start(); err != nil {
			return exitCouldNotRun, err
		}
	}
	if !awaitReady(r.gateways, 20*time.Second) {
		return exitCouldNotRun, errors.New("the gateways did not get ready")
	}
	rec.add("all gateways ready")
	r.began = time.Now()
	steps := make(chan error, 1)
	go func() { steps <- r.steps() }()
	var before, after count
	var consumers sync.WaitGroup
	for time.Since(r.began) < lossesEnd {
		consumers.Go(func() {
			r.consume(func(at time.Duration, served bool) {
				switch {
				case at < lossesKillAt:
					before.add(served)
				case at > lossesKillAt+lossesDown+lossesRecover:
					after.add(served)
				}
			})
		})
		time.Sleep(time.Second / lossesPerSecond)
	}
	consumers.Wait()
	if err := <-steps; err != nil {
		return exitCouldNotRun, err
	}
	summary := fmt.Sprintf("before the final fault %s; later than recover_s after it %s", before.String(), after.String())
	rec.add(summary)
	fmt.Println(summary)
	switch {
	case before.sent.Load() == 0 || after.sent.Load() == 0 || before.served.Load()*4 < before.sent.Load():
		fmt.Println("too little was served for a verdict")
		return exitCouldNotRun, nil
	case after.served.Load()*4 < after.sent.Load():
		return exitBroken, nil
	}
	return exitHeld, nil
}

// steps carries out what happens during the run.
func (r *lossesRun) steps() error {
	r.sleepUntil(lossesAt)
	if r.troubled {
		r.loseGateways()
		r.sleepUntil(lossesReplacedAt)
		if err := r.replaceGateways(); err != nil {
			return err
		}
	}
	for n := range lossesCrashes {
		r.sleepUntil(lossesCrashAt + time.Duration(n)*lossesCrashGap)
		r.crashInstances()
	}
	r.sleepUntil(lossesKillAt)
	r.rec.add("all gateway processes are killed")
	for _, g := range r.current() {
		g.kill()
	}
	r.sleepUntil(lossesKillAt + lossesDown)
	for _, g := range r.current() {
		if err := g.start(); err != nil {
			return err
		}
	}
	r.rec.add("all gateways are back")
	return nil
}

func (r *lossesRun) sleepUntil(at time.Duration) { time.Sleep(time.Until(r.began.Add(at))) }

func (r *lossesRun) current() []*gateway {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*gateway(nil), r.gateways...)
}

// loseGateways ends the process that last wrote to the store under a condition, and others, for good.
func (r *lossesRun) loseGateways() {
	var lease struct {
		Node string `json:"node"`
	}
	_ = json.Unmarshal(r.store.Spec("rockcroft-leases", "leader"), &lease)
	r.mu.Lock()
	for n, g := range r.gateways {
		if g.name == lease.Node {
			r.gateways[0], r.gateways[n] = r.gateways[n], r.gateways[0]
		}
	}
	r.ended, r.gateways = r.gateways[:lossesLost], r.gateways[lossesLost:]
	lost := r.ended
	r.mu.Unlock()
	for _, g := range lost {
		r.rec.add("machine lost for good", "gateway", g.name, "leader", fmt.Sprint(g.name == lease.Node))
		g.kill()
	}
}

func (r *lossesRun) replaceGateways() error {
	all, err := newGateways(r.dir, lossesGateways, lossesLost, r.site, r.storeAt)
	if err != nil {
		return err
	}
	for _, g := range all {
		if err := g.start(); err != nil {
			return err
		}
		r.rec.add("machine added", "gateway", g.name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gateways = append(r.gateways, all...)
	return nil
}

// crashInstances ends instances for good, at most the share of the site's trouble { srv_crash, gone }.
func (r *lossesRun) crashInstances() {
	r.mu.Lock()
	gone := r.instances[:lossesCrashed]
	r.instances = r.instances[lossesCrashed:]
	r.mu.Unlock()
	for _, i := range gone {
		r.rec.add("instance crashed for good", "instance", i.id)
		i.crash()
		time.AfterFunc(entryLasts, func() { r.store.Remove(platform.InstancesKind, i.id) })
	}
}

func (r *lossesRun) addInstance() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	i, err := startInstance(fmt.Sprintf("i-%08x", rand.Uint32()), r.site.zones[rand.IntN(len(r.site.zones))], r.conf, r.rec)
	if err != nil {
		return err
	}
	r.instances = append(r.instances, i)
	register(r.store.Put, i)
	return nil
}

// consume is one attempt of a consumer, and a second one at another gateway after a promise that the first has
// not run or, if it is safe, after any failure. It reports for each attempt when it was sent, from the start of
// traffic, and whether it was served: by the rules each attempt is a request.
func (r *lossesRun) consume(report func(at time.Duration, served bool)) {
	a := attempt{method: "GET", host: extraHost, path: "/lohu930/" + newID(), kind: "safe", key: rand.IntN(65536), deadline: 3 * time.Second}
	if rand.IntN(67) < 19 {
		a = attempt{method: "POST", host: extraHost, path: "/pufi791/" + newID(), kind: "unsafe", key: rand.IntN(65536), deadline: 4 * time.Second, body: []byte("sign this")}
	}
	end := time.Now().Add(a.deadline)
	for range 2 {
		all := r.current()
		at := time.Since(r.began)
		status, after := a.send(r.rec, all[rand.IntN(len(all))])
		served := status >= 200 && status < 300
		report(at, served)
		if served || !promises[status] && (a.kind != "safe" || status >= 400 && status < 500) {
			return
		}
		time.Sleep(min(after, time.Until(end)/3))
		if a.deadline = time.Until(end); a.deadline <= 0 {
			return
		}
	}
}
