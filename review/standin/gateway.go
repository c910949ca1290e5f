package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/standin/metastore"
)

// site is what the settings of all gateways have in common: the bounds and limits of a site file.
type site struct {
	zones       []string
	region      string
	budgetSlack int
	drain       float64
	memoryMB    int
	linkMbps    float64
	cpuShare    float64
}

// gateway is one process of the project, started with the command of the deploy file.
type gateway struct {
	name, zone, dir                string
	callers, ready, peers, metrics string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// gatewayIP returns a loopback address of its own for each gateway: an outgoing connection from a
// shared one could take the port of a gateway that starts again.
func gatewayIP(n int) string { return fmt.Sprintf("127.91.%d.%d", os.Getpid()%250, n+1) }

// freePorts returns addresses with free ports on one loopback address.
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

// newGateways chooses the addresses of the gateways and writes their settings, with the names and
// values that deploy/gateway.jsonc gives them.
// first is the number of gateways that were there before.
func newGateways(dir string, first, count int, s site, store string) ([]*gateway, error) {
	var all []*gateway
	var seeds []string
	for n := first; n < first+count; n++ {
		addresses, err := freePorts(gatewayIP(n), 4)
		if err != nil {
			return nil, err
		}
		g := &gateway{name: fmt.Sprintf("edge-%d", n+1), zone: s.zones[n%len(s.zones)], dir: dir, callers: addresses[0], ready: addresses[1], peers: addresses[2], metrics: addresses[3]}
		all = append(all, g)
		if n < first+3 {
			seeds = append(seeds, g.peers)
		}
	}
	regions := make(map[string]string)
	for _, z := range s.zones {
		regions[z] = s.region
	}
	for _, g := range all {
		data, err := json.MarshalIndent(map[string]any{
			"node": g.name, "domain": g.zone, "regions": regions,
			"callers": g.callers, "ready": g.ready, "peers": g.peers, "metrics": g.metrics,
			"store": store, "seeds": seeds, "stop_limit": "6s", "upstream_drain": fmt.Sprintf("%gs", s.drain), "longest_hold": "10s",
			"retry_share": 0.2, "retry_allowance": s.budgetSlack, "retry_window": "10s",
			"strength": s.cpuShare, "memory_mb": s.memoryMB, "link_mbps": s.linkMbps,
		}, "", "  ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(g.settings(), data, 0o600); err != nil {
			return nil, err
		}
	}
	return all, nil
}

func (g *gateway) settings() string { return filepath.Join(g.dir, g.name+".jsonc") }

// start starts the process. The environment is what the platform gives it.
func (g *gateway) start() error {
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/rockcroft-gateway")
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"ROCKCROFT_SETTINGS=" + g.settings(), "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	g.mu.Lock()
	g.cmd, g.done = cmd, done
	g.mu.Unlock()
	started.add(g)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// started are the gateways that this process has started.
var started processes

type processes struct {
	mu  sync.Mutex
	all []*gateway
}

func (p *processes) add(g *gateway) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, g)
}

// killAll ends all processes that this one has started, when it is itself asked to end.
func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.all {
		g.kill()
	}
}

// kill ends the process by its ID and waits for its end.
func (g *gateway) kill() {
	g.mu.Lock()
	cmd, done := g.cmd, g.done
	g.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// isReady asks the gateway as the platform does.
func (g *gateway) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startStore starts the stand-in of the platform's store and returns its address.
func startStore() (*metastore.Store, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	store := metastore.New()
	server := &http.Server{Handler: store.Endpoint("all"), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(l) }()
	return store, l.Addr().String(), nil
}
