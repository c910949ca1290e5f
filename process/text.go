package process

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Text writes text and keeps the first error, so that what prints many lines checks
// once, in Close.
type TextWriter struct {
	w     io.Writer
	table *tabwriter.Writer
	err   error
}

// NewText returns a text that is written as it comes.
func NewTextWriter(w io.Writer) *TextWriter { return &TextWriter{w: w} }

// The layout of tables: the least width of a column, the width of a tab, and the space
// between columns.
const (
	minColumnWidth = 0
	tabWidth       = 4
	columnPadding  = 2
)

// NewTable returns a text whose columns, divided by tabs, are aligned when it is closed.
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

// Close writes what is left and returns the first error.
func (t *TextWriter) Close() error {
	if t.table != nil && t.err == nil {
		t.err = t.table.Flush()
	}
	return t.err
}
