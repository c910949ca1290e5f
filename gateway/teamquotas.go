package gateway

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rockcroft/rockcroft/coordination/quota"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/routing"
)

// This file keeps each team within its quota over all gateways. Gateways report the requests of each
// team, the leader decides which part of them may be sent, and all gateways apply that part.

const (
	// decisionValidity is how long a gateway relies on the leader's decision. After that it keeps to a
	// share of its own: demand may rise on both sides of a cut.
	decisionValidity = time.Second
	// minSharers is the number of gateways that are assumed to share a quota at least. A gateway that
	// has just started may not know of the others.
	minSharers = 12
)

// burstSlackShare is the fraction of the tolerated excess over a quota by which bursts may be larger.
// The rest allows for reports that are late.
const burstSlackShare = 0.5

// teamUse is the number of a team's requests that arrived, and the number of sends.
type teamUse struct{ requests, sent int }

// teamQuotas is one gateway's part in keeping the quotas. It is safe for concurrent use.
type teamQuotas struct {
	view *view
	now  func() time.Time
	// slack is the tolerated excess over each quota, in requests per window.
	slack float64

	mu  sync.Mutex
	rng *rand.Rand
	// uses are those not reported yet, of this gateway and of those that report to it.
	uses map[string]teamUse
	// admit is the fraction of requests to send, by team. Teams that are not listed are not limited.
	admit map[string]*teamLimit
	// buckets are those of the teams with quotas while this gateway leads.
	buckets map[string]*quota.Bucket
	// decidedAt is when the leader's decision was last received, or made here.
	decidedAt time.Time
	// shares are this gateway's own shares of the quotas, for the time without a decision.
	shares map[string]*teamShare
	// gateways returns the number of gateways.
	gateways func() int
}

// teamShare is what this gateway may send of a team's requests without the leader: as many as it sent
// before, or an equal part of the quota if that is more.
type teamShare struct {
	// meter measures the requests that were admitted here.
	meter quota.Meter
	// tokens is the number of requests that may be sent now, as of filledAt. A zero filledAt means
	// that the share is not in use.
	tokens   float64
	filledAt time.Time
}

// take reports whether one more request may be sent, given an equal part of the quota per second.
func (s *teamShare) take(now time.Time, equalPart float64) bool {
	rate := max(s.meter.Last(), equalPart)
	if s.filledAt.IsZero() {
		s.tokens, s.filledAt = 1, now
	}
	s.tokens = min(s.tokens+rate*now.Sub(s.filledAt).Seconds(), max(rate, 1))
	s.filledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// teamLimit is the fraction of a team's requests that this gateway sends.
type teamLimit struct {
	fraction float64
	sampler  quota.Sampler
}

func newTeamQuotas(v *view, gateways func() int, slack float64, now func() time.Time, rng *rand.Rand) *teamQuotas {
	return &teamQuotas{
		view: v, gateways: gateways, now: now, slack: slack, rng: rng, shares: make(map[string]*teamShare),
		uses: make(map[string]teamUse), admit: make(map[string]*teamLimit), buckets: make(map[string]*quota.Bucket),
	}
}

// check counts an arriving request and returns an error if it is beyond the team's quota.
func (t *teamQuotas) check(team *routing.Team) error {
	if team == nil || !team.Quota.Limited() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addUse(team.Name, teamUse{requests: 1})
	if t.admits(team) {
		return nil
	}
	return answer.New(answer.CallerLimited, "team %s is beyond its quota of %g requests per second", team.Name, team.Quota.PerSecond)
}

// admits reports whether a request of the team may be sent. The lock is held.
func (t *teamQuotas) admits(team *routing.Team) bool {
	now, share := t.now(), t.shares[team.Name]
	if share == nil {
		share = &teamShare{}
		t.shares[team.Name] = share
	}
	if now.Sub(t.decidedAt) > decisionValidity {
		return share.take(now, team.Quota.PerSecond/float64(max(t.gateways(), minSharers)))
	}
	share.filledAt = time.Time{}
	limit := t.admit[team.Name]
	if limit != nil && !limit.sampler.Take(limit.fraction, t.rng.Float64()) {
		return false
	}
	share.meter.Add()
	return true
}

// measureShares updates the rates of the requests that were admitted here. It is called once per report.
func (t *teamQuotas) measureShares(now time.Time) {
	if now.Sub(t.decidedAt) > decisionValidity {
		return
	}
	for _, share := range t.shares {
		share.meter.Rate(now)
	}
}

// recordSent counts a request that is sent to an upstream.
func (t *teamQuotas) recordSent(team *routing.Team) {
	if team == nil || !team.Quota.Limited() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addUse(team.Name, teamUse{sent: 1})
}

// addUse adds to what is not reported yet. The lock is held.
func (t *teamQuotas) addUse(team string, more teamUse) {
	known := t.uses[team]
	t.uses[team] = teamUse{requests: known.requests + more.requests, sent: known.sent + more.sent}
}

// takeUses returns what has not been reported yet, and counts it as reported.
func (t *teamQuotas) takeUses() []*syncpb.TeamUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.measureShares(t.now())
	out := make([]*syncpb.TeamUse, 0, len(t.uses))
	for team, use := range t.uses {
		out = append(out, &syncpb.TeamUse{Team: team, Requests: uint32(use.requests), Sent: uint32(use.sent)})
	}
	clear(t.uses)
	return out
}

