package ctl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckGatewaySettings(t *testing.T) {
	run := func(file string) (string, error) {
		var out strings.Builder
		cmd := Command(&out)
		cmd.SetArgs([]string{"check", "--as", "gateway", file})
		err := cmd.Execute()
		return out.String(), err
	}
	const example = "../examples/addis-gateway.jsonc"
	if out, err := run(example); err != nil || !strings.HasSuffix(out, ": ok\n") {
		t.Errorf("the example: %q, %v", out, err)
	}
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	if err := os.WriteFile(bad, []byte(strings.Replace(string(text), `"6s"`, `"6"`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := run(bad); ExitCode(err) != ExitUsage || !strings.Contains(err.Error(), "stop_limit") {
		t.Errorf("a time without a unit: %v", err)
	}
}
