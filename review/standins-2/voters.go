package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rockcroft/rockcroft/platform"
)

// The case "voters": the machine that leads and the others that its lease names are lost for good at one moment,
// and new ones come at other addresses. Later instances crash for good one after the other, and at last all processes
// of the system are killed. Times are from the start of traffic.
const (
	votersInstances  = 11
	votersSlots      = 4
	votersWork       = 60 * time.Millisecond
	votersPerSecond  = 30
	votersLostAt     = 6 * time.Second
	votersReplacedAt = 8 * time.Second
	votersCrashAt    = 14 * time.Second
	votersCrashGap   = 2500 * time.Millisecond
	votersCrashes    = 9
	votersKillAt     = 42 * time.Second
	votersDown       = 1400 * time.Millisecond
	votersRecover    = 15 * time.Second
	votersEnd        = 76 * time.Second
	// votersEntryLasts is how long the entry of a crashed instance stays: three pings of 0.87 s.
	votersEntryLasts = 2600 * time.Millisecond
	// votersDeadline is how long a consumer waits in all, as in the site.
	votersDeadline = 500 * time.Millisecond
)

func votersConfiguration() platform.ConfigBody {
	return platform.ConfigBody{
		Version:  7,
		Routes:   map[string]platform.RouteBody{"r-1": {Host: host, Path: "/leny950/", Kind: "safe", Timeout: 0.5, TargetLatency: 0.2, Priority: 2, Service: "status-svc", MaxAttempts: 2}},
		Services: map[string]platform.ServiceBody{"status-svc": {MaxConns: 130, Keyed: true, WarmUp: 3}},
		Limits:   platform.LimitsBody{MaxHeader: 16384, MaxBody: 67108864, HeaderTimeout: 3, IdleTimeout: 15},
	}
}

// tally counts requests and those of them that were served.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) String() string {
	return fmt.Sprintf("%d of %d requests served", t.served.Load(), t.sent.Load())
}

// votersRun is one run of the case.
type votersRun struct {
	*deployment
	began     time.Time
	instances []*keyedInstance
	// killAt is when the final fault comes, down how long it lasts.
	killAt, down time.Duration
	// before are the requests before the final fault, after those that were sent later than recover_s after it.
	before, after tally
}

func playVoters(d *deployment, trouble bool) (broken bool, err error) {
	r := &votersRun{deployment: d, killAt: votersKillAt, down: votersDown}
	if err := r.prepare(); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	if err := d.awaitAllReady(); err != nil {
		return false, err
	}
	r.began = time.Now()
	d.rec.printf("all gateways are ready, traffic starts")
	steps := make(chan error, 1)
	go func() { steps <- r.steps(trouble) }()
	return r.traffic(votersEnd, steps)
}

func (r *votersRun) sleepUntil(at time.Duration) { time.Sleep(time.Until(r.began.Add(at))) }

// steps carries out what happens during the run.
func (r *votersRun) steps(trouble bool) error {
	r.sleepUntil(votersLostAt)
	if trouble {
		if err := r.loseVoters(); err != nil {
			return err
		}
	}
	for n := range votersCrashes {
		r.sleepUntil(votersCrashAt + time.Duration(n)*votersCrashGap)
		r.crash(n)
	}
	r.sleepUntil(votersKillAt)
	r.rec.printf("the final fault: all processes of the system are killed")
	for _, g := range r.current() {
		r.kill(g)
	}
	r.sleepUntil(votersKillAt + votersDown)
	if err := r.startAll(); err != nil {
		return err
	}
	if err := r.awaitAllReady(); err != nil {
		return err
	}
	r.rec.printf("all gateways are back and ready")
	return nil
}

// loseVoters ends the machine that last wrote the lease, and the others that the lease in the store names, for good.
// As many new machines come at other addresses.
func (r *votersRun) loseVoters() error {
	var lease struct {
		Address string   `json:"address"`
		Voters  []string `json:"voters"`
	}
	if err := json.Unmarshal(r.store.Spec("rockcroft-leases", "leader"), &lease); err != nil {
		return err
	}
	var lost []*gateway
	var zones []string
	for _, g := range r.current() {
		if g.peers == lease.Address || slices.Contains(lease.Voters, g.peers) {
			lost, zones = append(lost, g), append(zones, g.zone)
		}
	}
	r.rec.printf("%d of %d machines are lost for good at one moment", len(lost), len(r.current()))
	r.lose(lost)
	r.sleepUntil(votersReplacedAt)
	added, err := r.addGateways(zones...)
	if err != nil {
		return err
	}
	for _, g := range added {
		if err := r.start(g); err != nil {
			return err
		}
	}
	for _, g := range added {
		if err := r.awaitReady(g); err != nil {
			return err
		}
	}
	r.rec.printf("%d new machines are ready at other addresses", len(added))
	return nil
}

// consume is one consumer: a first attempt, and a second one at another gateway after any failure but a 4xx, as the
// requests are safe. By the rules each attempt is a request.
func (r *votersRun) consume() {
	end := time.Now().Add(votersDeadline)
	key := rand.IntN(1 << 16)
	for range 2 {
		left := time.Until(end)
		if left <= 0 {
			return
		}
		all := r.current()
		g, id := all[rand.IntN(len(all))], fmt.Sprintf("%016x", rand.Uint64())
		at := time.Since(r.began)
		status, retryAfter := sendKeyed(g.callers, id, key, left)
		r.rec.printf("%s with key %d at %s is answered %d", id, key, g.name, status)
		switch served := status == http.StatusOK; {
		case at < r.killAt:
			r.before.add(served)
		case at > r.killAt+r.down+votersRecover:
			r.after.add(served)
		}
		if status == http.StatusOK || status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return
		}
		time.Sleep(min(retryAfter, time.Until(end)/3))
	}
}

func (t *tally) add(served bool) {
	t.sent.Add(1)
	if served {
		t.served.Add(1)
	}
}

// sendKeyed sends a request for a key on a new connection. It returns the status, 0 if there was no whole answer in
// time, and the time after which the consumer is asked to come back.
func sendKeyed(address, id string, key int, left time.Duration) (status int, retryAfter time.Duration) {
	c, err := net.DialTimeout("tcp", address, left)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(left + 50*time.Millisecond)); err != nil {
		return 0, 0
	}
	if _, err := fmt.Fprintf(c, "GET /leny950/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nX-Shard-Key: %d\r\n\r\n", id, host, id, left.Milliseconds(), key); err != nil {
		return 0, 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		seconds = 0
	}
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}
