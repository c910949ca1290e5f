// Package routing holds the operator's configuration and finds the route of a
// request.
package routing

import (
	"strings"
	"time"
)

// Configuration is one version of what the operator wants.
type Configuration struct {
	// Version only rises, in uneven steps.
	Version  uint64
	Routes   map[string]*Route
	Services map[string]*Service
	Limits   Limits
}

// Limits bound what a client may send.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int
	MaxBody   int64
	// HeaderTimeout bounds the time for the headers of a request,
	// IdleTimeout the time that a connection may stay without requests.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Route says where the requests of a host and path go.
type Route struct {
	Name string
	// Host is in lower case. Prefix begins and ends with a slash.
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time.
	Objective time.Duration
	// Priority ranks routes; zero is the most important.
	Priority int
	// MaxAttempts bounds the upstreams that one request is sent to.
	MaxAttempts int
	// Targets are the services, with their shares; one for most routes.
	Targets []Target
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of upstreams that do the same work.
type Service struct {
	Name string
	// MaxConns bounds the connections of all callers to one upstream.
	MaxConns int
	// Keyed says that each key has one owner among the upstreams.
	Keyed bool
	// WarmUp is how long keys are slow that came without their state.
	WarmUp time.Duration
	// WarmUpRate is how many requests a second an upstream bears while it warms up; zero
	// when that is not bounded.
	WarmUpRate float64
}

// Table finds routes. It is immutable.
type Table struct {
	*Configuration
	routesByHost map[string]map[string]*Route
}

// NewTable indexes a configuration.
func NewTable(c *Configuration) *Table {
	t := &Table{Configuration: c, routesByHost: make(map[string]map[string]*Route)}
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

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
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

// stripPort takes the port off.
func stripPort(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		return host[:i]
	}
	return host
}
