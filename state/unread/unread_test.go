package unread

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestHeadersAreCounted: the first answer with a header begins it, and so does one after a long
// time without.
func TestRecordReportsNewAndResumedHeaders(t *testing.T) {
	b := NewCounter()
	for i, c := range []struct {
		after  time.Duration
		begins bool
	}{{0, true}, {time.Second, false}, {time.Second + inactiveAfter, false}, {2*time.Second + 2*inactiveAfter, true}} {
		if got := b.Record(start.Add(c.after), "pay", "i-1", "X-New"); got != c.begins {
			t.Errorf("answer %d: begins %t", i, got)
		}
	}
	if !b.Record(start, "status", "i-2", "X-New") {
		t.Error("not told apart by service")
	}
	list := b.List()
	if len(list) != 2 || list[0].Responses != 4 {
		t.Errorf("%+v", list)
	}
	if list[0].Active(list[0].Last.Add(inactiveAfter+1)) || !list[0].Active(list[0].Last) {
		t.Error("sent when it is not, or the other way round")
	}
}

// TestHeadersAreBounded: a service that makes names up takes no place of others.
func TestHeadersAreBoundedPerService(t *testing.T) {
	b := NewCounter()
	for i := range 10 * maxHeadersPerService {
		b.Record(start, "odd", "i-1", fmt.Sprint("X-", i))
	}
	if n := len(b.List()); n != maxHeadersPerService {
		t.Errorf("%d kept", n)
	}
	if !b.Record(start, "pay", "i-1", "X-New") {
		t.Error("another service's is not noticed")
	}
}