// recordUses adds what another gateway has reported, or what this one failed to report.
func (t *teamQuotas) recordUses(list []*syncpb.TeamUse) {
	table := t.view.table.Load()
	if table == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, use := range list {
		// Other names would take memory without bound.
		if table.Teams[use.Team] != nil {
			t.addUse(use.Team, teamUse{requests: int(use.Requests), sent: int(use.Sent)})
		}
	}
}

// lead begins to decide with empty buckets, when this gateway becomes the leader.
func (t *teamQuotas) lead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.buckets)
}

// decide updates the parts of all teams from the uses reported since the last call. Only the leader
// decides.
func (t *teamQuotas) decide() {
	table := t.view.table.Load()
	if table == nil || len(table.Teams) == 0 {
		return
	}
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.measureShares(now)
	t.decidedAt = now
	t.forgetTeams(table)
	fractions := make(map[string]float64)
	for name, team := range table.Teams {
		if !team.Quota.Limited() {
			continue
		}
		bucket := t.buckets[name]
		if bucket == nil {
			bucket = quota.NewBucket(now)
			t.buckets[name] = bucket
		}
		use := t.uses[name]
		burst := team.Quota.Burst + burstSlackShare*t.slack
		if fraction := bucket.Update(now, use.requests, use.sent, team.Quota.PerSecond, burst); fraction < 1 {
			fractions[name] = fraction
		}
	}
	clear(t.uses)
	t.setFractions(fractions)
}

// forgetTeams drops what is kept of teams that are no longer configured. The lock is held.
func (t *teamQuotas) forgetTeams(table *routing.Table) {
	for name := range t.buckets {
		if table.Teams[name] == nil {
			delete(t.buckets, name)
		}
	}
	for name := range t.shares {
		if table.Teams[name] == nil {
			delete(t.shares, name)
		}
	}
}

// setFractions replaces the fractions in force. The lock is held.
func (t *teamQuotas) setFractions(fractions map[string]float64) {
	for name := range t.admit {
		if _, limited := fractions[name]; !limited {
			delete(t.admit, name)
		}
	}
	for name, fraction := range fractions {
		limit := t.admit[name]
		if limit == nil {
			limit = &teamLimit{sampler: quota.NewSampler(t.rng.Float64(), t.rng.Float64())}
			t.admit[name] = limit
		}
		limit.fraction = fraction
	}
}

// apply puts the leader's decision in force. Invalid fractions are left out.
func (t *teamQuotas) apply(list []*syncpb.TeamLimit) {
	fractions := make(map[string]float64, len(list))
	for _, m := range list {
		if m.Admit >= 0 && m.Admit <= 1 {
			fractions[m.Team] = float64(m.Admit)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decidedAt = t.now()
	t.setFractions(fractions)
}

// limits returns the decision in force as messages, sorted by team.
func (t *teamQuotas) limits() []*syncpb.TeamLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*syncpb.TeamLimit, 0, len(t.admit))
	for name, limit := range t.admit {
		out = append(out, &syncpb.TeamLimit{Team: name, Admit: float32(limit.fraction)})
	}
	slices.SortFunc(out, func(a, b *syncpb.TeamLimit) int { return strings.Compare(a.Team, b.Team) })
	return out
}
