package process

import (
	"errors"
	"strings"
	"testing"
)

var errFull = errors.New("full")

// limitedWriter fails after a number of bytes.
type limitedWriter struct{ left int }

func (w *limitedWriter) Write(p []byte) (int, error) {
	if len(p) > w.left {
		return 0, errFull
	}
	w.left -= len(p)
	return len(p), nil
}

func TestTextWriterKeepsFirstError(t *testing.T) {
	for name, text := range map[string]*TextWriter{"lines": NewTextWriter(&limitedWriter{left: 4}), "table": NewTableWriter(&limitedWriter{left: 4})} {
		text.Printf("abc\n")
		text.Printf("too much\n")
		text.Printf("x")
		if err := text.Close(); !errors.Is(err, errFull) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestTableColumnsAreAligned(t *testing.T) {
	var out strings.Builder
	table := NewTableWriter(&out)
	table.Printf("a\tb\nlong\tc\n")
	if err := table.Close(); err != nil || out.String() != "a     b\nlong  c\n" {
		t.Errorf("%q, %v", out.String(), err)
	}
}
