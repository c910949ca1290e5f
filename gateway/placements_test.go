package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// operatorClient returns a placement client of a gateway that does not lead.
func (b *testCluster) operatorClient() placementpb.Placement {
	for _, g := range b.gateways {
		if g.running() && !g.cluster.isLeading() {
			return placementpb.NewPlacementProtobufClient("http://"+g.listeners.Peers.Addr().String(), b.client)
		}
	}
	b.t.Fatal("no running gateway that does not lead")
	return nil
}

// stateIntent states an intent, retrying while the leader is not ready.
func (b *testCluster) stateIntent(o placementpb.Placement, i *placementpb.Intent) *placementpb.Intent {
	b.t.Helper()
	var out *placementpb.Intent
	b.eventually("the intent is stated", func() bool {
		var err error
		out, err = o.State(context.Background(), i)
		return err == nil
	})
	return out
}

// confirmIntent confirms an intent. If its plan has changed, the retry confirms the new plan.
func (b *testCluster) confirmIntent(o placementpb.Placement, id string) {
	b.t.Helper()
	b.eventually("the intent is confirmed", func() bool {
		_, err := o.Confirm(context.Background(), &placementpb.Reference{Id: id})
		return err == nil
	})
}

func errorKind(err error) answer.Kind {
	if rpc, ok := err.(twirp.Error); ok {
		return answer.Kind(rpc.Meta("kind"))
	}
	return ""
}

// TestOperatorDrainSurvivesLeaderLoss: a confirmed drain moves all keys away and keeps new requests
// away from the upstream, and stays in force after the loss of the leader. After its cancellation
// the upstream owns keys again.
func TestOperatorDrainSurvivesLeaderLoss(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operatorClient()
	i := b.stateIntent(o, &placementpb.Intent{Kind: "drain", Service: "status", Upstream: "i-s1", By: "ops"})
	if i.State != "planned" || len(i.Plan) == 0 || b.spansOwnedBy("i-s1") == 0 {
		t.Fatalf("intent %v", i)
	}
	b.confirmIntent(o, i.Id)
	b.eventually("the drained upstream owns nothing", func() bool { return b.spansOwnedBy("i-s1") == 0 })
	b.leader().kill()
	b.eventually("another leader with the drain in force", func() bool {
		l := b.leader()
		return l != nil && l.assignments.placements.drained()["i-s1"]
	})
	b.ready()
	time.Sleep(2 * planInterval)
	if b.spansOwnedBy("i-s1") != 0 {
		t.Error("the next leader gives keys to the drained upstream")
	}
	o = b.operatorClient()
	if _, err := o.Cancel(context.Background(), &placementpb.Reference{Id: i.Id}); err != nil {
		t.Fatal(err)
	}
	b.eventually("the upstream owns keys again", func() bool { return b.spansOwnedBy("i-s1") > 0 })
}

func TestOperatorPinMovesKeys(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operatorClient()
	i := b.stateIntent(o, &placementpb.Intent{Kind: "pin", Service: "status", Upstream: "i-s2", First: 0, Last: 9999, By: "ops"})
	b.confirmIntent(o, i.Id)
	b.eventually("the keys are at the pinned upstream", func() bool {
		for key := 0; key <= 9999; key += 111 {
			if l := b.leader(); l == nil || l.view.spansOf("status").Find(uint16(key)).Owner != "i-s2" {
				return false
			}
		}
		return true
	})
}

// TestConfirmOfStalePlanIsRefused: confirming a plan that has become stale is refused, and the new plan
// waits for a second confirmation.
func TestConfirmOfStalePlanIsRefused(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operatorClient()
	i := b.stateIntent(o, &placementpb.Intent{Kind: "drain", Service: "status", Upstream: "i-s1", By: "ops"})
	b.register(b.upstreams["i-s0"], "draining")
	b.eventually("the keys have other owners", func() bool { return b.spansOwnedBy("i-s0") == 0 })
	b.ready()
	if _, err := o.Confirm(context.Background(), &placementpb.Reference{Id: i.Id}); errorKind(err) != answer.StalePlan {
		t.Errorf("error %v", err)
	}
	b.confirmIntent(o, i.Id)
	if _, err := o.Confirm(context.Background(), &placementpb.Reference{Id: i.Id}); errorKind(err) != answer.Conflict {
		t.Errorf("second confirm: %v", err)
	}
}

func TestInvalidIntentsAreRefused(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operatorClient()
	b.stateIntent(o, &placementpb.Intent{Kind: "drain", Service: "pay", Upstream: "i-p0"})
	for _, bad := range []*placementpb.Intent{
		{Kind: "odd", Service: "status", Upstream: "i-s1"},
		{Kind: "drain", Service: "status"},
		{Kind: "drain", Service: "status", Upstream: "i-p0"},
		{Kind: "pin", Service: "pay", Upstream: "i-p0", First: 1, Last: 2},
		{Kind: "pin", Service: "status", Upstream: "i-s1", First: 9, Last: 2},
	} {
		if _, err := o.State(context.Background(), bad); errorKind(err) != answer.BadRequest && errorKind(err) != answer.NotFound {
			t.Errorf("%v: %v", bad, err)
		}
	}
	if _, err := o.Confirm(context.Background(), &placementpb.Reference{Id: "none"}); errorKind(err) != answer.NotFound {
		t.Errorf("error %v", err)
	}
}
