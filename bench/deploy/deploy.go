// Package deploy writes the settings of a deployment on the loopback interface: entries, stand-in
// upstreams and the stand-in platform. It also writes a list of the processes, which scripts start.
package deploy

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/state/intent"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/service"
)

// ServiceShape describes a service of a deployment.
type ServiceShape struct {
	Name      string
	Instances int
	Slots     int
	ReadTime  time.Duration
	WriteTime time.Duration
	Weights   service.Weights
	Rebalance bool
}

// Shape describes a deployment.
type Shape struct {
	Name             string
	Domains          int
	EntriesPerDomain int
	Connections      int
	// Distance is the network delay that the upstreams simulate.
	Distance time.Duration
	Services []ServiceShape
	Unfenced bool
}

// Weights of the addis and merrimack deployments; demo uses the latter.
var (
	addisWeights     = service.Weights{Imbalance: 1, Churn: 1, Unavailable: 2}
	merrimackWeights = service.Weights{Imbalance: 3, Churn: 1, Unavailable: 1}
)

func newServiceShape(name string, instances, slots int, w service.Weights) ServiceShape {
	return ServiceShape{
		Name: name, Instances: instances, Slots: slots, Weights: w, Rebalance: true,
		ReadTime: 20 * time.Millisecond, WriteTime: 50 * time.Millisecond,
	}
}

// withShortRuns shortens the run times, so that a small deployment handles many requests in a short
// time.
func withShortRuns(s ServiceShape) ServiceShape {
	s.ReadTime, s.WriteTime = 4*time.Millisecond, 12*time.Millisecond
	return s
}

// Shapes returns the predefined deployments.
func Shapes() []Shape {
	return []Shape{
		{
			Name: "demo", Domains: 2, EntriesPerDomain: 2, Connections: 130,
			Services: []ServiceShape{withShortRuns(newServiceShape("status", 6, 4, merrimackWeights))},
		},
		{
			Name: "addis", Domains: 3, EntriesPerDomain: 3, Connections: 130,
			Distance: 500 * time.Microsecond,
			Services: []ServiceShape{
				newServiceShape("activation-status", 10, 4, addisWeights),
				newServiceShape("activation", 7, 4, addisWeights),
				newServiceShape("billing", 6, 4, addisWeights),
				newServiceShape("registration", 10, 4, addisWeights),
			},
		},
		{
			Name: "merrimack", Domains: 4, EntriesPerDomain: 2, Connections: 110,
			Distance: time.Millisecond,
			Services: []ServiceShape{
				newServiceShape("inventory", 9, 6, merrimackWeights),
				newServiceShape("booking", 8, 6, merrimackWeights),
				newServiceShape("billing", 8, 6, merrimackWeights),
				newServiceShape("routes", 8, 6, merrimackWeights),
			},
		},
	}
}

// Find returns the named shape.
func Find(name string) (Shape, error) {
	var names []string
	for _, s := range Shapes() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Shape{}, fmt.Errorf("deployment %q does not exist; known deployments: %s", name, strings.Join(names, ", "))
}

// Processes returns the number of processes of the deployment.
func (s Shape) Processes() int {
	n := 1 + s.Domains*s.EntriesPerDomain
	for _, svc := range s.Services {
		n += svc.Instances
	}
	return n
}

// Process is one process of a deployment.
type Process struct {
	Name    string
	Program string
	// Ready is the address and path that respond with status 200 when the process is ready.
	Ready string
}

// EntryAddrs are the addresses of one entry.
type EntryAddrs struct {
	Name    string     `json:"name"`
	Domain  string     `json:"domain"`
	Callers jsonc.Addr `json:"callers"`
	Peers   jsonc.Addr `json:"peers"`
	Admin   jsonc.Addr `json:"admin"`
}

// UpstreamAddr is the address of one stand-in upstream.
type UpstreamAddr struct {
	Name    string     `json:"name"`
	Service string     `json:"service"`
	Domain  string     `json:"domain"`
	Addr    jsonc.Addr `json:"addr"`
	Oracle  string     `json:"oracle"`
}

// AddressMap lists the addresses of a deployment.
type AddressMap struct {
	Shape     string         `json:"shape"`
	Platform  jsonc.Addr     `json:"platform"`
	Entries   []EntryAddrs   `json:"entries"`
	Upstreams []UpstreamAddr `json:"upstreams"`
}

// portAllocator allocates free ports chosen by the kernel. They stay bound until all are allocated,
// so that no port is allocated twice.
type portAllocator struct{ listeners []net.Listener }

func (p *portAllocator) next() (jsonc.Addr, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return jsonc.Addr{}, fmt.Errorf("allocate a port: %w", err)
	}
	p.listeners = append(p.listeners, l)
	return jsonc.Addr{AddrPort: netip.MustParseAddrPort(l.Addr().String())}, nil
}

func (p *portAllocator) release() {
	for _, l := range p.listeners {
		_ = l.Close()
	}
}

