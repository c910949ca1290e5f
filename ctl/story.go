package ctl

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLine is the maximum length of a log line in bytes.
const maxLine = 1 << 20

// logEvent is one line of the log of a process.
type logEvent struct {
	at     time.Time
	fields map[string]any
	// index is the position in the input, which orders lines of the same time.
	index int
}

// storyFilter selects the log events about a request, an upstream or keys. One of them is set; if
// more are, the request takes precedence, then the upstream.
type storyFilter struct {
	request  string
	upstream string
	// first and last are a span of keys; last is -1 if no keys are selected.
	first, last int
}

func storyCommand(o *options) *cobra.Command {
	var filter storyFilter
	var keys string
	cmd := &cobra.Command{
		Use:   "story [FILE...]",
		Short: "Print what the logs of all processes say of a request, an upstream or keys, in the order of time",
		Long: "Reads the logs of gateways, one JSON object a line, from files or standard input. What stands\n" +
			"before the object on a line is passed over, so that collected logs can be read as they are.",
		RunE: func(_ *cobra.Command, files []string) error {
			var err error
			if filter.first, filter.last, err = parseKeys(keys); err != nil {
				return usageError{err}
			}
			if filter.request == "" && filter.upstream == "" && filter.last < 0 {
				return usageError{fmt.Errorf("one of --request, --upstream and --keys is required")}
			}
			events, err := readEvents(files)
			if err != nil {
				return err
			}
			return o.printEvents(selectEvents(events, filter))
		},
	}
	cmd.Flags().StringVar(&filter.request, "request", "", "id of a request")
	cmd.Flags().StringVar(&filter.upstream, "upstream", "", "id of an upstream")
	cmd.Flags().StringVar(&keys, "keys", "", "a key, or a span of keys such as 100-199")
	return cmd
}

// parseKeys parses a key or a span of keys. For an empty text, last is -1.
func parseKeys(text string) (first, last int, err error) {
	if text == "" {
		return 0, -1, nil
	}
	low, high, span := strings.Cut(text, "-")
	if first, err = strconv.Atoi(low); err != nil {
		return 0, 0, fmt.Errorf("--keys: %q is no key", low)
	}
	if !span {
		return first, first, nil
	}
	if last, err = strconv.Atoi(high); err != nil || last < first {
		return 0, 0, fmt.Errorf("--keys: %q is no span", text)
	}
	return first, last, nil
}

// readEvents reads the events of all files, or of standard input if there are none.
func readEvents(files []string) ([]logEvent, error) {
	if len(files) == 0 {
		return scanEvents(os.Stdin, nil)
	}
	var events []logEvent
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		events, err = scanEvents(f, events)
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	return events, nil
}

// scanEvents appends the events that it reads from r. It ignores what precedes the JSON object on a
// line, and lines without a JSON object or a valid time.
func scanEvents(r io.Reader, events []logEvent) ([]logEvent, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := scanner.Bytes()
		start := bytes.IndexByte(line, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		decoder := json.NewDecoder(bytes.NewReader(line[start:]))
		decoder.UseNumber()
		if decoder.Decode(&fields) != nil {
			// Not a log line.
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fmt.Sprint(fields["time"]))
		if err != nil {
			continue
		}
		events = append(events, logEvent{at: at, fields: fields, index: len(events)})
	}
	return events, scanner.Err()
}

// selectEvents returns the events that match the filter, ordered by time. For a request, it includes
// the related events of the upstreams and keys involved, from shortly before.
func selectEvents(events []logEvent, filter storyFilter) []logEvent {
	var out []logEvent
	for _, e := range events {
		if e.matches(filter) {
			out = append(out, e)
		}
	}
	if filter.request != "" {
		out = append(out, relatedEvents(events, out)...)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].at.Equal(out[j].at) {
			return out[i].at.Before(out[j].at)
		}
		return out[i].index < out[j].index
	})
	return out
}

// matches reports whether the event matches the filter.
func (e logEvent) matches(filter storyFilter) bool {
	switch {
	case filter.request != "":
		return e.fields["request"] == filter.request
	case filter.upstream != "":
		return e.mentions(filter.upstream) && e.fields["request"] == nil
	}
	first, last, ok := e.keySpan()
	return ok && first <= filter.last && last >= filter.first && e.fields["request"] == nil
}

// mentions reports whether one of the event's fields is the upstream.
func (e logEvent) mentions(upstream string) bool {
	for _, name := range []string{"upstream", "from"} {
		if e.fields[name] == upstream {
			return true
		}
	}
	return false
}

// keySpan returns the span of keys that the event is about, if it has one.
func (e logEvent) keySpan() (first, last int, ok bool) {
	low, ok := e.intField("first")
	if !ok {
		return 0, 0, false
	}
	high, ok := e.intField("last")
	if !ok {
		high = low
	}
	return low, high, true
}

// intField returns the value of an integer field.
func (e logEvent) intField(name string) (int, bool) {
	n, ok := e.fields[name].(json.Number)
	if !ok {
		return 0, false
	}
	whole, err := n.Int64()
	return int(whole), err == nil
}

// relatedWindow is how long before the first event of a request related events are included. It is
// longer than a grant lasts.
const relatedWindow = 6 * time.Second

// relatedEvents returns the events about the upstreams and the key of a request, and the cluster
// events, from relatedWindow before its first event until its last one.
func relatedEvents(events, matched []logEvent) []logEvent {
	if len(matched) == 0 {
		return nil
	}
	start, end := matched[0].at.Add(-relatedWindow), matched[len(matched)-1].at
	var out []logEvent
	for _, e := range events {
		if e.at.Before(start) || e.at.After(end) || e.fields["request"] != nil {
			continue
		}
		if e.relatesTo(matched) {
			out = append(out, e)
		}
	}
	return out
}

// clusterMessages are the messages of events that affect every request: changes of the leader, and the
// loss and recovery of the connections to the store and to other gateways.
var clusterMessages = map[string]bool{
	"leading": true, "no longer leading": true, "lease given up": true, "lease not renewed": true,
	"store not reached": true, "store reached again": true, "stopping": true,
	"reports to other gateways fail": true, "reports succeed again": true,
}

// relatesTo reports whether the event is about the cluster, or about an upstream or a key of the
// matched events.
func (e logEvent) relatesTo(matched []logEvent) bool {
	if message, ok := e.fields["msg"].(string); ok && clusterMessages[message] {
		return true
	}
	first, last, spanned := e.keySpan()
	for _, a := range matched {
		if u, ok := a.fields["upstream"].(string); ok && u != "" && e.mentions(u) && !spanned {
			return true
		}
		if key, ok := a.intField("key"); ok && spanned && first <= key && key <= last {
			return true
		}
	}
	return false
}

// printEvents prints the events, one per line or as JSON.
func (o *options) printEvents(events []logEvent) error {
	if o.json() {
		list := make([]map[string]any, len(events))
		for i, e := range events {
			list[i] = e.fields
		}
		return writeJSON(o.out, list)
	}
	for _, e := range events {
		if _, err := fmt.Fprintln(o.out, e.format()); err != nil {
			return err
		}
	}
	return nil
}

// format returns the event as one line: time, level, process and message, then the other fields sorted
// by name.
func (e logEvent) format() string {
	var names []string
	for name := range e.fields {
		switch name {
		case "time", "level", "msg", "node":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-5v %v: %v", e.at.Format("15:04:05.000"), e.fields["level"], e.fields["node"], e.fields["msg"])
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, e.fields[name])
	}
	return b.String()
}
