// Package jsonc decodes settings written in JSON with comments. It reports all
// problems of a file at once, each with its field path and line.
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

// Diagnostic describes one problem in a settings file.
type Diagnostic struct {
	// Path is the path of the field, such as "limits.queue".
	Path string
	// Line is the line number, starting at one. Zero refers to the entire file.
	Line    int
	Message string
}

// String formats the diagnostic on one line.
func (d Diagnostic) String() string {
	switch {
	case d.Line == 0:
		return fmt.Sprintf("%s: %s", d.Path, d.Message)
	case d.Path == "":
		return fmt.Sprintf("line %d: %s", d.Line, d.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", d.Line, d.Path, d.Message)
}

// Diagnostics is the error returned for a file that has problems.
type Diagnostics []Diagnostic

// Error returns all diagnostics, one per line.
func (d Diagnostics) Error() string {
	lines := make([]string, len(d))
	for i, diagnostic := range d {
		lines[i] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings that validate their values and the relations
// between their fields. Check leaves Line unset; Decode fills it in from Path.
type Checker interface{ Check() []Diagnostic }

// Load reads a file into settings and validates them. An error for invalid contents
// wraps Diagnostics.
func Load(path string, settings Checker) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := Decode(data, settings); err != nil {
		return fmt.Errorf("invalid settings in %s:\n%w", path, err)
	}
	return nil
}

// Decode parses data into settings and validates them. Check is called only if all
// fields were decoded without problems. The error, if any, is of type Diagnostics.
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
	for _, diagnostic := range settings.Check() {
		diagnostic.Line = d.lineOf(diagnostic.Path)
		d.diagnostics = append(d.diagnostics, diagnostic)
	}
	if len(d.diagnostics) > 0 {
		return d.diagnostics
	}
	return nil
}

// decoder decodes parsed JSON into Go values. It collects diagnostics and records the
// line of each field path.
type decoder struct {
	data        []byte
	diagnostics Diagnostics
	lines       map[string]int
}

// lineOf returns the line of path, or of its nearest ancestor in the file.
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

// line returns the line on which v starts.
func (d *decoder) line(v *hujson.Value) int {
	return 1 + bytes.Count(d.data[:min(v.StartOffset, len(d.data))], []byte("\n"))
}

// decodeValue decodes v into target. Types that implement encoding.TextUnmarshaler are
// decoded as literals.
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
	case reflect.Map:
		d.decodeMap(v, target, path)
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

// decodeMap decodes an object into a map with strings as keys, with any names.
func (d *decoder) decodeMap(v *hujson.Value, target reflect.Value, path string) {
	if lit, ok := v.Value.(hujson.Literal); ok && lit.Kind() == 'n' {
		// Without entries a template may render null.
		return
	}
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addDiagnostic(v, path, "want an object")
		return
	}
	entries := reflect.MakeMapWithSize(target.Type(), len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := joinPath(path, name)
		key := reflect.ValueOf(name).Convert(target.Type().Key())
		if entries.MapIndex(key).IsValid() {
			d.addDiagnostic(&m.Name, child, "field stands twice")
			continue
		}
		entry := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(&m.Value, entry, child)
		entries.SetMapIndex(key, entry)
	}
	target.Set(entries)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldByName returns the field of target whose json tag has the given name.
func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// describeType describes the expected JSON value of a type for diagnostics.
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
