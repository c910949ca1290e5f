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
	// maxKey is the longest key in bytes, maxID the longest request id.
	maxKey = 1024
	maxID  = 128
	// keepBody is the size up to which a body is kept for a second try.
	keepBody = 64 << 10
	// maxHops bounds the entries that one request passes.
	maxHops = 3
)

// request is one caller's request, parsed.
type request struct {
	service    *service.Config
	path       string
	key        string
	hash       keyspace.Hash
	id         string
	caller     string
	idempotent bool
	importance admission.Importance
	deadline   time.Time
	hops       int
	// repeat is the epoch of an earlier answer of unknown outcome, or zero.
	repeat uint64

	body     []byte
	stream   io.Reader
	length   int64
	consumed bool
}

// parse reads the headers of a request. Hops are believed only from entries.
func (p *Proxy) parse(r *http.Request, name, path string, internal bool) (*request, error) {
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
		id:         r.Header.Get(header.RequestID),
		caller:     r.Header.Get(header.Caller),
		idempotent: idempotentMethod(r.Method),
		importance: admission.Normal,
	}
	switch {
	case q.key == "":
		return nil, answer.New(answer.NoKey, "header %s is missing", header.Key)
	case len(q.key) > maxKey:
		return nil, answer.New(answer.BadRequest, "the key is longer than %d bytes", maxKey)
	case len(q.id) > maxID:
		return nil, answer.New(answer.BadRequest, "the request id is longer than %d bytes", maxID)
	}
	q.hash = keyspace.HashKey(q.key)
	if err := q.parseOptions(r, p.clock()); err != nil {
		return nil, err
	}
	if internal {
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
		level, ok := importances[v]
		if !ok {
			return answer.New(answer.BadRequest, "header %s: %q", header.Importance, v)
		}
		q.importance = level
	} else if !q.idempotent {
		q.importance = admission.High
	}
	left := q.service.DefaultDeadline.D()
	if v := r.Header.Get(header.Timeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return answer.New(answer.BadRequest, "header %s: %q is no duration", header.Timeout, v)
		}
		left = min(d, q.service.MaxDeadline.D())
	}
	if left <= 0 {
		return answer.New(answer.DeadlinePassed, "the deadline has passed already")
	}
	q.deadline = now.Add(left)
	if v := r.Header.Get(header.Repeat); v != "" {
		epoch, err := strconv.ParseUint(v, 10, 64)
		if err != nil || q.id == "" {
			return answer.New(answer.BadRequest, "header %s needs a number and a request id", header.Repeat)
		}
		q.repeat = epoch
	}
	return nil
}

var importances = map[string]admission.Importance{
	"low":    admission.Low,
	"normal": admission.Normal,
	"high":   admission.High,
}

func importanceName(i admission.Importance) string {
	for name, level := range importances {
		if level == i {
			return name
		}
	}
	return ""
}

func idempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// splitPath splits "/service/rest" into the service and "/rest".
func splitPath(path string) (name, rest string) {
	name, rest, found := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if !found {
		return name, "/"
	}
	return name, "/" + rest
}

// readBody keeps a small body for second tries and leaves a large one to be
// streamed once.
func (q *request) readBody(r *http.Request) error {
	q.length = r.ContentLength
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		q.length = 0
		return nil
	}
	limited := http.MaxBytesReader(nil, r.Body, q.service.MaxBody)
	head := make([]byte, 0, min(max(r.ContentLength, 512), keepBody)+1)
	head, err := readUpTo(limited, head, keepBody+1)
	if err != nil {
		return answer.New(answer.TooLarge, "the body could not be read: %v", err)
	}
	if len(head) <= keepBody {
		q.body = head
		q.length = int64(len(head))
		return nil
	}
	q.stream = io.MultiReader(bytes.NewReader(head), limited)
	return nil
}

// readUpTo appends to buf until the end of r or until buf has n bytes.
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

// canSendAgain reports whether the body is still there for another try.
func (q *request) canSendAgain() bool { return !q.consumed }

// noReplay is a body without content that net/http never sends twice: the
// client repeats requests by itself only when it has no body or can rewind it.
type noReplay struct{}

func (noReplay) Read([]byte) (int, error) { return 0, io.EOF }
func (noReplay) Close() error             { return nil }

// attach sets the body of an outgoing try.
func (q *request) attach(out *http.Request) {
	switch {
	case q.stream != nil:
		q.consumed = true
		out.Body = io.NopCloser(q.stream)
		out.ContentLength = q.length
	case len(q.body) > 0:
		out.Body = io.NopCloser(bytes.NewReader(q.body))
		out.ContentLength = q.length
	case q.idempotent:
		out.Body = http.NoBody
	default:
		out.Body = noReplay{}
	}
}
