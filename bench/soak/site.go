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
	keyedService = "status"
	otherService = "pay"
	host         = "soak.example"
	// work is how long a stand-in upstream runs a request.
	work = 5 * time.Millisecond
	// slots of each upstream.
	slots = 4
	// domains are as many as Addis has.
	domains = 3
	// gatewayMemory is what a gateway may use, in MB.
	gatewayMemory = 100
	// The users' bounds on the platform: for a stop, for an upstream that leaves, for a
	// grant, and for second tries.
	stopLimit      = 6 * time.Second
	upstreamDrain  = 2 * time.Second
	longestHold    = 10 * time.Second
	retryShare     = 0.2
	retryAllowance = 60
	retryWindow    = 10 * time.Second
	// drainNotice is how long a stopping gateway still takes connections; the callers
	// here notice at once.
	drainNotice = time.Second
)

// site is the deployment: everything but the gateway processes.
type site struct {
	dir    string
	store  *metastore.Store
	oracle *instance.Oracle

	mu        sync.Mutex
	upstreams []*upstream
	started   int
	version   uint64
	gateways  []*gateway
	harms     harms
	// ever are all upstreams that were started, those that have ended among them.
	ever []*upstream
	// restartErrs are errors of upstreams that harmful requests ended.
	restartErrs []error
}

func (s *site) failedRestart(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restartErrs = append(s.restartErrs, err)
}

// upstream is a stand-in instance behind a relay.
type upstream struct {
	*instance.Instance
	service string
	domain  string
	relay   *relay.Relay
	server  *http.Server
	// born is when its process started.
	born time.Time
	// cuts are when its path was disturbed.
	cuts faultTimes
	// changing says that it is being replaced or started again.
	changing atomic.Bool
}

// newSite opens the store, the upstreams and the gateways' addresses, and writes the
// gateways' settings.
func newSite(dir string, size Size) (*site, error) {
	s := &site{dir: dir, store: metastore.New(), oracle: instance.NewOracle()}
	s.configure()
	for i := range size.Upstreams {
		service := keyedService
		if i%2 == 1 {
			service = otherService
		}
		if err := s.addUpstream(service, domainName(i/2)); err != nil {
			return nil, err
		}
	}
	for i := range size.Gateways {
		g, err := s.newGateway(i)
		if err != nil {
			return nil, err
		}
		s.gateways = append(s.gateways, g)
	}
	return s, s.writeSettings()
}

func domainName(i int) string { return string(rune('a' + i%domains)) }

const (
	// addedRoutes is the number of routes that each version has more than the one before
	// it, some 200 KB: news between gateways are differences and pieces.
	addedRoutes = 1400
	// mostVersions with added routes keep a configuration below the megabyte that the
	// platform's store takes.
	mostVersions = 4
)

// addRoutes adds the routes of all versions up to the given one. The same version has the
// same routes in each run.
func addRoutes(routes map[string]platform.RouteBody, like platform.RouteBody, version uint64) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range addedRoutes * min(version, mostVersions) {
		name := fmt.Sprintf("r-%x", rng.Uint64())
		like.Path = "/" + name + "/"
		routes[name] = like
	}
}

// configured returns the version that the operator has written last.
func (s *site) configured() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	route := func(path, kind, service string, priority int) platform.RouteBody {
		return platform.RouteBody{
			Host: host, Path: path, Kind: kind, Timeout: 2, TargetLatency: 1, Priority: priority,
			Service: service, MaxAttempts: 2,
		}
	}
	routes := map[string]platform.RouteBody{
		"status": route("/status/", "safe", keyedService, 2),
		"pay":    route("/pay/", "unsafe", otherService, 0),
	}
	addRoutes(routes, route("", "safe", otherService, 2), s.version)
	s.store.Put(platform.ConfigKind, platform.ConfigName, platform.ConfigBody{
		Version: s.version,
		Routes:  routes,
		Services: map[string]platform.ServiceBody{
			keyedService: {MaxConns: 1000, Keyed: true, WarmUp: 1}, otherService: {MaxConns: 1000},
		},
		Limits: platform.LimitsBody{MaxHeader: 16384, MaxBody: 100000, HeaderTimeout: 3, IdleTimeout: 15},
	})
}

// addUpstream starts an upstream with an ID of its own.
func (s *site) addUpstream(service, domain string) error {
	s.mu.Lock()
	s.started++
	id := fmt.Sprintf("i-%s-%d", service, s.started)
	s.mu.Unlock()
	u, err := s.startUpstream(id, service, domain)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.upstreams = append(s.upstreams, u)
	s.mu.Unlock()
	return nil
}

