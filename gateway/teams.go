package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/state/routing"
)

// This file determines the team of a request from its credential. Credentials are secrets: they are
// neither logged nor passed on.

// revocationMargin is the fraction of the revocation timeout that is reserved for clocks that run at
// different speeds and for the time between a check and the send that it allows.
const revocationMargin = 0.1

// identify returns the team whose credential the headers carry, or nil if the route needs none.
func (f *proxy) identify(table *routing.Table, route *routing.Route, h http.Header) (*routing.Team, error) {
	if !table.NeedsCredential(route) {
		return nil, nil
	}
	if err := f.checkCredentialsCurrent(); err != nil {
		return nil, err
	}
	if credential, ok := platform.Credential(h); ok {
		if team := table.TeamOf(credential); team != nil {
			return team, nil
		}
	}
	if age, _ := f.configurationAge(); age > maxConfigurationAge {
		// Another gateway may know the credential.
		return nil, outdatedError("unknown credential", age)
	}
	return nil, answer.New(answer.Unauthorized, "the request has no credential of a team")
}

// checkCredentialsCurrent returns an error if a credential may have been revoked so long ago that no
// gateway may accept it any more, without this gateway having heard of it.
func (f *proxy) checkCredentialsCurrent() error {
	if f.revocationTimeout == 0 {
		return nil
	}
	_, confirmed := f.configurationAge()
	if float64(confirmed) <= (1-revocationMargin)*float64(f.revocationTimeout) {
		return nil
	}
	return outdatedError("credentials not checked", confirmed)
}

// outdatedError returns the error for a request that cannot be decided here because the configuration
// may be outdated. It states that nothing was executed and that a retry may succeed.
func outdatedError(what string, age time.Duration) error {
	refusal := answer.New(answer.NoRight, "%s: the configuration was last known to be the newest %d ms ago", what, age.Milliseconds())
	refusal.RetryAfter = retryAfterUnknown
	return refusal
}

// checkTeam returns an error if the request may no longer be sent, because its credential has been
// revoked since it arrived or may have been.
func (f *proxy) checkTeam(q *request) error {
	if q.team == nil {
		return nil
	}
	_, err := f.identify(f.view.table.Load(), q.route, q.Header)
	return err
}

// priority returns the priority of the request: that of its team if it has one, else of its route.
func (q *request) priority() int {
	if q.team != nil && q.team.Priority != nil {
		return *q.team.Priority
	}
	return q.route.Priority
}

// callerOf identifies who sent a request, for the division of room among callers: its team, or else the
// address of the connection's remote end. A port would change with each connection.
func callerOf(q *request) uint64 {
	if q.team != nil {
		return xxhash.Sum64String("team " + q.team.Name)
	}
	host, _, err := net.SplitHostPort(q.RemoteAddr)
	if err != nil {
		host = q.RemoteAddr
	}
	return xxhash.Sum64String(host)
}

// teamName returns the name of the request's team, or "" if it has none.
func (q *request) teamName() string {
	if q.team == nil {
		return ""
	}
	return q.team.Name
}
