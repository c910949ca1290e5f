package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/standin/instance"
	"github.com/rockcroft/rockcroft/state/spans"
)

// refusalPlay sends requests of all kinds at random while upstreams refuse a part of them and send copies of responses.
type refusalPlay struct {
	*testCluster
	mu       sync.Mutex
	promised []string
	statuses map[int]int
}

const (
	refusalCallers  = 12
	refusalDuration = 3 * time.Second
)

// call sends one request and records whether its caller was told that it has not run.
func (p *refusalPlay) call(rng *rand.Rand, id string) {
	g := p.gateways[rng.IntN(len(p.gateways))]
	method, path := http.MethodGet, []string{"/status/x", "/read/x"}[rng.IntN(2)]
	if rng.IntN(2) == 0 {
		method, path = http.MethodPost, []string{"/book/x", "/pay/x"}[rng.IntN(2)]
	}
	r := callerRequest(context.Background(), p.t, method, "http://"+g.callers+path, id, "")
	r.Header.Set(platform.ShardKey, fmt.Sprint(rng.IntN(spans.MaxKey+1)))
	resp, err := p.client.Do(r)
	if err != nil {
		p.t.Error(err)
		return
	}
	_ = resp.Body.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[resp.StatusCode]++
	if statusImpliesNotRun(resp.StatusCode) {
		p.promised = append(p.promised, id)
	}
}

// play lets the callers send requests for refusalDuration.
func (p *refusalPlay) play(seed uint64) {
	var all sync.WaitGroup
	for caller := range refusalCallers {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n, began := 0, time.Now(); time.Since(began) < refusalDuration; n++ {
				p.call(rng, fmt.Sprintf("r%d-%d", caller, n))
			}
		})
	}
	all.Wait()
}

// TestPromisedRefusalsNeverRun guards against any way on which a request that runs is answered "not run": retries, hedges, hops between gateways, with copies on the own and on any connection.
func TestPromisedRefusalsNeverRun(t *testing.T) {
	t.Parallel()
	for seed, anyConnection := range []bool{false, true} {
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprintf("any connection: %v, a gateway cut off: %v", anyConnection, cut), func(t *testing.T) {
				t.Parallel()
				p := &refusalPlay{testCluster: newTestCluster(t), statuses: make(map[int]int)}
				next := config(3)
				book := next.Routes["status"]
				book.Path, book.Kind, book.MaxAttempts = "/book/", "unsafe", 3
				next.Routes["book"] = book
				p.store.Put(platform.ConfigKind, platform.ConfigName, next)
				p.startStandard()
				for _, u := range p.upstreams {
					u.ServiceTime = 30 * time.Millisecond
					u.SetResponseFaults(instance.ResponseFaults{Refused: 0.4, Copied: 0.5, AnyConnection: anyConnection, Seed: uint64(seed)})
				}
				if cut {
					p.cutOff(p.gateways[1])
				}
				p.play(uint64(seed))
				for _, id := range p.promised {
					if runs := p.oracle.Runs(id); runs > 0 {
						t.Errorf("request %s was refused as not run and ran %d times", id, runs)
					}
				}
				if p.statuses[http.StatusOK] == 0 || len(p.promised) == 0 {
					t.Errorf("statuses %v", p.statuses)
				}
				t.Logf("statuses %v", p.statuses)
			})
		}
	}
}
