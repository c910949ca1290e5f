package front

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rockcroft/rockcroft/coordination/admission"
	"github.com/rockcroft/rockcroft/protocol/answer"
	"github.com/rockcroft/rockcroft/protocol/header"
	"github.com/rockcroft/rockcroft/state/keyspace"
	"github.com/rockcroft/rockcroft/state/service"
)

// Limits of what a caller may send.
const (
	// maxKeyBytes and maxRequestIDBytes are the maximum lengths of a key and a request ID.
	maxKeyBytes       = 1024
	maxRequestIDBytes = 128
	// maxBufferedBody is the size in bytes up to which a body is kept in memory for a retry.
	maxBufferedBody = 64 << 10
	// maxHops bounds the entries that one request passes.
	maxHops = 3
)

// request is a parsed request of a caller.
type request struct {
	service    *service.Config
	path       string
	key        string
	keyHash    keyspace.Hash
	requestID  string
	caller     string
	idempotent bool
	importance admission.Importance
	deadline   time.Time
	hops       int
	// repeatEpoch is the epoch from an earlier response with an unknown outcome, or zero.
	repeatEpoch uint64

	body           []byte
	bodyStream     io.Reader
	bodyLength     int64
	streamConsumed bool
}

// parse validates the headers of a request. The hop count is read only if another entry sent the
// request.
func (p *Proxy) parse(r *http.Request, name, path string, fromEntry bool) (*request, error) {
	conf := p.docs.Service(name)
	if conf == nil && p.docs.Empty() {
		return nil, answer.New(answer.NoRight, "this entry has just started and knows nothing yet")
	}
	if conf == nil {
		return nil, answer.New(answer.UnknownService, "no service %q", name)
	}
	q := &request{
		service:    conf,
		path:       path,
		key:        r.Header.Get(header.Key),
		requestID:  r.Header.Get(header.RequestID),
		caller:     r.Header.Get(header.Caller),
		idempotent: isIdempotentMethod(r.Method),
		importance: admission.Normal,
	}
	switch {
	case q.key == "":
		return nil, answer.New(answer.NoKey, "header %s is missing", header.Key)
	case len(q.key) > maxKeyBytes:
		return nil, answer.New(answer.BadRequest, "the key is longer than %d bytes", maxKeyBytes)
	case len(q.requestID) > maxRequestIDBytes:
		return nil, answer.New(answer.BadRequest, "the request id is longer than %d bytes", maxRequestIDBytes)
	}
	q.keyHash = keyspace.HashKey(q.key)
	if err := q.parseOptions(r, p.clock()); err != nil {
		return nil, err
	}
	if fromEntry {
		hops, err := strconv.Atoi(r.Header.Get(header.Hops))
		if err != nil || hops < 1 || hops > maxHops {
			return nil, answer.New(answer.BadRequest, "header %s is not valid", header.Hops)
		}
		q.hops = hops
	}
	if r.ContentLength > conf.MaxBody {
		return nil, answer.New(answer.TooLarge, "the body is larger than %d bytes", conf.MaxBody)
	}
	return q, nil
}

func (q *request) parseOptions(r *http.Request, now time.Time) error {
	if v := r.Header.Get(header.Idempotent); v != "" {
		b, err := strconv.ParseBool(v)
		if err != nil {
			return answer.New(answer.BadRequest, "header %s: %q", header.Idempotent, v)
		}
		q.idempotent = b
	}
	if v := r.Header.Get(header.Importance); v != "" {
		level, ok := importanceByName[v]
		if !ok {
			return answer.New(answer.BadRequest, "header %s: %q", header.Importance, v)
		}
		q.importance = level
	} else if !q.idempotent {
		q.importance = admission.High
	}
	timeout := q.service.DefaultDeadline.D()
	if v := r.Header.Get(header.Timeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return answer.New(answer.BadRequest, "header %s: %q is no duration", header.Timeout, v)
		}
		timeout = min(d, q.service.MaxDeadline.D())
	}
	if timeout <= 0 {
		return answer.New(answer.DeadlinePassed, "the deadline has passed already")
	}
	q.deadline = now.Add(timeout)
	if v := r.Header.Get(header.Repeat); v != "" {
		epoch, err := strconv.ParseUint(v, 10, 64)
		if err != nil || q.requestID == "" {
			return answer.New(answer.BadRequest, "header %s needs a number and a request id", header.Repeat)
		}
		q.repeatEpoch = epoch
	}
	return nil
}

var importanceByName = map[string]admission.Importance{
	"low":    admission.Low,
	"normal": admission.Normal,
	"high":   admission.High,
}

func importanceName(i admission.Importance) string {
	for name, level := range importanceByName {
		if level == i {
			return name
		}
	}
	return ""
}

func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// splitPath splits "/service/rest" into "service" and "/rest".
func splitPath(path string) (name, rest string) {
	name, rest, found := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !found {
		return name, "/"
	}
	return name, "/" + rest
}

// bufferBody reads a small body into memory for retries. A larger body can be streamed only once.
func (q *request) bufferBody(r *http.Request) error {
	q.bodyLength = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		q.bodyLength = 0
		return nil
	}
	limited := http.MaxBytesReader(nil, r.Body, q.service.MaxBody)
	head := make([]byte, 0, min(max(r.ContentLength, 512), maxBufferedBody)+1)
	head, err := readUpTo(limited, head, maxBufferedBody+1)
	if err != nil {
		return answer.New(answer.TooLarge, "the body could not be read: %v", err)
	}
	if len(head) <= maxBufferedBody {
		q.body = head
		q.bodyLength = int64(len(head))
		return nil
	}
	q.bodyStream = io.MultiReader(bytes.NewReader(head), limited)
	return nil
}

// readUpTo appends to buf until r ends or buf holds n bytes.
func readUpTo(r io.Reader, buf []byte, n int) ([]byte, error) {
	for len(buf) < n {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		k, err := r.Read(buf[len(buf):min(cap(buf), n)])
		buf = buf[:len(buf)+k]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// canResend reports whether the body is available for another attempt.
func (q *request) canResend() bool { return !q.streamConsumed }

// nonRewindableBody is an empty body that keeps net/http from resending a request. The client
// resends requests on its own only if they have no body or one that can be rewound.
type nonRewindableBody struct{}

func (nonRewindableBody) Read([]byte) (int, error) { return 0, io.EOF }
func (nonRewindableBody) Close() error             { return nil }

// attachBody sets the body of an outgoing attempt.
func (q *request) attachBody(out *http.Request) {
	switch {
	case q.bodyStream != nil:
		q.streamConsumed = true
		out.Body = io.NopCloser(q.bodyStream)
		out.ContentLength = q.bodyLength
	case len(q.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(q.body))
		out.ContentLength = q.bodyLength
	case q.idempotent:
		out.Body = http.NoBody
	default:
		out.Body = nonRewindableBody{}
	}
}
