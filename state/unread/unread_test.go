package unread

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// TestHeadersAreCounted: the first answer with a header begins it, and so does one after a long
// time without.
func TestHeadersAreCounted(t *testing.T) {
	b := NewBook()
	for i, c := range []struct {
		after  time.Duration
		begins bool
	}{{0, true}, {time.Second, false}, {time.Second + quietAfter, false}, {2*time.Second + 2*quietAfter, true}} {
		if got := b.Note(start.Add(c.after), "pay", "i-1", "X-New"); got != c.begins {
			t.Errorf("answer %d: begins %t", i, got)
		}
	}
	if !b.Note(start, "status", "i-2", "X-New") {
		t.Error("not told apart by service")
	}
	list := b.List()
	if len(list) != 2 || list[0].Answers != 4 {
		t.Errorf("%+v", list)
	}
	if list[0].Sent(list[0].Last.Add(quietAfter+1)) || !list[0].Sent(list[0].Last) {
		t.Error("sent when it is not, or the other way round")
	}
}

// TestHeadersAreBounded: a service that makes names up takes no place of others.
func TestHeadersAreBounded(t *testing.T) {
	b := NewBook()
	for i := range 10 * mostHeaders {
		b.Note(start, "odd", "i-1", fmt.Sprint("X-", i))
	}
	if n := len(b.List()); n != mostHeaders {
		t.Errorf("%d kept", n)
	}
	if !b.Note(start, "pay", "i-1", "X-New") {
		t.Error("another service's is not noticed")
	}
}
