// Package routing defines the operator's routing configuration, matches requests to
// routes and splits the requests of a route between services.
package routing

import (
	"strings"
	"time"
)

// Configuration is one version of the operator's configuration.
type Configuration struct {
	// Version increases with each change, but not necessarily by one.
	Version  uint64
	Routes   map[string]*Route
	Services map[string]*Service
	Limits   Limits
	// Teams is nil if requests need no credential.
	Teams map[string]*Team
}

// Limits are the limits on requests and connections of clients.
type Limits struct {
	// MaxHeader and MaxBody are the maximum sizes of the headers and the body of a
	// request, in bytes.
	MaxHeader int
	MaxBody   int64
	// HeaderTimeout is the timeout for reading the headers of a request.
	// IdleTimeout is how long a connection may be idle before it is closed.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route defines how requests for a host and path prefix are handled.
type Route struct {
	Name string
	// Host is in lower case. Prefix is a path prefix that begins and ends with a
	// slash.
	Host   string
	Prefix string
	// Idempotent is true if requests can safely be executed more than once.
	Idempotent bool
	// Anonymous is true if requests need no credential.
	Anonymous bool
	// Timeout is the longest time that a client waits for a response.
	Timeout time.Duration
	// Objective is the latency objective: slower responses count as late.
	Objective time.Duration
	// Priority is the priority of the route's requests; zero is the highest.
	Priority int
	// MaxAttempts is the maximum number of upstreams to which one request is sent.
	MaxAttempts int
	// Targets are the services that handle the requests, with their weights. Most
	// routes have one target.
	Targets []Target
}

// Target is a service that receives a share of a route's requests in proportion to
// its weight.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of upstreams that handle the same kind of requests.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections from all callers to one upstream.
	MaxConns int
	// Keyed is true if each key is owned by one of the upstreams.
	Keyed bool
	// WarmUp is how long requests for a key remain slow after the key moved to an
	// upstream without its state.
	WarmUp time.Duration
	// WarmUpRate is the number of requests per second that an upstream can handle while
	// it warms up. Zero means no limit.
	WarmUpRate float64
}

// Table finds the route of a request by host and path. It is immutable.
type Table struct {
	*Configuration
	routesByHost     map[string]map[string]*Route
	teamByCredential map[credentialDigest]*Team
}

// NewTable returns a table of the routes of a configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{Configuration: c, routesByHost: make(map[string]map[string]*Route), teamByCredential: indexCredentials(c.Teams)}
	for _, r := range c.Routes {
		byPrefix := t.routesByHost[r.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			t.routesByHost[r.Host] = byPrefix
		}
		byPrefix[r.Prefix] = r
	}
	return t
}

// Match returns the route of the host with the longest prefix that matches the path,
// or nil if there is none. The host may have a port, and its case is ignored.
func (t *Table) Match(host, path string) *Route {
	byPrefix := t.routesByHost[strings.ToLower(stripPort(host))]
	if byPrefix == nil {
		return nil
	}
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := byPrefix[path[:i+1]]; r != nil {
			return r
		}
		end = i
	}
	return nil
}

// stripPort returns host without its port, if any.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
