package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/coordination/patience"
	"github.com/rockcroft/rockcroft/platform"
	"github.com/rockcroft/rockcroft/protocol/answer"
)

// This file turns a request of a caller into what this gateway needs to know of it.

// parse matches the route, reads the body and picks the service. The request is not nil if a
// route was found, also with an error.
func (f *proxy) parse(r *http.Request, began time.Time) (*request, error) {
	requested, stated := platform.RemainingTime(r.Header)
	if !stated {
		requested = math.MaxInt64
	}
	table, err := f.startup.awaitConfiguration(r.Context(), began, requested)
	if err != nil {
		return nil, err
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route := table.Match(r.Host, path)
	if route == nil {
		return nil, f.routeNotFound(r.Host, path)
	}
	q := &request{Request: r, id: platform.ID(r.Header), route: route, target: target, receivedAt: began, held: f.bytes.Begin(), forwarded: isForwarded(r)}
	left := min(route.Timeout, requested)
	q.deadline = began.Add(left)
	q.queueUntil = began.Add(patience.MaxQueueWait(route.Objective, left))
	if q.team, err = f.identify(table, route, r.Header); err != nil {
		return q, err
	}
	q.caller = callerOf(q)
	if !q.forwarded {
		if err := f.quotas.check(q.team); err != nil {
			return q, err
		}
	}
	if err := f.readBody(q, table.Limits.MaxBody); err != nil {
		return q, err
	}
	q.bodyReadAt = f.now()
	name := f.splitter.Pick(route)
	q.service = table.Services[name]
	if q.service == nil {
		return q, answer.New(answer.NoOwner, "service %s is not known", name)
	}
	q.traffic = f.traffic.get(name)
	if q.service.Keyed {
		key, ok := platform.RequestKey(r.Header)
		if !ok {
			return q, answer.New(answer.NoKey, "the request has no valid key")
		}
		q.key = key
	}
	if !q.forwarded {
		f.recordOffered(q)
	}
	return q, f.suspects.check(q)
}

// recordOffered counts a request of a caller in the retry budget and in the demand for its key.
func (f *proxy) recordOffered(q *request) {
	if q.service.Keyed {
		q.traffic.recordKey(q.key, q.route.Name)
	}
	f.traffic.recordRequest(q.traffic)
}

// routeNotFound returns the error for a request whose route is unknown here. "Not found" is final
// for a client, so it is returned only while the configuration is known to be current. Otherwise
// the error states that nothing was executed and that a retry may succeed, since another gateway
// may know the route.
func (f *proxy) routeNotFound(host, path string) error {
	if age, _ := f.configurationAge(); age > maxConfigurationAge {
		return outdatedError("no route for "+host+path, age)
	}
	return answer.New(answer.NotFound, "no route for %s%s", host, path)
}

// readBody reads the whole body. It enforces the limits on one body and on the bytes of all
// bodies held.
func (f *proxy) readBody(q *request, limit int64) error {
	if q.ContentLength == 0 || q.Body == http.NoBody {
		return nil
	}
	if q.ContentLength > limit {
		return answer.New(answer.TooLarge, "the body has %d bytes, at most %d are allowed", q.ContentLength, limit)
	}
	if refusal := q.held.CheckBody(f.now(), max(q.ContentLength, 0)); refusal != nil {
		return f.tooManyBytes(q, refusal)
	}
	body, err := io.ReadAll(countedBody{Reader: http.MaxBytesReader(nil, q.Body, limit), proxy: f, q: q})
	var tooLarge *http.MaxBytesError
	var refused *answer.Error
	switch {
	case errors.As(err, &tooLarge):
		return answer.New(answer.TooLarge, "the body has more than %d bytes", limit)
	case errors.As(err, &refused):
		return refused
	case err != nil:
		return answer.Wrap(answer.BadRequest, err)
	}
	q.body = body
	return nil
}
