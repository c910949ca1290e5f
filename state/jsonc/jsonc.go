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

// Diagnostic is one fault of a settings file.
type Diagnostic struct {
	// Path names the field, such as "limits.queue".
	Path string
	// Line is counted from one; zero means the whole file.
	Line    int
	Message string
}

// String returns the finding on one line.
func (f Diagnostic) String() string {
	switch {
	case f.Line == 0:
		return fmt.Sprintf("%s: %s", f.Path, f.Message)
	case f.Path == "":
		return fmt.Sprintf("line %d: %s", f.Line, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Path, f.Message)
}

// Diagnostics is the error returned for a file with faults.
type Diagnostics []Diagnostic

// Error returns all findings, one a line.
func (f Diagnostics) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings that check the relations of their fields.
// The line of each finding is filled in from its path.
type Checker interface{ Check() []Diagnostic }

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
		return Diagnostics{{Line: 1, Message: err.Error()}}
	}
	d := decoder{data: data, lines: make(map[string]int)}
	d.decodeValue(&root, reflect.ValueOf(settings).Elem(), "")
	if len(d.diagnostics) > 0 {
		return d.diagnostics
	}
	for _, f := range settings.Check() {
		f.Line = d.lineOf(f.Path)
		d.diagnostics = append(d.diagnostics, f)
	}
	if len(d.diagnostics) > 0 {
		return d.diagnostics
	}
	return nil
}

type decoder struct {
	data     []byte
	diagnostics Diagnostics
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

func (d *decoder) addDiagnostic(v *hujson.Value, path, format string, args ...any) {
	d.diagnostics = append(d.diagnostics, Diagnostic{Path: path, Line: d.line(v), Message: fmt.Sprintf(format, args...)})
}

func (d *decoder) line(v *hujson.Value) int {
	return 1 + bytes.Count(d.data[:min(v.StartOffset, len(d.data))], []byte("\n"))
}

func (d *decoder) decodeValue(v *hujson.Value, target reflect.Value, path string) {
	d.lines[path] = d.line(v)
	if _, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeLiteral(v, target, path)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(v, target, path)
	case reflect.Slice:
		d.decodeArray(v, target, path)
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(v, target.Elem(), path)
	default:
		d.decodeLiteral(v, target, path)
	}
}

func (d *decoder) decodeLiteral(v *hujson.Value, target reflect.Value, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok {
		d.addDiagnostic(v, path, "want %s", describeType(target.Type()))
		return
	}
	if err := json.Unmarshal(lit, target.Addr().Interface()); err != nil {
		d.addDiagnostic(v, path, "want %s: %v", describeType(target.Type()), err)
	}
}

func (d *decoder) decodeArray(v *hujson.Value, target reflect.Value, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addDiagnostic(v, path, "want a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.decodeValue(&arr.Elements[i], list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(list)
}

func (d *decoder) decodeObject(v *hujson.Value, target reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addDiagnostic(v, path, "want an object")
		return
	}
	seen := make(map[string]bool)
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := joinPath(path, name)
		field, ok := fieldByName(target, name)
		switch {
		case !ok:
			d.addDiagnostic(&m.Name, child, "unknown field")
		case seen[name]:
			d.addDiagnostic(&m.Name, child, "field stands twice")
		default:
			d.decodeValue(&m.Value, field, child)
		}
		seen[name] = true
	}
}

func joinPath(path, name string) string {
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

func describeType(t reflect.Type) string {
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
