package jsonc_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/jsonc"
	"github.com/rockcroft/rockcroft/state/settings"
)

// TestDecodeReportsAllDiagnostics guards against decoding that stops at the first problem.
func TestDecodeReportsAllDiagnostics(t *testing.T) {
	text := `{
  // Entry settings with many problems.
  "id": "e1", "domain": "d",
  "callers": "localhost:1",
  "peers": "127.0.0.1:2",
  "admin": "127.0.0.1:2",
  "platform_timeout": 5,
  "beat_interval": "3",
  "color": "red",
  "id": "e2"
}`
	conf := settings.DefaultEntry()
	err := jsonc.Decode([]byte(text), &conf)
	var diagnostics jsonc.Diagnostics
	if !errors.As(err, &diagnostics) {
		t.Fatalf("got error %v, want Diagnostics", err)
	}
	var got []string
	for _, d := range diagnostics {
		got = append(got, d.Path)
	}
	want := []string{"callers", "platform_timeout", "beat_interval", "color", "id"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diagnostics[0].Line != 4 || diagnostics[4].Line != 10 {
		t.Errorf("got lines %d and %d, want 4 and 10", diagnostics[0].Line, diagnostics[4].Line)
	}
}

// TestCheckDiagnosticsHaveLines checks that diagnostics returned by Check get the line of
// their field, or of its parent if the field is absent.
func TestCheckDiagnosticsHaveLines(t *testing.T) {
	text := `{
  "id": "e1", "domain": "d",
  "callers": "127.0.0.1:1",
  "peers": "127.0.0.1:2",
  "admin": "127.0.0.1:2",
  "platform": "127.0.0.1:3",
  "beat_interval": "1s",
  "trace": {"exporter": "otlp"},
  "peer_tls": {"cert": "c.pem"},
}`
	conf := settings.DefaultEntry()
	err := jsonc.Decode([]byte(text), &conf)
	for _, want := range []string{
		"line 5: admin: has the same address as peers",
		"line 7: beat_interval: must be at most 400ms",
		"line 8: trace.endpoint: is required",
		"line 9: peer_tls: cert and key must be set together",
		"peer_tls.authority: is required",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("missing diagnostic %q in:\n%v", want, err)
		}
	}
}

// FuzzDecode checks that Decode does not panic on any input.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"id": "a", "seeds": ["127.0.0.1:1"], "trace": {"exporter": "off"}}`))
	f.Add([]byte(`{"id": [1, {"x": null}], /* c */ "seeds": 3}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		conf := settings.DefaultEntry()
		_ = jsonc.Decode(data, &conf)
	})
}
