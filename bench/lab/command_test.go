package lab

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// smallScenario is simulated in a few milliseconds.
const smallScenario = `{"name": "small", "length": "2s", "gateways": 2,
	"services": [{"name": "s", "upstreams": 2, "slots": 2, "queue": 4, "when_full": "refuses"}],
	"routes": [{"name": "r", "service": "s", "rate": 20, "work": "20ms", "objective": "200ms", "timeout": "1s",
		"patience": "2s", "attempts": 2, "worth": 1, "late_worth": 0.5}]}`

// runLab executes the lab command with the given arguments and returns its output.
func runLab(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	cmd := Command(&out)
	cmd.SetArgs(args)
	if err := cmd.Execute(); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestCommand checks the output of each subcommand and the plots of the page.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	file, page := filepath.Join(dir, "small.jsonc"), filepath.Join(dir, "page.html")
	if err := os.WriteFile(file, []byte(smallScenario), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := runLab(t, "list"); !strings.Contains(got, "overload") {
		t.Errorf("list: %s", got)
	}
	got := runLab(t, "run", file, "--seeds", "2", "--page", page)
	for _, want := range []string{"small", string(Product), string(Ideal), string(Plain), "of limit"} {
		if !strings.Contains(got, want) {
			t.Errorf("run prints no %q: %s", want, got)
		}
	}
	data, err := os.ReadFile(page)
	if err != nil || strings.Count(string(data), "data:image/svg") != 3 {
		t.Errorf("page of %d bytes: %v", len(data), err)
	}
	if got := runLab(t, "run", file, "--seeds", "1", "--json"); !strings.HasPrefix(got, "[") || !strings.Contains(got, `"on_time"`) {
		t.Errorf("json: %.80s", got)
	}
	if got := runLab(t, "compare", file, file, "--seeds", "2"); !strings.Contains(got, "difference 0.0000") {
		t.Errorf("a scenario differs from itself: %s", got)
	}
	if got := runLab(t, "ablate", file, "--seeds", "1"); strings.Count(got, "\n") != len(mechanisms)+1 {
		t.Errorf("ablate: %s", got)
	}
}
