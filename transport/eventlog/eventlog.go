// Package eventlog writes the structured log of a process, one JSON object a
// line, so that logging never delays the work: lines go through a bounded queue to
// one writer, each kind of line (its message) has a rate, and what is dropped is
// counted, logged and served.
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
	// queueLength is the number of lines that may wait for the writer: some
	// seconds of a busy process.
	queueLength = 1024
	// keptForFailures is the part of the queue that only warnings and errors
	// may use.
	keptForFailures = queueLength / 2
	// infoRate and warnRate are the lines of one kind that may be written in a
	// second, burst how many of these at once, in seconds' worth.
	infoRate = 40
	warnRate = 80
	burst    = 2
	// mostKinds bounds the kinds told apart; all others share one rate.
	mostKinds = 200
	// reportInterval is the time between lines about dropped lines.
	reportInterval = 5 * time.Second
)

// Log is the output of a process's log. Create one with New and run Run.
type Log struct {
	queue   chan []byte
	now     func() time.Time
	dropped atomic.Int64
	written atomic.Int64

	mu    sync.Mutex
	kinds map[string]*bucket
}

// bucket is the rate of one kind of line.
type bucket struct {
	tokens float64
	at     time.Time
}

// New returns a log without output.
func New(now func() time.Time) *Log {
	return &Log{queue: make(chan []byte, queueLength), now: now, kinds: make(map[string]*bucket)}
}

// Dropped returns the number of lines dropped so far, Written that of lines
// written.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Written returns the number of lines written so far.
func (l *Log) Written() int64 { return l.written.Load() }

// Run writes lines to w until ctx ends, then those that wait.
func (l *Log) Run(ctx context.Context, w io.Writer) {
	logger := l.Logger(slog.LevelInfo)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-l.queue:
			l.write(w, line)
		case <-ticker.C:
			if n := l.Dropped(); n > reported {
				logger.Warn("log lines dropped", "since_last", n-reported, "total", n)
				reported = n
			}
		case <-ctx.Done():
			l.drain(w)
			return
		}
	}
}

func (l *Log) drain(w io.Writer) {
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

// Logger returns a logger that writes lines from the level on.
func (l *Log) Logger(level slog.Level) *slog.Logger {
	return slog.New(&handler{
		Handler: slog.NewJSONHandler(sink{l, false}, &slog.HandlerOptions{Level: level}),
		failing: slog.NewJSONHandler(sink{l, true}, &slog.HandlerOptions{Level: level}),
		log:     l,
	})
}

// handler drops lines beyond the rate of their kind before they are formatted.
type handler struct {
	slog.Handler
	// failing formats warnings and errors, which may use the whole queue.
	failing slog.Handler
	log     *Log
}

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	if !h.log.allow(r.Message, r.Level) {
		h.log.dropped.Add(1)
		return nil
	}
	if r.Level >= slog.LevelWarn {
		return h.failing.Handle(ctx, r)
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.Handler.WithAttrs(attrs), h.failing.WithAttrs(attrs), h.log}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.Handler.WithGroup(name), h.failing.WithGroup(name), h.log}
}

// allow takes a line from the rate of its kind.
func (l *Log) allow(kind string, level slog.Level) bool {
	rate := float64(infoRate)
	if level >= slog.LevelWarn {
		rate = warnRate
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.kinds[kind]
	if b == nil {
		if len(l.kinds) >= mostKinds {
			kind = ""
		}
		if b = l.kinds[kind]; b == nil {
			b = &bucket{tokens: rate * burst, at: now}
			l.kinds[kind] = b
		}
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.at).Seconds(), rate*burst)
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// sink puts formatted lines into the queue.
type sink struct {
	log     *Log
	failing bool
}

// Write implements io.Writer. It never blocks.
func (s sink) Write(line []byte) (int, error) {
	if !s.failing && len(s.log.queue) >= queueLength-keptForFailures {
		s.log.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.log.queue <- append([]byte(nil), line...):
	default:
		s.log.dropped.Add(1)
	}
	return len(line), nil
}
