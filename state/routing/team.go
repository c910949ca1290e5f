package routing

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// Team is a group of callers with common credentials and a common quota.
type Team struct {
	Name string
	// Credentials are secrets: they must not appear in logs, errors or metrics.
	Credentials []string
	// Priority overrides the priority of the routes; nil keeps it.
	Priority *int
	Quota    Quota
}

// Quota bounds the requests of a team over all gateways: PerSecond requests per second on average,
// and up to Burst requests more at a time. A zero PerSecond means no bound.
type Quota struct {
	PerSecond float64
	Burst     float64
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

func (q Quota) valid() bool {
	return q.PerSecond >= 0 && q.Burst >= 0 && !math.IsInf(q.PerSecond, 0) && !math.IsInf(q.Burst, 0)
}

// credentialDigest identifies a credential, so that a table does not hold the secrets a second time
// and a lookup takes the same time for any credential.
type credentialDigest [sha256.Size]byte

func digestOf(credential string) credentialDigest { return sha256.Sum256([]byte(credential)) }

func indexCredentials(teams map[string]*Team) map[credentialDigest]*Team {
	index := make(map[credentialDigest]*Team)
	for _, team := range teams {
		for _, c := range team.Credentials {
			index[digestOf(c)] = team
		}
	}
	return index
}

// NeedsCredential reports whether requests of the route need the credential of a team.
func (t *Table) NeedsCredential(r *Route) bool { return t.Teams != nil && !r.Anonymous }

// TeamOf returns the team that holds the credential, or nil.
func (t *Table) TeamOf(credential string) *Team { return t.teamByCredential[digestOf(credential)] }

// Validate checks what a single route, service or team does not show. Errors name no credential.
func (c *Configuration) Validate() error {
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		if err := c.validateTargets(c.Routes[name]); err != nil {
			return fmt.Errorf("route %s: %w", name, err)
		}
	}
	return c.validateTeams()
}

func (c *Configuration) validateTargets(r *Route) error {
	total := 0.0
	for _, target := range r.Targets {
		if c.Services[target.Service] == nil {
			return fmt.Errorf("unknown service %q", target.Service)
		}
		if target.Weight < 0 {
			return fmt.Errorf("the weight of service %s is negative: %g", target.Service, target.Weight)
		}
		total += target.Weight
	}
	if total <= 0 {
		return fmt.Errorf("the sum of the weights is %g", total)
	}
	return nil
}

func (c *Configuration) validateTeams() error {
	holders := make(map[credentialDigest]string)
	for _, name := range slices.Sorted(maps.Keys(c.Teams)) {
		team := c.Teams[name]
		if !validTeamName(name) {
			return fmt.Errorf("the team name %q cannot be sent in a header", name)
		}
		if !team.Quota.valid() {
			return fmt.Errorf("team %s: invalid quota of %g requests per second and a burst of %g", name, team.Quota.PerSecond, team.Quota.Burst)
		}
		for i, credential := range team.Credentials {
			if credential == "" {
				return fmt.Errorf("team %s: credential %d is empty", name, i+1)
			}
			if other, taken := holders[digestOf(credential)]; taken && other != name {
				return fmt.Errorf("teams %s and %s have a credential in common", other, name)
			}
			holders[digestOf(credential)] = name
		}
	}
	return nil
}

// validTeamName reports whether the name can be sent as the value of a header: visible ASCII only.
func validTeamName(name string) bool {
	return name != "" && strings.IndexFunc(name, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
