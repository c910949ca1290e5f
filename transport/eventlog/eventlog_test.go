package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks forever in Write.
type blockedWriter struct{ entered chan struct{} }

func (w blockedWriter) Write([]byte) (int, error) {
	close(w.entered)
	select {}
}

// flushLines writes the queued lines and returns them.
func flushLines(l *Log) []string {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	l.flush(&out)
	l.Run(ctx, &out)
	return strings.Split(strings.TrimSpace(out.String()), "\n")
}

// TestBlockedOutputDoesNotBlockLogging guards against loggers that wait for an output that no one
// reads. Lines that do not fit into the queue must be counted as dropped.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	l := New(time.Now)
	out := blockedWriter{entered: make(chan struct{})}
	go l.Run(context.Background(), out)
	logger := l.Logger(slog.LevelInfo)
	logger.Info("first")
	<-out.entered
	const lines = 3 * queueLength
	for i := range lines {
		logger.Warn(fmt.Sprintf("kind %d", i%100), "i", i)
	}
	if n := l.Dropped(); n < lines-queueLength {
		t.Errorf("only %d lines were counted as dropped", n)
	}
}

// TestHalfOfQueueIsReservedForWarnings checks that only warnings are accepted once the queue is
// half full.
func TestHalfOfQueueIsReservedForWarnings(t *testing.T) {
	l := New(time.Now)
	logger := l.Logger(slog.LevelInfo)
	for i := range queueLength {
		logger.Info(fmt.Sprintf("kind %d", i%100))
	}
	logger.Warn("a failure")
	lines := flushLines(l)
	if len(lines) != queueLength-reservedForWarnings+1 || !strings.Contains(lines[len(lines)-1], "a failure") {
		t.Errorf("%d lines were written, the last is %s", len(lines), lines[len(lines)-1])
	}
}

// TestEachMessageHasItsOwnRate checks that a frequent message does not displace a rare one, and
// that the rate recovers over time.
func TestEachMessageHasItsOwnRate(t *testing.T) {
	now := time.Now()
	l := New(func() time.Time { return now })
	logger := l.Logger(slog.LevelInfo)
	for range 10 * infoRate {
		logger.Info("often")
	}
	logger.Info("seldom")
	now = now.Add(time.Second)
	for range 10 * infoRate {
		logger.Info("often")
	}
	count := make(map[string]int)
	for _, line := range flushLines(l) {
		var fields struct{ Msg string }
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		count[fields.Msg]++
	}
	if count["often"] != infoRate*(burstSeconds+1) || count["seldom"] != 1 {
		t.Errorf("lines per message: %v", count)
	}
	if l.Dropped() != int64(20*infoRate-infoRate*(burstSeconds+1)) {
		t.Errorf("%d lines were dropped", l.Dropped())
	}
}

func TestAttributesAndGroupsAreKept(t *testing.T) {
	l := New(time.Now)
	l.Logger(slog.LevelInfo).With("node", "n1").WithGroup("g").Info("m", "k", 1)
	lines := flushLines(l)
	if !strings.Contains(lines[0], `"node":"n1"`) || !strings.Contains(lines[0], `"g":{"k":1}`) {
		t.Errorf("line %s", lines[0])
	}
}
