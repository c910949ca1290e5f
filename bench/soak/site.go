package soak

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/standin/metastore"
	"github.com/rockcroft/rockcroft/standin/relay"
	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
)

const (
	keyedService   = "status"
	unkeyedService = "pay"
	host           = "soak.example"
	// requestDuration is how long a stand-in upstream runs a request.
	requestDuration = 5 * time.Millisecond
	// slots of each upstream.
	slots = 4
	// domains are as many as Addis has.
	domains = 3
	// gatewayMemory is what a gateway may use, in MB.
	gatewayMemory = 100
	// The users' bounds on the platform: for a stop, for an upstream that leaves, for a
	// grant, and for second tries.
	stopLimit        = 6 * time.Second
	upstreamDrain    = 2 * time.Second
	maxGrantDuration = 10 * time.Second
	retryShare       = 0.2
	retryAllowance   = 60
	retryWindow      = 10 * time.Second
	// drainNotice is how long a stopping gateway still takes connections; the callers
	// here notice at once.
	drainNotice = time.Second
)

// site is the deployment: everything but the gateway processes.
type deployment struct {
	dir    string
	store  *metastore.Store
	oracle *instance.Oracle

	mu               sync.Mutex
	upstreams        []*upstream
	upstreamsStarted int
	version          uint64
	gateways         []*gateway
	harmfulRequests  harmfulRequests
	// allUpstreams are all upstreams that were started, those that have ended among them.
	allUpstreams []*upstream
	// restartErrs are errors of upstreams that harmful requests ended.
	restartErrs []error
}

func (d *deployment) recordRestartError(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restartErrs = append(d.restartErrs, err)
}

// upstream is a stand-in instance behind a relay.
type upstream struct {
	*instance.Instance
	service string
	domain  string
	relay   *relay.Relay
	server  *http.Server
	// startTime is when its process started.
	startTime time.Time
	// pathFaults are when its path was disturbed.
	pathFaults faultIntervals
	// changing says that it is being replaced or started again.
	changing atomic.Bool
}

// newDeployment opens the store, the upstreams and the gateways' addresses, and writes the
// gateways' settings.
func newDeployment(dir string, size Size) (*deployment, error) {
	d := &deployment{dir: dir, store: metastore.New(), oracle: instance.NewOracle()}
	d.writeConfiguration()
	for i := range size.Upstreams {
		service := keyedService
		if i%2 == 1 {
			service = unkeyedService
		}
		if err := d.addUpstream(service, domainName(i/2)); err != nil {
			return nil, err
		}
	}
	for i := range size.Gateways {
		g, err := d.newGateway(i)
		if err != nil {
			return nil, err
		}
		d.gateways = append(d.gateways, g)
	}
	return d, d.writeSettings()
}

func domainName(i int) string { return string(rune('a' + i%domains)) }

const (
	// routesPerVersion is the number of routes that each version has more than the one before
	// it, some 200 KB: news between gateways are differences and pieces.
	routesPerVersion = 1400
	// maxGrowingVersions with added routes keep a configuration below the megabyte that the
	// platform's store takes.
	maxGrowingVersions = 4
)

// addRoutes adds the routes of all versions up to the given one. The same version has the
// same routes in each run.
func addRoutes(routes map[string]platform.RouteBody, template platform.RouteBody, version uint64) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range routesPerVersion * min(version, maxGrowingVersions) {
		name := fmt.Sprintf("r-%x", rng.Uint64())
		template.Path = "/" + name + "/"
		routes[name] = template
	}
}

// configurationVersion returns the version that the operator has written last.
func (d *deployment) configurationVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// writeConfiguration writes the next version of the configuration.
func (d *deployment) writeConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	route := func(path, kind, service string, priority int) platform.RouteBody {
		return platform.RouteBody{
			Host: host, Path: path, Kind: kind, Timeout: 2, TargetLatency: 1, Priority: priority,
			Service: service, MaxAttempts: 2,
		}
	}
	routes := map[string]platform.RouteBody{
		"status": route("/status/", "safe", keyedService, 2),
		"pay":    route("/pay/", "unsafe", unkeyedService, 0),
	}
	addRoutes(routes, route("", "safe", unkeyedService, 2), d.version)
	d.store.Put(platform.ConfigKind, platform.ConfigName, platform.ConfigBody{
		Version: d.version,
		Routes:  routes,
		Services: map[string]platform.ServiceBody{
			keyedService: {MaxConns: 1000, Keyed: true, WarmUp: 1}, unkeyedService: {MaxConns: 1000},
		},
		Limits: platform.LimitsBody{MaxHeader: 16384, MaxBody: 100000, HeaderTimeout: 3, IdleTimeout: 15},
	})
}

// addUpstream starts an upstream with an ID of its own.
func (d *deployment) addUpstream(service, domain string) error {
	d.mu.Lock()
	d.upstreamsStarted++
	id := fmt.Sprintf("i-%s-%d", service, d.upstreamsStarted)
	d.mu.Unlock()
	u, err := d.startUpstream(id, service, domain)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.upstreams = append(d.upstreams, u)
	d.mu.Unlock()
	return nil
}

