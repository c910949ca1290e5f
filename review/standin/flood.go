package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// The case "flood": some instances answer a few requests with bytes that are not a response. The platform
// ends a process that exceeds its memory.
const (
	floodGateways = 3
	floodWarmUp   = 8 * time.Second
	floodLength   = 94 * time.Second
	// floodPeriod is the time from one trouble to the next; floodFor, floodShare and floodX are those of
	// the site's trouble { garble }, of the instances of setpoint-control.
	floodPeriod                  = 6 * time.Second
	floodFor, floodShare, floodX = 5500 * time.Millisecond, 0.35, 0.02
	linkBytesPerSecond           = 125e6
	// The instances of setpoint-control and the rate of its requests are those of the site;
	// of thermo-telemetry there is about a third.
	zoneReadsPerSecond, setpointsPerSecond = 180, 200
	telemetryInstances, setpointInstances  = 8, 10
	floodHost                              = "jepu9.example"
	bytesPerMegabyte                       = 1 << 20
	memoryInterval                         = 5 * time.Millisecond
	restartDelay                           = 500 * time.Millisecond
	zoneReadDeadline, setpointDeadline     = 2500 * time.Millisecond, 3 * time.Second
)

var tallowoodSite = site{
	zones: []string{"brisbane-north", "brisbane-south", "toowoomba", "sunshine-coast"}, region: "qld", budgetSlack: 64, drain: 2,
	memoryMB: 284, linkMbps: 1000, cpuShare: 0.32,
}

func floodConfiguration() platform.ConfigBody {
	return platform.ConfigBody{
		Version: 7,
		Routes: map[string]platform.RouteBody{
			"zone":     {Host: floodHost, Path: "/lepu270/", Kind: "safe", Timeout: 1.2, TargetLatency: 0.4, Priority: 2, Service: "thermo-telemetry", MaxAttempts: 2},
			"setpoint": {Host: floodHost, Path: "/xapu221/", Kind: "unsafe", Timeout: 1.5, TargetLatency: 0.5, Priority: 1, Service: "setpoint-control", MaxAttempts: 2},
		},
		Services: map[string]platform.ServiceBody{"thermo-telemetry": {MaxConns: 130, Keyed: true, WarmUp: 5}, "setpoint-control": {MaxConns: 130}},
		Limits:   platform.LimitsBody{MaxHeader: 16384, MaxBody: 67108864, HeaderTimeout: 3, IdleTimeout: 15},
	}
}

// memoryOf returns the resident memory of a process in bytes, 0 if it has ended.
func memoryOf(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

func (g *gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return 0
	}
	return g.cmd.Process.Pid
}

// memoryGuard does what the platform does: "A process that exceeds memory_mb is killed", and "a process that
// exits or is killed is restarted after a short delay".
type memoryGuard struct {
	rec *record
	mu  sync.Mutex
	// ends counts the ends of processes for their memory, by gateway.
	ends map[string]int
}

func (m *memoryGuard) watch(g *gateway, limit int64, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(memoryInterval):
		}
		used := memoryOf(g.pid())
		if used <= limit {
			continue
		}
		g.kill()
		m.rec.add("memory over the limit, process ended", "gateway", g.name, "megabytes", strconv.FormatInt(used/bytesPerMegabyte, 10))
		m.mu.Lock()
		m.ends[g.name]++
		m.mu.Unlock()
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			m.rec.add("gateway did not start again", "gateway", g.name)
			return
		}
		m.rec.add("started again", "gateway", g.name)
	}
}