// startUpstream starts the process of an upstream behind a relay and registers it.
func (s *site) startUpstream(id, service, domain string) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r, err := relay.New(l.Addr().String())
	if err != nil {
		return nil, err
	}
	u := &upstream{
		Instance: instance.New(id, service == keyedService, work, s.oracle),
		service:  service, domain: domain, relay: r, born: time.Now(),
	}
	s.arm(u)
	s.mu.Lock()
	s.ever = append(s.ever, u)
	s.mu.Unlock()
	u.server = &http.Server{Handler: u.Instance}
	// The server ends with the process or with close; its error says no more.
	go func() { _ = u.server.Serve(l) }()
	s.register(u, "ready")
	return u, nil
}

// restart ends the process of an upstream and starts it again under its ID after a time, at
// another address. One that is being replaced or restarted is left alone.
func (s *site) restart(u *upstream, dark time.Duration) error {
	if !u.changing.CompareAndSwap(false, true) {
		return nil
	}
	return s.startAgain(u, dark)
}

// startAgain is restart for an upstream that nobody else replaces or restarts.
func (s *site) startAgain(u *upstream, dark time.Duration) error {
	u.relay.Close()
	err := u.server.Close()
	u.Terminate()
	time.Sleep(dark)
	next, startErr := s.startUpstream(u.ID, u.service, u.domain)
	if startErr != nil {
		return errors.Join(err, startErr)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.upstreams, u); i >= 0 {
		s.upstreams[i] = next
	}
	return err
}

func (s *site) register(u *upstream, state string) {
	var body platform.InstanceBody
	body.Address, body.StartedMs = u.relay.Addr(), uint64(u.born.UnixMilli())
	body.Info.Service, body.Info.Zone, body.Info.Slots = u.service, u.domain, slots
	body.Status.State = state
	s.store.Put(platform.InstancesKind, u.ID, body)
}

// upstreamAt picks one of the upstreams.
func (s *site) upstreamAt(n int) *upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.upstreams[n%len(s.upstreams)]
}

// replace lets an upstream leave as the platform's do, and starts another. Its answers tell that it
// leaves; announce tells it elsewhere.
func (s *site) replace(u *upstream, announce func()) error {
	if !u.changing.CompareAndSwap(false, true) {
		return nil
	}
	u.AnnounceLeaving()
	announce()
	time.Sleep(leaveTime)
	s.store.Remove(platform.InstancesKind, u.ID)
	s.mu.Lock()
	for i, one := range s.upstreams {
		if one == u {
			s.upstreams = append(s.upstreams[:i:i], s.upstreams[i+1:]...)
			break
		}
	}
	s.mu.Unlock()
	if err := s.addUpstream(u.service, u.domain); err != nil {
		return err
	}
	time.Sleep(leaveTime)
	u.relay.Close()
	u.Terminate()
	return u.server.Close()
}

// leaveTime is how long an upstream serves on after it has said that it leaves.
const leaveTime = 2500 * time.Millisecond

// newGateway opens the relay of a gateway to the store and finds ports for it.
func (s *site) newGateway(number int) (*gateway, error) {
	name, domain, ip := fmt.Sprintf("g%d", number), domainName(number), gatewayIP(number)
	door := s.store.Endpoint(name)
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
	g := &gateway{name: name, dir: s.dir, domain: domain, door: door, relay: r}
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
func (s *site) writeSettings() error {
	var errs []error
	var seeds []jsonc.Addr
	for _, g := range s.gateways[:min(domains, len(s.gateways))] {
		seeds = append(seeds, address(g.peers))
	}
	for _, g := range s.gateways {
		conf := settings.DefaultGateway()
		conf.Node, conf.Domain, conf.Seeds = g.name, g.domain, seeds
		conf.Callers, conf.Ready, conf.Peers, conf.Metrics = address(g.callers), address(g.ready), address(g.peers), address(g.metrics)
		conf.Store = address(g.relay.Addr())
		conf.DrainNotice, conf.StopLimit = jsonc.Duration(drainNotice), jsonc.Duration(stopLimit)
		conf.UpstreamDrainTimeout, conf.MaxGrantDuration = jsonc.Duration(upstreamDrain), jsonc.Duration(longestHold)
		conf.RetryShare, conf.RetryAllowance, conf.RetryWindow = retryShare, retryAllowance, jsonc.Duration(retryWindow)
		conf.MemoryMB = gatewayMemory
		data, err := json.MarshalIndent(conf, "", "  ")
		if err != nil {
			return err
		}
		errs = append(errs, os.WriteFile(filepath.Join(s.dir, g.name+".json"), data, 0o600))
	}
	return errors.Join(errs...)
}

func address(text string) jsonc.Addr { return jsonc.Addr{AddrPort: netip.MustParseAddrPort(text)} }
