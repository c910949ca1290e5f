package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/placementpb"
)

// operator returns a client of a gateway that does not lead.
func (b *testCluster) operator() placementpb.Placement {
	for _, g := range b.gateways {
		if g.running() && !g.cluster.isLeading() {
			return placementpb.NewPlacementProtobufClient("http://"+g.listeners.Peers.Addr().String(), b.client)
		}
	}
	b.t.Fatal("no gateway")
	return nil
}

// stated states an intent, also while the leader has just begun.
func (b *testCluster) stated(o placementpb.Placement, i *placementpb.Intent) *placementpb.Intent {
	b.t.Helper()
	var out *placementpb.Intent
	b.eventually("stated", func() bool {
		var err error
		out, err = o.State(context.Background(), i)
		return err == nil
	})
	return out
}

// confirmed confirms an intent; a plan that has changed meanwhile is confirmed as
// it is now.
func (b *testCluster) confirmed(o placementpb.Placement, id string) {
	b.t.Helper()
	b.eventually("confirmed", func() bool {
		_, err := o.Confirm(context.Background(), &placementpb.Reference{Id: id})
		return err == nil
	})
}

func kindOf(err error) answer.Kind {
	if rpc, ok := err.(twirp.Error); ok {
		return answer.Kind(rpc.Meta("kind"))
	}
	return ""
}

// TestDrainByOperator: a confirmed drain moves all keys and keeps new requests
// away, and survives the loss of the leader; cancelled, the upstream is used again.
func TestDrainByOperator(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operator()
	i := b.stated(o, &placementpb.Intent{Kind: "drain", Service: "status", Upstream: "i-s1", By: "ops"})
	if i.State != "planned" || len(i.Plan) == 0 || b.spansOwnedBy("i-s1") == 0 {
		t.Fatalf("intent %v", i)
	}
	b.confirmed(o, i.Id)
	b.eventually("nothing owned by the drained one", func() bool { return b.spansOwnedBy("i-s1") == 0 })
	b.leader().kill()
	b.eventually("another leader that drains", func() bool {
		l := b.leader()
		return l != nil && l.steward.placements.draining("i-s1")
	})
	b.ready()
	time.Sleep(2 * planInterval)
	if b.spansOwnedBy("i-s1") != 0 {
		t.Error("the next leader gives the drained upstream keys")
	}
	o = b.operator()
	if _, err := o.Cancel(context.Background(), &placementpb.Reference{Id: i.Id}); err != nil {
		t.Fatal(err)
	}
	b.eventually("keys for the upstream again", func() bool { return b.spansOwnedBy("i-s1") > 0 })
}

func TestPinByOperator(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operator()
	i := b.stated(o, &placementpb.Intent{Kind: "pin", Service: "status", Upstream: "i-s2", First: 0, Last: 9999, By: "ops"})
	b.confirmed(o, i.Id)
	b.eventually("the keys where they are wanted", func() bool {
		for key := 0; key <= 9999; key += 111 {
			if l := b.leader(); l == nil || l.view.spansOf("status").Find(uint16(key)).Owner != "i-s2" {
				return false
			}
		}
		return true
	})
}

// TestConfirmOfAStalePlan is refused, and the new plan waits for a confirm.
func TestConfirmOfAStalePlan(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operator()
	i := b.stated(o, &placementpb.Intent{Kind: "drain", Service: "status", Upstream: "i-s1", By: "ops"})
	b.register(b.upstreams["i-s0"], "draining")
	b.eventually("other owners", func() bool { return b.spansOwnedBy("i-s0") == 0 })
	b.ready()
	if _, err := o.Confirm(context.Background(), &placementpb.Reference{Id: i.Id}); kindOf(err) != answer.StalePlan {
		t.Errorf("error %v", err)
	}
	b.confirmed(o, i.Id)
	if _, err := o.Confirm(context.Background(), &placementpb.Reference{Id: i.Id}); kindOf(err) != answer.Conflict {
		t.Errorf("second confirm: %v", err)
	}
}

func TestIntentsAreChecked(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	o := b.operator()
	b.stated(o, &placementpb.Intent{Kind: "drain", Service: "pay", Upstream: "i-p0"})
	for _, bad := range []*placementpb.Intent{
		{Kind: "odd", Service: "status", Upstream: "i-s1"},
		{Kind: "drain", Service: "status"},
		{Kind: "drain", Service: "status", Upstream: "i-p0"},
		{Kind: "pin", Service: "pay", Upstream: "i-p0", First: 1, Last: 2},
		{Kind: "pin", Service: "status", Upstream: "i-s1", First: 9, Last: 2},
	} {
		if _, err := o.State(context.Background(), bad); kindOf(err) != answer.BadRequest && kindOf(err) != answer.NotFound {
			t.Errorf("%v: %v", bad, err)
		}
	}
	if _, err := o.Confirm(context.Background(), &placementpb.Reference{Id: "none"}); kindOf(err) != answer.NotFound {
		t.Errorf("error %v", err)
	}
}
