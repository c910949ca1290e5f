package process

import (
	"errors"
	"strings"
	"testing"
)

var errFull = errors.New("full")

// full takes some bytes and then fails.
type full struct{ left int }

func (f *full) Write(p []byte) (int, error) {
	if len(p) > f.left {
		return 0, errFull
	}
	f.left -= len(p)
	return len(p), nil
}

func TestTextKeepsTheFirstError(t *testing.T) {
	for name, text := range map[string]*Text{"lines": NewText(&full{left: 4}), "table": NewTable(&full{left: 4})} {
		text.Printf("abc\n")
		text.Printf("too much\n")
		text.Printf("x")
		if err := text.Close(); !errors.Is(err, errFull) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestTableIsAligned(t *testing.T) {
	var out strings.Builder
	table := NewTable(&out)
	table.Printf("a\tb\nlong\tc\n")
	if err := table.Close(); err != nil || out.String() != "a     b\nlong  c\n" {
		t.Errorf("%q, %v", out.String(), err)
	}
}
