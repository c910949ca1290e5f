package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
)

// Result holds the outcomes of a run.
type Result struct {
	Outcomes []Outcome
	// NotOffered counts scheduled requests that were not sent because
	// Settings.MaxOutstanding requests were still unanswered.
	NotOffered int64
}

// noResponse is the Kind of an outcome without a usable response.
const noResponse = "no_answer"

// minRetryDelay is the minimum delay before a caller retries a request.
const minRetryDelay = 100 * time.Millisecond

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 1 << 20

// runner holds the state of a run in progress.
type runner struct {
	conf        Settings
	client      *http.Client
	started     time.Time
	idPrefix    string
	outstanding atomic.Int64
	notOffered  atomic.Int64
	balancer    *balancer
	requests    sync.WaitGroup

	mu       sync.Mutex
	outcomes []Outcome
}

// Run generates load until the configured duration has passed or ctx ends, and
// then waits until every request that was sent has completed.
func Run(ctx context.Context, conf Settings) Result {
	r := &runner{
		conf: conf,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
			DisableCompression:  true,
		}},
		balancer: newBalancer(conf.Entries, conf.Ready),
		started:  time.Now(),
		idPrefix: strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	ctx, cancel := context.WithTimeout(ctx, conf.Duration.D())
	defer cancel()
	r.balancer.run(ctx)
	var generators sync.WaitGroup
	for i, s := range conf.Services {
		generators.Add(1)
		go func() {
			defer generators.Done()
			r.generate(ctx, s, rand.New(rand.NewPCG(conf.Seed, uint64(i))))
		}()
	}
	generators.Wait()
	r.requests.Wait()
	return Result{Outcomes: r.outcomes, NotOffered: r.notOffered.Load()}
}

// generate sends the requests of one service with exponentially distributed
// intervals, at the configured mean rate.
func (r *runner) generate(ctx context.Context, s Service, rng *rand.Rand) {
	zipf := rand.NewZipf(rng, s.Zipf, 1, s.Keys-1)
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		o := Outcome{
			Due:        due.UnixNano(),
			Service:    s.Name,
			Key:        r.key(zipf.Uint64(), s, due),
			RequestID:  fmt.Sprintf("%s-%s-%d", r.idPrefix, s.Name, n),
			Idempotent: rng.Float64() >= s.Writes,
		}
		if r.outstanding.Load() >= int64(r.conf.MaxOutstanding) {
			r.notOffered.Add(1)
			continue
		}
		r.outstanding.Add(1)
		r.requests.Add(1)
		go func() {
			defer r.requests.Done()
			defer r.outstanding.Add(-1)
			r.send(s, o)
		}()
	}
}

// key returns the key with the given popularity rank. With HotShift set, the
// mapping from ranks to keys changes at that interval, so other keys become hot.
func (r *runner) key(rank uint64, s Service, due time.Time) string {
	if shift := r.conf.HotShift.D(); shift > 0 {
		const stride = 7919
		rank = (rank + stride*uint64(due.Sub(r.started)/shift)) % s.Keys
	}
	return s.Name + "-key-" + strconv.FormatUint(rank, 10)
}

// sleepUntil waits until the given time and reports whether it came before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and retries it while the responses allow that, at most
// MaxRetries times.
func (r *runner) send(s Service, o Outcome) {
	repeatEpoch := uint64(0)
	for attempt := 1; ; attempt++ {
		o.Attempt = attempt
		result, retry, delay := r.sendAttempt(s, o, repeatEpoch)
		r.mu.Lock()
		r.outcomes = append(r.outcomes, result)
		r.mu.Unlock()
		if !retry || attempt > r.conf.MaxRetries {
			return
		}
		if result.Ran == string(answer.ExecutionUnknown) {
			repeatEpoch = result.Epoch
		}
		time.Sleep(delay)
	}
}

// sendAttempt sends one attempt of a request. It returns its outcome, whether the
// caller may retry, and after which delay.
func (r *runner) sendAttempt(s Service, o Outcome, repeatEpoch uint64) (Outcome, bool, time.Duration) {
	entry := r.balancer.pick()
	method := http.MethodPost
	if o.Idempotent {
		method = http.MethodGet
	}
	timeout := s.Timeout.D()
	if timeout <= 0 {
		timeout = 2 * time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+"/"+s.Name+"/op", nil)
	if err != nil {
		o.Kind = noResponse
		return o, false, 0
	}
	req.Header.Set(header.Key, o.Key)
	req.Header.Set(header.RequestID, o.RequestID)
	req.Header.Set(header.Timeout, timeout.String())
	if repeatEpoch != 0 {
		req.Header.Set(header.Repeat, strconv.FormatUint(repeatEpoch, 10))
	}
	o.Start = time.Now().UnixNano()
	resp, err := r.client.Do(req)
	if errors.Is(err, syscall.ECONNREFUSED) {
		// A refused connection means that no process listens there: as a load
		// balancer does, try another entry at once.
		req.URL.Host = r.balancer.pick().String()
		resp, err = r.client.Do(req)
	}
	if err != nil {
		o.End = time.Now().UnixNano()
		o.Kind = noResponse
		o.Ran = string(answer.ExecutionUnknown)
		return o, o.Idempotent, minRetryDelay
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(o, resp)
}

// responseBody is the part of the response body that stand-in upstreams and entries have
// in common.
type responseBody struct {
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Epoch     uint64 `json:"epoch"`
}

// ParseOutcome returns the outcome with the fields filled in that come from the response.
func ParseOutcome(o Outcome, status int, h http.Header, data []byte) Outcome {
	o.Status = status
	o.Kind = h.Get(header.Kind)
	o.Ran = h.Get(header.Ran)
	o.Owner = h.Get(header.Owner)
	var b responseBody
	if err := json.Unmarshal(data, &b); err != nil {
		o.Kind = noResponse
		o.Ran = string(answer.ExecutionUnknown)
		return o
	}
	o.ResponseKey, o.ResponseID, o.Epoch = b.Key, b.RequestID, b.Epoch
	if epoch, err := strconv.ParseUint(h.Get(header.Epoch), 10, 64); err == nil && !o.OK() {
		o.Epoch = epoch
	}
	return o
}

// readResponse reads the response. It returns the outcome, whether the caller may retry,
// and after which delay.
func readResponse(o Outcome, resp *http.Response) (Outcome, bool, time.Duration) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	o = ParseOutcome(o, resp.StatusCode, resp.Header, data)
	o.End = time.Now().UnixNano()
	if o.OK() {
		return o, false, 0
	}
	if o.Kind == noResponse {
		return o, o.Idempotent, minRetryDelay
	}
	retryAfter, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	// If it is unknown whether the request ran, it may be repeated only together
	// with the epoch that the response names.
	retry := answer.Kind(o.Kind).Response().Retryable || o.Ran == string(answer.ExecutionUnknown) && o.Epoch != 0
	return o, retry, max(time.Duration(retryAfter)*time.Second, minRetryDelay)
}