// startUpstream starts the process of an upstream behind a relay and registers it.
func (d *deployment) startUpstream(id, service, domain string) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r, err := relay.New(l.Addr().String())
	if err != nil {
		return nil, err
	}
	u := &upstream{
		Instance: instance.New(id, service == keyedService, requestDuration, d.oracle),
		service:  service, domain: domain, relay: r, startTime: time.Now(),
	}
	d.setCrashHandler(u)
	d.mu.Lock()
	d.allUpstreams = append(d.allUpstreams, u)
	d.mu.Unlock()
	u.server = &http.Server{Handler: u.Instance}
	// The server ends with the process or with close; its error says no more.
	go func() { _ = u.server.Serve(l) }()
	d.register(u, "ready")
	return u, nil
}

// restartUpstream ends the process of an upstream and starts it again under its ID after a time, at
// another address. One that is being replaced or restarted is left alone.
func (d *deployment) restartUpstream(u *upstream, downtime time.Duration) error {
	if !u.changing.CompareAndSwap(false, true) {
		return nil
	}
	return d.restartClaimed(u, downtime)
}

// restartClaimed is restart for an upstream that nobody else replaces or restarts.
func (d *deployment) restartClaimed(u *upstream, downtime time.Duration) error {
	u.relay.Close()
	err := u.server.Close()
	u.End()
	time.Sleep(downtime)
	next, startErr := d.startUpstream(u.ID, u.service, u.domain)
	if startErr != nil {
		return errors.Join(err, startErr)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if i := slices.Index(d.upstreams, u); i >= 0 {
		d.upstreams[i] = next
	}
	return err
}

func (d *deployment) register(u *upstream, state string) {
	var body platform.InstanceBody
	body.Address, body.StartedMs = u.relay.Addr(), uint64(u.startTime.UnixMilli())
	body.Info.Service, body.Info.Zone, body.Info.Slots = u.service, u.domain, slots
	body.Status.State = state
	d.store.Put(platform.InstancesKind, u.ID, body)
}

// upstreamAt picks one of the upstreams.
func (d *deployment) upstreamAt(n int) *upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.upstreams[n%len(d.upstreams)]
}

// replaceUpstream lets an upstream leave as the platform'd do, and starts another. Its answers tell that it
// leaves; announce tells it elsewhere.
func (d *deployment) replaceUpstream(u *upstream, announce func()) error {
	if !u.changing.CompareAndSwap(false, true) {
		return nil
	}
	u.Leave()
	announce()
	time.Sleep(leaveDuration)
	d.store.Remove(platform.InstancesKind, u.ID)
	d.mu.Lock()
	for i, other := range d.upstreams {
		if other == u {
			d.upstreams = append(d.upstreams[:i:i], d.upstreams[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	if err := d.addUpstream(u.service, u.domain); err != nil {
		return err
	}
	time.Sleep(leaveDuration)
	u.relay.Close()
	u.End()
	return u.server.Close()
}

// leaveDuration is how long an upstream serves on after it has said that it leaves.
const leaveDuration = 2500 * time.Millisecond

// newGateway opens the relay of a gateway to the store and finds ports for it.
func (d *deployment) newGateway(number int) (*gateway, error) {
	name, domain, ip := fmt.Sprintf("g%d", number), domainName(number), gatewayIP(number)
	door := d.store.Door(name)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	// The server ends with the process.
	go func() { _ = (&http.Server{Handler: door}).Serve(l) }()
	r, err := relay.New(l.Addr().String())
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, dir: d.dir, domain: domain, door: door, relay: r}
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	g.callers, g.ready, g.peers, g.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	return g, nil
}

// gatewayIP returns the loopback address of the gateway with the number. Gateways have
// addresses of their own: on 127.0.0.1 a connection on its way out could take the port of
// one that is to start again.
func gatewayIP(number int) string {
	const octet = 256
	return fmt.Sprintf("127.77.%d.%d", os.Getpid()%octet, 1+number%(octet-2))
}

// freeAddresses returns different addresses of one IP, with ports of the kernel's choice.
// All are held until the last one is found: else the kernel may give a port out again.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// Closing a listener that nobody has connected to cannot fail in a way that
		// matters: a port that stays taken shows when its gateway starts.
		defer func() { _ = l.Close() }()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// writeSettings writes the settings file of each gateway.
func (d *deployment) writeSettings() error {
	var errs []error
	var seeds []jsonc.Addr
	for _, g := range d.gateways[:min(domains, len(d.gateways))] {
		seeds = append(seeds, parseAddress(g.peers))
	}
	for _, g := range d.gateways {
		conf := settings.DefaultGateway()
		conf.Node, conf.Domain, conf.Seeds = g.name, g.domain, seeds
		conf.Callers, conf.Ready, conf.Peers, conf.Metrics = parseAddress(g.callers), parseAddress(g.ready), parseAddress(g.peers), parseAddress(g.metrics)
		conf.Store = parseAddress(g.relay.Addr())
		conf.DrainNotice, conf.StopLimit = jsonc.Duration(drainNotice), jsonc.Duration(stopLimit)
		conf.UpstreamDrainTimeout, conf.MaxGrantDuration = jsonc.Duration(upstreamDrain), jsonc.Duration(maxGrantDuration)
		conf.RetryShare, conf.RetryAllowance, conf.RetryWindow = retryShare, retryAllowance, jsonc.Duration(retryWindow)
		conf.MemoryMB = gatewayMemory
		data, err := json.MarshalIndent(conf, "", "  ")
		if err != nil {
			return err
		}
		errs = append(errs, os.WriteFile(filepath.Join(d.dir, g.name+".json"), data, 0o600))
	}
	return errors.Join(errs...)
}

func parseAddress(text string) jsonc.Addr { return jsonc.Addr{AddrPort: netip.MustParseAddrPort(text)} }