// AssignAddresses assigns addresses to all processes of a shape.
func AssignAddresses(s Shape, dir string) (AddressMap, error) {
	var p portAllocator
	defer p.release()
	m := AddressMap{Shape: s.Name}
	var err error
	if m.Platform, err = p.next(); err != nil {
		return m, err
	}
	for d := range s.Domains {
		for e := range s.EntriesPerDomain {
			addrs := EntryAddrs{Name: fmt.Sprintf("entry-%c%d", 'a'+d, e+1), Domain: domainName(d)}
			for _, a := range []*jsonc.Addr{&addrs.Callers, &addrs.Peers, &addrs.Admin} {
				if *a, err = p.next(); err != nil {
					return m, err
				}
			}
			m.Entries = append(m.Entries, addrs)
		}
	}
	for _, svc := range s.Services {
		for i := range svc.Instances {
			addr, err := p.next()
			if err != nil {
				return m, err
			}
			name := fmt.Sprintf("%s-%d", svc.Name, i+1)
			m.Upstreams = append(m.Upstreams, UpstreamAddr{
				Name: name, Service: svc.Name, Domain: domainName(i % s.Domains), Addr: addr,
				Oracle: filepath.Join(dir, name+".oracle"),
			})
		}
	}
	return m, nil
}

func domainName(d int) string { return "domain-" + string(rune('a'+d)) }

// Write assigns addresses and writes the settings of every process, the address map and the list of
// processes to start.
func Write(s Shape, dir string) (AddressMap, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return AddressMap{}, fmt.Errorf("create deployment directory: %w", err)
	}
	m, err := AssignAddresses(s, dir)
	if err != nil {
		return m, err
	}
	w := writer{dir: dir}
	w.writeProcess("platform", map[string]any{"listen": m.Platform}, "standin-platform", m.Platform.String()+"/ready")
	for _, e := range m.Entries {
		w.writeProcess(e.Name, map[string]any{
			"id": e.Name, "domain": e.Domain, "callers": e.Callers, "peers": e.Peers,
			"admin": e.Admin, "platform": m.Platform, "seeds": peerSeeds(m, e),
		}, "rockcroft-entry", e.Admin.String()+"/health")
	}
	for _, u := range m.Upstreams {
		shape := s.service(u.Service)
		w.writeProcess(u.Name, map[string]any{
			"id": u.Name, "listen": u.Addr, "slots": shape.Slots, "connections": s.Connections,
			"read_time": jsonc.Duration(shape.ReadTime), "write_time": jsonc.Duration(shape.WriteTime),
			"distance_delay": jsonc.Duration(s.Distance), "oracle_file": u.Oracle,
			"checks_fences": !s.Unfenced,
		}, "standin-upstream", u.Addr.String()+"/ready")
	}
	w.writeJSON("deployment.json", m)
	for _, svc := range s.Services {
		w.writeJSON("create-"+svc.Name+".json", createSpec(s, svc, m))
	}
	w.writeProcessList()
	return m, w.err
}

func (s Shape) service(name string) ServiceShape {
	i := slices.IndexFunc(s.Services, func(v ServiceShape) bool { return v.Name == name })
	return s.Services[i]
}

func peerSeeds(m AddressMap, self EntryAddrs) []jsonc.Addr {
	var out []jsonc.Addr
	for _, e := range m.Entries {
		if e.Name != self.Name {
			out = append(out, e.Peers)
		}
	}
	return out
}

// createSpec returns the intent that creates a service with all its upstreams.
func createSpec(s Shape, svc ServiceShape, m AddressMap) intent.Spec {
	conf := service.Default()
	conf.Name = svc.Name
	conf.ChecksFences = !s.Unfenced
	conf.Slots = svc.Slots
	conf.Connections = s.Connections
	conf.Weights = svc.Weights
	conf.Rebalance = svc.Rebalance
	spec := intent.Spec{Kind: intent.CreateService, Service: &conf}
	for _, u := range m.Upstreams {
		if u.Service == svc.Name {
			spec.Upstreams = append(spec.Upstreams, intent.Upstream{
				ID: u.Name, Service: u.Service, Addr: u.Addr, Cell: u.Domain,
			})
		}
	}
	return spec
}

// writer writes files; after the first error it does nothing more.
type writer struct {
	dir       string
	processes []Process
	err       error
}

func (w *writer) writeJSON(name string, v any) {
	if w.err != nil {
		return
	}
	data, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(w.dir, name), append(data, '\n'), 0o644)
	}
	w.err = err
}

func (w *writer) writeProcess(name string, v any, program, ready string) {
	w.writeJSON(name+".json", v)
	w.processes = append(w.processes, Process{Name: name, Program: program, Ready: ready})
}

// writeProcessList writes one line per process: name, program, readiness address.
func (w *writer) writeProcessList() {
	if w.err != nil {
		return
	}
	var b strings.Builder
	for _, p := range w.processes {
		fmt.Fprintf(&b, "%s %s %s\n", p.Name, p.Program, p.Ready)
	}
	w.err = os.WriteFile(filepath.Join(w.dir, "processes"), []byte(b.String()), 0o644)
}

// Load reads the address map of a deployment from its directory.
func Load(dir string) (AddressMap, error) {
	var m AddressMap
	data, err := os.ReadFile(filepath.Join(dir, "deployment.json"))
	if err != nil {
		return m, fmt.Errorf("read deployment: %w", err)
	}
	if err := json.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("parse deployment: %w", err)
	}
	return m, nil
}
