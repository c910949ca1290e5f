package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rockcroft/rockcroft/protocol/answer"
)

var start = time.Unix(1000, 0)

// decisions records by name whether the queue admitted a ticket.
type decisions map[string]bool

func (v decisions) ticket(name string, i Importance, remaining time.Duration) *Ticket {
	return &Ticket{Importance: i, Deadline: start.Add(remaining), Notify: func(ok bool) { v[name] = ok }}
}

func fullQueue(t *testing.T, waiting int) *Queue {
	t.Helper()
	q := NewQueue(Limits{MinInflight: 1, MaxInflight: 8, StartInflight: 1, MaxWaiting: waiting})
	if ok, _ := q.Submit(start, &Ticket{Deadline: start.Add(time.Hour), Notify: func(bool) {}}); !ok {
		t.Fatal("the first request is refused")
	}
	return q
}

func TestHigherImportanceIsAdmittedFirst(t *testing.T) {
	q := fullQueue(t, 10)
	v := decisions{}
	q.Submit(start, v.ticket("low", Low, time.Hour))
	q.Submit(start, v.ticket("high", High, time.Hour))
	q.Done(start, Outcome{Duration: time.Millisecond, Unsent: true})
	if !v["high"] || v["low"] {
		t.Errorf("admitted %v", v)
	}
}

func TestFullQueueEvictsLowerImportance(t *testing.T) {
	q := fullQueue(t, 1)
	v := decisions{"low": true}
	q.Submit(start, v.ticket("low", Low, time.Hour))
	if ok, _ := q.Submit(start, v.ticket("another low", Low, time.Hour)); ok {
		t.Error("a full queue accepts another request of the same importance")
	}
	if ok, _ := q.Submit(start, v.ticket("high", High, time.Hour)); !ok {
		t.Error("an important request is refused")
	}
	if v["low"] {
		t.Error("the less important request still waits")
	}
}

func TestUnmeetableDeadlineIsRefused(t *testing.T) {
	q := fullQueue(t, 10)
	q.Done(start, Outcome{Duration: 100 * time.Millisecond})
	v := decisions{}
	q.Submit(start, v.ticket("first", Normal, time.Hour))
	for range 3 {
		q.Submit(start, v.ticket("waiting", Normal, time.Hour))
	}
	ok, wait := q.Submit(start, v.ticket("late", Normal, 50*time.Millisecond))
	if ok || wait < 50*time.Millisecond {
		t.Errorf("accepted %v, wait %s", ok, wait)
	}
}

func TestExpiredRequestIsNotAdmitted(t *testing.T) {
	q := fullQueue(t, 10)
	v := decisions{"late": true}
	q.Submit(start, v.ticket("late", Normal, time.Millisecond))
	q.Submit(start, v.ticket("good", Normal, time.Hour))
	q.Done(start.Add(time.Second), Outcome{Duration: time.Millisecond})
	if v["late"] || !v["good"] {
		t.Errorf("decisions %v", v)
	}
}

// Under steady load on an upstream with four slots that sheds the excess, the limit must settle
// near four.
func TestLimitConvergesToSlots(t *testing.T) {
	q := NewQueue(Limits{MinInflight: 1, MaxInflight: 16, StartInflight: 1, MaxWaiting: 1000})
	now := start
	for range 2000 {
		for q.Waiting() < 20 {
			q.Submit(now, &Ticket{Deadline: now.Add(time.Hour), Notify: func(bool) {}})
		}
		now = now.Add(10 * time.Millisecond)
		running := q.Inflight()
		for i := range running {
			q.Done(now, Outcome{Duration: 10 * time.Millisecond, Shed: i >= 4})
		}
	}
	if q.Limit() < 3 || q.Limit() > 6 {
		t.Errorf("limit %d for 4 slots", q.Limit())
	}
}

// After callers have come and gone, some with a canceled context, no request may be in flight or
// waiting.
func TestLimiterReleasesEverySlot(t *testing.T) {
	l := NewLimiter(Limits{MinInflight: 1, MaxInflight: 4, StartInflight: 2, MaxWaiting: 8}, time.Now)
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			ctx, cancel := context.WithCancel(context.Background())
			if i%3 == 0 {
				cancel()
			}
			defer cancel()
			err := l.Acquire(ctx, Importance(i%int(importanceLevels)), time.Now().Add(time.Minute))
			if err == nil {
				l.Release(Outcome{Duration: time.Microsecond})
			} else if k := answer.KindOf(err); k != answer.Overloaded && k != answer.DeadlinePassed {
				t.Errorf("kind %q", k)
			}
		}()
	}
	wait.Wait()
	if _, inflight, waiting := l.Load(); inflight != 0 || waiting != 0 {
		t.Errorf("%d in flight, %d waiting", inflight, waiting)
	}
}
