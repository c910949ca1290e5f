// Package eventlog writes the structured log of a process as one JSON object per line without ever
// blocking the code that logs. Lines pass through a bounded queue to a single writer, lines with
// the same message share a rate limit, and dropped lines are counted, logged and exposed to
// metrics.
package eventlog

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLength is the number of lines that can wait for the writer. It holds a few seconds of
	// output of a busy process.
	queueLength = 1024
	// reservedForWarnings is the part of the queue that only lines at level warn and above may use.
	reservedForWarnings = queueLength / 2
	// infoRate and warnRate are the lines per second allowed for one message below level warn, and
	// at warn and above. burstSeconds is the size of a burst, in seconds at that rate.
	infoRate     = 40
	warnRate     = 80
	burstSeconds = 2
	// maxBuckets bounds the messages with their own rate limit. All further messages share one
	// bucket.
	maxBuckets = 200
	// reportInterval is the time between log lines about dropped lines.
	reportInterval = 5 * time.Second
)

// Log is the log output of a process. It buffers lines until Run writes them.
type Log struct {
	queue   chan []byte
	now     func() time.Time
	dropped atomic.Int64
	written atomic.Int64

	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

// tokenBucket limits the rate of the lines with one message.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a log with an empty queue.
func New(now func() time.Time) *Log {
	return &Log{queue: make(chan []byte, queueLength), now: now, buckets: make(map[string]*tokenBucket)}
}

// Dropped returns the number of lines dropped so far.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines written so far.
func (l *Log) Written() int64 { return l.written.Load() }

// Run writes queued lines to w until ctx ends, then writes the lines still queued and returns.
func (l *Log) Run(ctx context.Context, w io.Writer) {
	logger := l.Logger(slog.LevelInfo)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	lastReported := int64(0)
	for {
		select {
		case line := <-l.queue:
			l.write(w, line)
		case <-ticker.C:
			if n := l.Dropped(); n > lastReported {
				logger.Warn("log lines dropped", "since_last", n-lastReported, "total", n)
				lastReported = n
			}
		case <-ctx.Done():
			l.flush(w)
			return
		}
	}
}

func (l *Log) flush(w io.Writer) {
	for {
		select {
		case line := <-l.queue:
			l.write(w, line)
		default:
			return
		}
	}
}

func (l *Log) write(w io.Writer, line []byte) {
	if _, err := w.Write(line); err != nil {
		l.dropped.Add(1)
		return
	}
	l.written.Add(1)
}

// Logger returns a logger that writes lines at the given level and above.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(&rateLimitedHandler{
		Handler: slog.NewJSONHandler(queueWriter{l, false}, &slog.HandlerOptions{Level: level}),
		urgent:  slog.NewJSONHandler(queueWriter{l, true}, &slog.HandlerOptions{Level: level}),
		log:     l,
	})
}

// rateLimitedHandler drops lines that exceed the rate of their message before they are formatted.
type rateLimitedHandler struct {
	slog.Handler
	// urgent formats warnings and errors, which may use the whole queue.
	urgent slog.Handler
	log    *Log
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.log.allow(r.Message, r.Level) {
		h.log.dropped.Add(1)
		return nil
	}
	if r.Level >= slog.LevelWarn {
		return h.urgent.Handle(ctx, r)
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{h.Handler.WithAttrs(attrs), h.urgent.WithAttrs(attrs), h.log}
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{h.Handler.WithGroup(name), h.urgent.WithGroup(name), h.log}
}

// allow takes a token from the bucket of the message and reports whether there was one.
func (l *Log) allow(message string, level slog.Level) bool {
	rate := float64(infoRate)
	if level >= slog.LevelWarn {
		rate = warnRate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.buckets[message]
	if b == nil {
		if len(l.buckets) >= maxBuckets {
			message = ""
		}
		if b = l.buckets[message]; b == nil {
			b = &tokenBucket{tokens: rate * burstSeconds, refilledAt: now}
			l.buckets[message] = b
		}
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.refilledAt).Seconds(), rate*burstSeconds)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// queueWriter adds formatted lines to the queue.
type queueWriter struct {
	log    *Log
	urgent bool
}

// Write implements io.Writer. It never blocks.
func (w queueWriter) Write(line []byte) (int, error) {
	if !w.urgent && len(w.log.queue) >= queueLength-reservedForWarnings {
		w.log.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.log.queue <- append([]byte(nil), line...):
	default:
		w.log.dropped.Add(1)
	}
	return len(line), nil
}
