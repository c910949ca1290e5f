package lab

import (
	"embed"
	"fmt"
	"sort"
	"strings"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

// scenarioFiles are the built-in scenarios.
//
//go:embed scenarios/*.jsonc
var scenarioFiles embed.FS

// Names lists the built-in scenarios.
func Names() []string {
	entries, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	var out []string
	for _, e := range entries {
		out = append(out, strings.TrimSuffix(e.Name(), ".jsonc"))
	}
	sort.Strings(out)
	return out
}

// Find returns a built-in scenario by its name, or reads a scenario from a file.
func Find(name string) (*Scenario, error) {
	sc := DefaultScenario()
	data, err := scenarioFiles.ReadFile("scenarios/" + name + ".jsonc")
	if err != nil {
		return &sc, jsonc.Load(name, &sc)
	}
	if err := jsonc.Decode(data, &sc); err != nil {
		return nil, fmt.Errorf("scenario %s:\n%w", name, err)
	}
	return &sc, nil
}
