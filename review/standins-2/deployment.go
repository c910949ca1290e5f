// Command standins-2 plays the cases of the second review: it runs a stand-in store and stand-in instances,
// starts gateways as separate processes with the command of the deploy file, and checks one rule.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/metastore"
)

// Figures of a small deployment, as in the site abyconnect-sim.
const (
	memoryMB = 284
	readyFor = 20 * time.Second
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A lost line of the record does not change the result of the case.
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// gateway is one process of the system.
type gateway struct {
	name, ip, zone                 string
	callers, ready, peers, metrics string
	settings, log                  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// deployment is the store, and the gateways that use it.
type deployment struct {
	dir, program string
	rec          *record
	store        *metastore.Store
	storeAddr    string
	// named counts the machines that there ever were.
	named int

	mu       sync.Mutex
	gateways []*gateway
}

// serve serves a handler on a loopback address that the kernel chooses a port for.
func serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	// Serve ends with the process.
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

func newDeployment(dir, program string, rec *record) (*deployment, error) {
	d := &deployment{dir: dir, program: program, rec: rec, store: metastore.New()}
	var err error
	d.storeAddr, err = serve("127.0.0.1", d.store.Endpoint("all"))
	return d, err
}

// freePorts returns free ports of an address.
func freePorts(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// addGateways chooses the addresses of new gateways in the given zones and writes their settings. Their seeds are
// three of the machines that there are then.
func (d *deployment) addGateways(zones ...string) ([]*gateway, error) {
	var added []*gateway
	for _, zone := range zones {
		d.named++
		g := &gateway{name: fmt.Sprintf("edge-%s-%d", zone, d.named), zone: zone, ip: fmt.Sprintf("127.66.%d.%d", os.Getpid()%250+1, d.named)}
		ports, err := freePorts(g.ip, 4)
		if err != nil {
			return nil, err
		}
		g.callers, g.ready, g.peers, g.metrics = ports[0], ports[1], ports[2], ports[3]
		g.settings, g.log = filepath.Join(d.dir, g.name+".json"), filepath.Join(d.dir, g.name+".log")
		added = append(added, g)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gateways = append(d.gateways, added...)
	var seeds []string
	regions := map[string]string{}
	for i, g := range d.gateways {
		if i < 3 {
			seeds = append(seeds, g.peers)
		}
		regions[g.zone] = "addis"
	}
	for _, g := range added {
		data, err := json.MarshalIndent(map[string]any{
			"node": g.name, "domain": g.zone, "regions": regions, "callers": g.callers, "ready": g.ready, "peers": g.peers,
			"metrics": g.metrics, "store": d.storeAddr, "seeds": seeds, "stop_limit": "6s", "upstream_drain": "2s", "longest_hold": "10s",
			"retry_share": 0.2, "retry_allowance": 62, "retry_window": "10s", "strength": 0.32, "memory_mb": memoryMB, "link_mbps": 1000.0,
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(g.settings, data, 0o600); err != nil {
			return nil, err
		}
	}
	return added, nil
}

// current returns the gateways that are not lost for good.
func (d *deployment) current() []*gateway {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.gateways)
}

// lose ends gateways for good.
func (d *deployment) lose(lost []*gateway) {
	d.mu.Lock()
	d.gateways = slices.DeleteFunc(d.gateways, func(g *gateway) bool { return slices.Contains(lost, g) })
	d.mu.Unlock()
	for _, g := range lost {
		d.kill(g)
		d.rec.printf("%s is lost for good", g.name)
	}
}

// start starts the process of a gateway.
func (d *deployment) start(g *gateway) error {
	log, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(d.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ROCKCROFT_SETTINGS=" + g.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.exited = cmd, exited
	g.mu.Unlock()
	go func() {
		// The exit code is not needed: the record has what ended the process.
		_ = cmd.Wait()
		close(exited)
	}()
	d.rec.printf("%s started", g.name)
	return nil
}

func (d *deployment) startAll() error {
	for _, g := range d.current() {
		if err := d.start(g); err != nil {
			return err
		}
	}
	return nil
}

// kill ends the process of a gateway at once.
func (d *deployment) kill(g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cmd == nil {
		return
	}
	// The process may have ended already.
	_ = g.cmd.Process.Signal(syscall.SIGKILL)
	<-g.exited
	g.cmd = nil
}

// stopAll ends all processes.
func (d *deployment) stopAll() {
	for _, g := range d.current() {
		d.kill(g)
	}
}

// awaitReady waits until a gateway says that it is ready.
func (d *deployment) awaitReady(g *gateway) error {
	for end := time.Now().Add(readyFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+platform.ReadyPath, nil)
		if err != nil {
			cancel()
			return err
		}
		resp, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.name + " is not ready in time")
}

func (d *deployment) awaitAllReady() error {
	for _, g := range d.current() {
		if err := d.awaitReady(g); err != nil {
			return err
		}
	}
	return nil
}

// register writes the entry of an instance.
func (d *deployment) register(id, service, zone, address, state string, slots int) {
	var body platform.InstanceBody
	body.Address = address
	body.Info.Service, body.Info.Zone, body.Info.Slots = service, zone, slots
	body.Status.State = state
	d.store.Put(platform.InstancesKind, id, body)
}
