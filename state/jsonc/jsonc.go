// Package jsonc reads settings in JSON with comments and reports every finding
// at once, each with its path in the file and its line.
package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// Finding is one fault of a settings file.
type Finding struct {
	// Path names the field, such as "limits.queue".
	Path string
	// Line is counted from one; zero means the whole file.
	Line    int
	Message string
}

// String returns the finding on one line.
func (f Finding) String() string {
	switch {
	case f.Line == 0:
		return fmt.Sprintf("%s: %s", f.Path, f.Message)
	case f.Path == "":
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
}

// Findings is the error returned for a file with faults.
type Findings []Finding

// Error returns all findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings that check the relations of their fields.
// The line of each finding is filled in from its path.
type Checker interface{ Check() []Finding }

// Load reads a file into settings and checks it. All faults are returned as
// Findings.
func Load(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := Decode(data, settings); err != nil {
		return fmt.Errorf("settings %s:\n%w", path, err)
	}
	return nil
}

// Decode parses data into settings and checks them.
func Decode(data []byte, settings Checker) error {
	root, err := hujson.Parse(data)
	if err != nil {
		return Findings{{Line: 1, Message: err.Error()}}
	}
	d := decoder{data: data, lines: make(map[string]int)}
	d.value(&root, reflect.ValueOf(settings).Elem(), "")
	if len(d.findings) > 0 {
		return d.findings
	}
	for _, f := range settings.Check() {
		f.Line = d.lineOf(f.Path)
		d.findings = append(d.findings, f)
	}
	if len(d.findings) > 0 {
		return d.findings
	}
	return nil
}

type decoder struct {
	data     []byte
	findings Findings
	lines    map[string]int
}

// lineOf returns the line of the path or of its nearest parent in the file.
func (d *decoder) lineOf(path string) int {
	for {
		if line, ok := d.lines[path]; ok {
			return line
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return 0
		}
		path = path[:i]
	}
}

func (d *decoder) report(v *hujson.Value, path, format string, args ...any) {
	d.findings = append(d.findings, Finding{Path: path, Line: d.line(v), Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) line(v *hujson.Value) int {
	return 1 + bytes.Count(d.data[:min(v.StartOffset, len(d.data))], []byte("\n"))
}

func (d *decoder) value(v *hujson.Value, target reflect.Value, path string) {
	d.lines[path] = d.line(v)
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.literal(v, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.object(v, target, path)
	case reflect.Slice:
		d.array(v, target, path)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.value(v, target.Elem(), path)
	default:
		d.literal(v, target, path)
	}
}

func (d *decoder) literal(v *hujson.Value, target reflect.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.report(v, path, "want %s", describe(target.Type()))
		return
	}
	if err := json.Unmarshal(lit, target.Addr().Interface()); err != nil {
		d.report(v, path, "want %s: %v", describe(target.Type()), err)
	}
}

func (d *decoder) array(v *hujson.Value, target reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.report(v, path, "want a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.value(&arr.Elements[i], list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}

func (d *decoder) object(v *hujson.Value, target reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.report(v, path, "want an object")
		return
	}
	seen := make(map[string]bool)
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := join(path, name)
		field, ok := fieldByName(target, name)
		switch {
		case !ok:
			d.report(&m.Name, child, "unknown field")
		case seen[name]:
			d.report(&m.Name, child, "field stands twice")
		default:
			d.value(&m.Value, field, child)
		}
		seen[name] = true
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func describe(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	if t == reflect.TypeFor[Duration]() {
		return "a time with its unit"
	}
	if t == reflect.TypeFor[Addr]() {
		return "an IP number with port"
	}
	return "a whole number"
}
