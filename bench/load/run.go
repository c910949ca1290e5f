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

// Result is what a run recorded.
type Result struct {
	Outcomes []Outcome
	// NotOffered counts requests left out because too many had no answer.
	NotOffered int64
}

// noAnswer is the kind of an outcome without an answer.
const noAnswer = "no_answer"

// minRetryDelay is the least pause before a caller asks again.
const minRetryDelay = 100 * time.Millisecond

// maxAnswerBytes bounds the answer read, in bytes.
const maxAnswerBytes = 1 << 20

// runner is one run in progress.
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

// Run sends the load until the duration is over or ctx ends, and waits for all
// answers.
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

// generate sends the requests of one service at random times with the wanted
// mean rate.
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

// key maps a rank to a key. With a hot shift, the ranks move over the keys as
// time passes.
func (r *runner) key(rank uint64, s Service, due time.Time) string {
	if shift := r.conf.HotShift.D(); shift > 0 {
		const stride = 7919
		rank = (rank + stride*uint64(due.Sub(r.started)/shift)) % s.Keys
	}
	return s.Name + "-key-" + strconv.FormatUint(rank, 10)
}

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

// ask sends one request, and again while the answers allow it.
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
		if result.Ran == string(answer.Unknown) {
			repeatEpoch = result.Epoch
		}
		time.Sleep(delay)
	}
}

// attempt sends one attempt. It reports whether the caller may ask again, and when.
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
		o.Kind = noAnswer
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
		// The balancer tries another entry when none listens.
		req.URL.Host = r.balancer.pick().String()
		resp, err = r.client.Do(req)
	}
	if err != nil {
		o.End = time.Now().UnixNano()
		o.Kind = noAnswer
		o.Ran = string(answer.Unknown)
		return o, o.Idempotent, minRetryDelay
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(o, resp)
}

// body is what stand-in upstreams and entries answer.
type answerBody struct {
	Key       string `json:"key"`
	RequestID string `json:"request_id"`
	Epoch     uint64 `json:"epoch"`
}

// ParseOutcome fills in what an answer told its caller.
func ParseOutcome(o Outcome, status int, h http.Header, data []byte) Outcome {
	o.Status = status
	o.Kind = h.Get(header.Kind)
	o.Ran = h.Get(header.Ran)
	o.Owner = h.Get(header.Owner)
	var b answerBody
	if err := json.Unmarshal(data, &b); err != nil {
		o.Kind = noAnswer
		o.Ran = string(answer.Unknown)
		return o
	}
	o.AnswerKey, o.AnswerID, o.Epoch = b.Key, b.RequestID, b.Epoch
	if epoch, err := strconv.ParseUint(h.Get(header.Epoch), 10, 64); err == nil && !o.OK() {
		o.Epoch = epoch
	}
	return o
}

// read takes the answer and decides whether the caller may ask again, and when.
func readAnswer(o Outcome, resp *http.Response) (Outcome, bool, time.Duration) {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	o = ParseOutcome(o, resp.StatusCode, resp.Header, data)
	o.End = time.Now().UnixNano()
	if o.OK() {
		return o, false, 0
	}
	if o.Kind == noAnswer {
		return o, o.Idempotent, minRetryDelay
	}
	retryAfter, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
	// An answer of unknown outcome may be repeated with the epoch it names.
	retry := answer.Kind(o.Kind).Row().Again || o.Ran == string(answer.Unknown) && o.Epoch != 0
	return o, retry, max(time.Duration(retryAfter)*time.Second, minRetryDelay)
}
