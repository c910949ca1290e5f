package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// The case "extra": instances of a sharded service refuse some requests as not executed and send some of
// their answers a second time, late.
const (
	extraGateways  = 4
	extraInstances = 16
	// extraWarmUp is the time from the start of the gateways to the first trouble, extraLength the time
	// of traffic.
	extraWarmUp = 8 * time.Second
	extraLength = 72 * time.Second
	// extraPeriod is the time from one trouble to the next.
	extraPeriod = 12 * time.Second
	// garbleFor, garbleShare and garbleX are those of the trouble { garble, extra late } of the site,
	// shedFor and shedX those of { srv_grey, shed all }.
	garbleFor, garbleShare, garbleX = 5 * time.Second, 0.6, 0.03
	shedFor, shedX                  = 8500 * time.Millisecond, 0.55
	unsafePerSecond                 = 80
	safePerSecond                   = 20
	extraHost                       = "hulo84.example"
)

func extraConfiguration() platform.ConfigBody {
	return platform.ConfigBody{
		Version: 7,
		Routes: map[string]platform.RouteBody{
			"status": {Host: extraHost, Path: "/lohu930/", Kind: "safe", Timeout: 1.5, TargetLatency: 0.8, Priority: 2, Service: "firma-core", MaxAttempts: 2},
			"sign":   {Host: extraHost, Path: "/pufi791/", Kind: "unsafe", Timeout: 2, TargetLatency: 1, Priority: 1, Service: "firma-core", MaxAttempts: 2},
		},
		Services: map[string]platform.ServiceBody{"firma-core": {MaxConns: 540, Keyed: true, WarmUp: 3}},
		Limits:   platform.LimitsBody{MaxHeader: 16384, MaxBody: 1 << 20, HeaderTimeout: 3, IdleTimeout: 15},
	}
}

func playExtra(dir, folder string, troubled bool) (int, error) {
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
	s := site{zones: []string{"norte-bio", "norte-sdr", "norte-ovd", "norte-vit"}, region: "norte", budgetSlack: 200, drain: 2.5, memoryMB: 536, linkMbps: 200, cpuShare: 0.8}
	conf := instanceConfig{service: "firma-core", sharded: true, slots: 3, queue: 12, work: 290 * time.Millisecond, idleClose: 10 * time.Second}
	var instances []*instance
	for n := range extraInstances {
		i, err := startInstance(fmt.Sprintf("i-%08x", rand.Uint32()), s.zones[n%len(s.zones)], conf, rec)
		if err != nil {
			return exitCouldNotRun, err
		}
		instances = append(instances, i)
		register(store.Put, i)
	}
	gateways, err := newGateways(dir, 0, extraGateways, s, address)
	if err != nil {
		return exitCouldNotRun, err
	}
	defer func() {
		for _, g := range gateways {
			g.kill()
		}
	}()
	for _, g := range gateways {
		if err := g.start(); err != nil {
			return exitCouldNotRun, err
		}
	}
	if !awaitReady(gateways, 20*time.Second) {
		return exitCouldNotRun, errors.New("the gateways did not get ready")
	}
	rec.add("all gateways ready")
	began := time.Now()
	var consumers sync.WaitGroup
	for time.Since(began) < extraWarmUp+extraLength {
		if troubled {
			setExtraTrouble(instances, time.Since(began)-extraWarmUp)
		}
		consumers.Go(func() { consume(rec, gateways) })
		time.Sleep(time.Second / (unsafePerSecond + safePerSecond))
	}
	consumers.Wait()
	// What was refused must not run later either.
	time.Sleep(time.Second)
	return judgeOnce(rec), nil
}

// setExtraTrouble puts in force what is due at a time since the first trouble.
func setExtraTrouble(instances []*instance, at time.Duration) {
	if at < 0 {
		return
	}
	at %= extraPeriod
	for n, i := range instances {
		var t trouble
		if at < garbleFor && float64(n+1) <= garbleShare*float64(len(instances)) {
			t.extra = garbleX
		}
		if at < shedFor {
			t.shed = shedX
		}
		i.setTrouble(t)
	}
}

// consume is one request of a consumer, with one retry after a promise that it has not run.
func consume(rec *record, gateways []*gateway) {
	a := attempt{method: "POST", host: extraHost, path: "/pufi791/" + newID(), kind: "unsafe", key: rand.IntN(65536), deadline: 4 * time.Second, body: []byte("sign this")}
	if rand.IntN(unsafePerSecond+safePerSecond) < safePerSecond {
		a = attempt{method: "GET", host: extraHost, path: "/lohu930/" + newID(), kind: "safe", key: rand.IntN(65536), deadline: 3 * time.Second}
	}
	began := time.Now()
	g := rand.IntN(len(gateways))
	status, after := a.send(rec, gateways[g])
	if !promises[status] {
		return
	}
	a.deadline -= time.Since(began)
	after = min(after, a.deadline/3)
	time.Sleep(after)
	if a.deadline -= after; a.deadline > 0 {
		a.send(rec, gateways[(g+1)%len(gateways)])
	}
}

// register writes the entry of an instance into the store.
func register(put func(kind, name string, spec any) uint64, i *instance) {
	var body platform.InstanceBody
	body.Address = i.address
	body.Info.Service, body.Info.Version, body.Info.Zone, body.Info.Slots = i.conf.service, "v1", i.zone, i.conf.slots
	body.Status.State, body.Status.Sequence = "ready", 1
	put(platform.InstancesKind, i.id, body)
}

func awaitReady(gateways []*gateway, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, g := range gateways {
			if g.isReady() {
				ready++
			}
		}
		if ready == len(gateways) {
			return true
		}
	}
	return false
}

// judgeOnce checks TWICE and REFUSED, prints what was found and returns the exit code.
func judgeOnce(rec *record) int {
	v := rec.verdict()
	summary := fmt.Sprintf("sent %d, answered well %d, refused %d, failed %d, closed %d; unsafe requests that ran more than once: %d; answered as not run though they ran: %d",
		v.sent, v.ok, v.refused, v.failed, v.closed, len(v.twice), len(v.refusedAndRan))
	rec.add(summary)
	fmt.Println(summary)
	for _, id := range v.twice {
		rec.add("ran more than once", "id", id)
	}
	for _, id := range v.refusedAndRan {
		rec.add("refused and ran", "id", id)
	}
	if v.sent == 0 || v.ok < v.sent/4 {
		fmt.Println("too little was served for a verdict")
		return exitCouldNotRun
	}
	if len(v.twice)+len(v.refusedAndRan) > 0 {
		return exitBroken
	}
	return exitHeld
}
