package process

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// TextWriter writes formatted text and keeps the first error, so that code that prints many lines
// checks errors only once, in Close.
type TextWriter struct {
	w     io.Writer
	table *tabwriter.Writer
	err   error
}

// NewTextWriter returns a writer that writes without buffering.
func NewTextWriter(w io.Writer) *TextWriter { return &TextWriter{w: w} }

// Layout of tables, in characters.
const (
	minColumnWidth = 0
	tabWidth       = 4
	columnPadding  = 2
)

// NewTableWriter returns a writer whose tab-separated columns are aligned when it is closed.
func NewTableWriter(w io.Writer) *TextWriter {
	table := tabwriter.NewWriter(w, minColumnWidth, tabWidth, columnPadding, ' ', 0)
	return &TextWriter{w: table, table: table}
}

// Printf writes like fmt.Fprintf, unless an earlier write has failed.
func (t *TextWriter) Printf(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format, args...)
	}
}

// Close flushes buffered output and returns the first error.
func (t *TextWriter) Close() error {
	if t.table != nil && t.err == nil {
		t.err = t.table.Flush()
	}
	return t.err
}
