package unread

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// The first response with a header counts as its start, and so does one after a long pause.
func TestRecordReportsNewAndResumedHeaders(t *testing.T) {
	counter := NewCounter()
	for i, c := range []struct {
		after   time.Duration
		started bool
	}{{0, true}, {time.Second, false}, {time.Second + inactiveAfter, false}, {2*time.Second + 2*inactiveAfter, true}} {
		if got := counter.Record(start.Add(c.after), "pay", "i-1", "X-New"); got != c.started {
			t.Errorf("response %d: started %t", i, got)
		}
	}
	if !counter.Record(start, "status", "i-2", "X-New") {
		t.Error("the same header of another service does not count as started")
	}
	list := counter.List()
	if len(list) != 2 || list[0].Responses != 4 {
		t.Errorf("%+v", list)
	}
	if list[0].Active(list[0].Last.Add(inactiveAfter+1)) || !list[0].Active(list[0].Last) {
		t.Error("the header is active after a pause, or inactive right after a response")
	}
}

// A service that sends arbitrary header names does not use up the capacity of other services.
func TestHeadersAreBoundedPerService(t *testing.T) {
	counter := NewCounter()
	for i := range 10 * maxHeadersPerService {
		counter.Record(start, "odd", "i-1", fmt.Sprint("X-", i))
	}
	if n := len(counter.List()); n != maxHeadersPerService {
		t.Errorf("%d kept", n)
	}
	if !counter.Record(start, "pay", "i-1", "X-New") {
		t.Error("a header of another service was not reported")
	}
}