func playFlood(dir, folder string, troubled bool) (int, error) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return exitCouldNotRun, err
	}
	defer rec.close()
	store, address, err := startStore()
	if err != nil {
		return exitCouldNotRun, err
	}
	store.Put(platform.ConfigKind, platform.ConfigName, floodConfiguration())
	instances, err := startFloodInstances(rec, store.Put)
	if err != nil {
		return exitCouldNotRun, err
	}
	gateways, err := newGateways(dir, 0, floodGateways, tallowoodSite, address)
	if err != nil {
		return exitCouldNotRun, err
	}
	done := make(chan struct{})
	var watches sync.WaitGroup
	defer func() {
		close(done)
		watches.Wait()
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
	guard := &memoryGuard{rec: rec, ends: make(map[string]int)}
	for _, g := range gateways {
		watches.Go(func() { guard.watch(g, int64(tallowoodSite.memoryMB)*bytesPerMegabyte, done) })
	}
	began := time.Now()
	end := began.Add(floodWarmUp + floodLength)
	var consumers sync.WaitGroup
	const perConsumer = 2
	for range zoneReadsPerSecond / perConsumer {
		consumers.Go(func() {
			consumeKept(rec, gateways, end, perConsumer, attempt{method: "GET", host: floodHost, path: "/lepu270/", kind: "safe", deadline: zoneReadDeadline})
		})
	}
	for range setpointsPerSecond / perConsumer {
		consumers.Go(func() {
			consumeKept(rec, gateways, end, perConsumer, attempt{method: "POST", host: floodHost, path: "/xapu221/", kind: "unsafe", deadline: setpointDeadline, body: []byte("21.5 C")})
		})
	}
	for time.Now().Before(end) {
		at := time.Since(began) - floodWarmUp
		on := troubled && at >= 0 && at%floodPeriod < floodFor
		for n, i := range instances {
			var t trouble
			if n -= telemetryInstances; on && n >= 0 && float64(n+1) <= floodShare*setpointInstances {
				t.flood, t.floodRate = floodX, linkBytesPerSecond
			}
			i.setTrouble(t)
		}
		time.Sleep(50 * time.Millisecond)
	}
	consumers.Wait()
	return judgeFlood(rec, guard), nil
}

// startFloodInstances starts the instances, those of thermo-telemetry first.
func startFloodInstances(rec *record, put func(kind, name string, spec any) uint64) ([]*instance, error) {
	var instances []*instance
	add := func(conf instanceConfig, count int) error {
		for n := range count {
			i, err := startInstance(fmt.Sprintf("i-%08x", rand.Uint32()), tallowoodSite.zones[n%len(tallowoodSite.zones)], conf, rec)
			if err != nil {
				return err
			}
			instances = append(instances, i)
			register(put, i)
		}
		return nil
	}
	err := add(instanceConfig{service: "thermo-telemetry", sharded: true, slots: 6, queue: 24, work: 120 * time.Millisecond, idleClose: 10 * time.Second}, telemetryInstances)
	if err == nil {
		err = add(instanceConfig{service: "setpoint-control", slots: 6, queue: 24, work: 160 * time.Millisecond, idleClose: 10 * time.Second}, setpointInstances)
	}
	return instances, err
}

// judgeFlood checks Fault: on a tenth of the machines, two at least, processes end by themselves three times,
// with no impairment on these machines. Memory over the limit counts.
func judgeFlood(rec *record, guard *memoryGuard) int {
	v := rec.verdict()
	guard.mu.Lock()
	defer guard.mu.Unlock()
	total, often := 0, 0
	for name, n := range guard.ends {
		rec.add("ends for memory", "gateway", name, "count", strconv.Itoa(n))
		total += n
		if n >= 3 {
			often++
		}
	}
	summary := fmt.Sprintf("sent %d, answered well %d, refused %d, failed %d, closed or given up %d; processes ended for their memory: %d; machines on which three times or more: %d of %d",
		v.sent, v.ok, v.refused, v.failed, v.closed, total, often, floodGateways)
	rec.add(summary)
	fmt.Println(summary)
	switch {
	case v.sent == 0 || v.ok < v.sent/4:
		fmt.Println("too little was served for a verdict")
		return exitCouldNotRun
	case often >= max(2, (floodGateways+9)/10):
		return exitBroken
	}
	return exitHeld
}
