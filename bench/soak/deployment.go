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
	"sync"
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
	// requestDuration is how long a stand-in upstream takes for a request.
	requestDuration = 5 * time.Millisecond
	// slots is the number of slots of each upstream.
	slots = 4
	// domains is the number of failure domains, the same as in the Addis deployment.
	domains = 3
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 2 * instance.LongBody
	// gatewayMemory is the memory limit of a gateway, in MB.
	gatewayMemory = 100
	// Limits that the users of the platform require: the time for a stop, the time in
	// which an upstream that leaves gets no more requests, the duration of a grant, and
	// the budget for retries.
	stopLimit        = 6 * time.Second
	upstreamDrain    = 2 * time.Second
	maxGrantDuration = 10 * time.Second
	retryShare       = 0.2
	retryAllowance   = 60
	retryWindow      = 10 * time.Second
	// drainNotice is how long a stopping gateway continues to accept connections. It is
	// short because the callers here notice a stop at once.
	drainNotice = time.Second
)

// deployment holds everything but the gateway processes: store, upstreams, relays and the
// settings of the gateways.
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
	// allUpstreams lists all upstreams that were ever started, including those that have
	// ended.
	allUpstreams []*upstream
	// storeFaults records when the store served no gateway.
	storeFaults faultIntervals
	// restartErrs collects the errors of restarting upstreams that harmful requests
	// crashed.
	restartErrs []error
	// cutLinks counts, for each gateway's IP address, the cuts in progress; cuts are those that have
	// ended.
	cutLinks map[string]int
	cuts     []cut
	// responseFaults are the faults of the upstreams' responses in progress.
	responseFaults instance.ResponseFaults
}

// newDeployment starts the store and the upstreams, chooses the addresses of the gateways
// and writes their settings.
func newDeployment(dir string, size Size) (*deployment, error) {
	d := &deployment{dir: dir, store: metastore.New(), oracle: instance.NewOracle(), cutLinks: make(map[string]int)}
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
	// routesPerVersion is the number of routes that each version adds to the previous one,
	// about 200 KB. Gateways then pass configurations on as differences and in pieces.
	routesPerVersion = 1400
	// maxGrowingVersions is the number of versions that add routes. It keeps a
	// configuration below the limit of the platform's store, one megabyte.
	maxGrowingVersions = 4
)

// addRoutes adds the generated routes of all versions up to the given one. A version has
// the same routes in each run.
func addRoutes(routes map[string]platform.RouteBody, template platform.RouteBody, version uint64) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range routesPerVersion * min(version, maxGrowingVersions) {
		name := fmt.Sprintf("r-%x", rng.Uint64())
		template.Path = "/" + name + "/"
		routes[name] = template
	}
}

// configurationVersion returns the version of the configuration that was written last.
func (d *deployment) configurationVersion() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// writeConfiguration writes the next version of the configuration to the store.
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
		"book":   route("/book/", "unsafe", keyedService, 1),
	}
	addRoutes(routes, route("", "safe", unkeyedService, 2), d.version)
	d.store.Put(platform.ConfigKind, platform.ConfigName, platform.ConfigBody{
		Version: d.version,
		Routes:  routes,
		Services: map[string]platform.ServiceBody{
			keyedService: {MaxConns: 1000, Keyed: true, WarmUp: 1}, unkeyedService: {MaxConns: 1000},
		},
		Limits: platform.LimitsBody{MaxHeader: 16384, MaxBody: maxBodyBytes, HeaderTimeout: 3, IdleTimeout: 15},
	})
}

// newGateway starts the relay from a gateway to the store and chooses the gateway's
// addresses.
func (d *deployment) newGateway(number int) (*gateway, error) {
	name, domain, ip := fmt.Sprintf("g%d", number), domainName(number), gatewayIP(number)
	endpoint := d.store.Endpoint(name)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	// Serve ends with the process, so its error carries no information.
	go func() { _ = (&http.Server{Handler: endpoint}).Serve(l) }()
	r, err := relay.New(l.Addr().String())
	if err != nil {
		return nil, err
	}
	g := &gateway{name: name, ip: ip, dir: d.dir, domain: domain, endpoint: endpoint, relay: r}
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	g.callers, g.ready, g.peers, g.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	return g, nil
}

// gatewayIP returns the loopback address of the gateway with the given number. Each gateway
// has its own: on 127.0.0.1, an outgoing connection could take the port of a gateway that
// is about to restart.
func gatewayIP(number int) string {
	const octet = 256
	return fmt.Sprintf("127.77.%d.%d", os.Getpid()%octet, 1+number%(octet-2))
}

// freeAddresses returns n distinct addresses on one IP, with ports chosen by the kernel. All
// ports are held until the last one is found, because the kernel may otherwise return the
// same port twice.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// An error of Close can be ignored: if the port stays in use, its gateway fails
		// to start.
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
		conf.UpstreamSource = g.ip
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
