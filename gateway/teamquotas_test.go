package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/syncpb"
	"github.com/rockcroft/rockcroft/state/routing"
)

// quotaGateway is one gateway's part of the quotas of the team red, with a clock of its own.
type quotaGateway struct {
	*teamQuotas
	now  time.Time
	team *routing.Team
}

func newQuotaGateway(gateways int, perSecond float64) *quotaGateway {
	g := &quotaGateway{now: time.Unix(1000, 0), team: &routing.Team{Name: "red", Quota: routing.Quota{PerSecond: perSecond, Burst: perSecond}}}
	v := newView()
	v.table.Store(routing.NewTable(&routing.Configuration{Teams: map[string]*routing.Team{"red": g.team}}))
	g.teamQuotas = newTeamQuotas(v, func() int { return gateways }, 0, func() time.Time { return g.now }, rand.New(rand.NewPCG(1, 2)))
	return g
}

// send lets requests arrive at an even rate and returns how many were admitted. The gateway reports each
// 100 ms and hears from the leader if asked for.
func (g *quotaGateway) send(perSecond int, d time.Duration, heard bool) (admitted int) {
	const report = 100 * time.Millisecond
	step := time.Second / time.Duration(perSecond)
	next := g.now.Add(report)
	for end := g.now.Add(d); g.now.Before(end); g.now = g.now.Add(step) {
		if !g.now.Before(next) {
			next = next.Add(report)
			g.takeUses()
			if heard {
				g.apply([]*syncpb.TeamLimit{})
			}
		}
		if g.check(g.team) == nil {
			admitted++
		}
	}
	return admitted
}

// TestGatewayWithoutLeaderKeepsToItsShare checks that a gateway which no longer hears from the leader
// goes on at the rate of before, and does not use more of a quota when its demand rises.
func TestGatewayWithoutLeaderKeepsToItsShare(t *testing.T) {
	g := newQuotaGateway(40, 400)
	g.apply(nil)
	if n := g.send(30, 3*time.Second, true); n < 90 {
		t.Errorf("%d of 90 requests admitted below the quota", n)
	}
	g.send(30, 2*time.Second, false)
	if n := g.send(30, 5*time.Second, false); n < 140 {
		t.Errorf("%d of 150 requests admitted at the rate of before", n)
	}
	if n := g.send(300, 5*time.Second, false); n > 185 {
		t.Errorf("%d requests admitted in 5 s at ten times the rate, at most 30 a second and a burst of one second are the share", n)
	}
	g.apply(nil)
	if n := g.send(300, time.Second, true); n < 300 {
		t.Errorf("%d of 300 requests admitted once the leader is heard again", n)
	}
}

// TestNewGatewayWithoutLeaderHasAnEqualPart checks that a gateway that has not heard from a leader admits
// an equal part of the quota.
func TestNewGatewayWithoutLeaderHasAnEqualPart(t *testing.T) {
	g := newQuotaGateway(40, 400)
	if n := g.send(100, 10*time.Second, false); n < 90 || n > 115 {
		t.Errorf("%d requests admitted in 10 s, want about ten a second", n)
	}
}
