package settings

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rockcroft/rockcroft/state/jsonc"
)

const gatewaySettings = `{
  // The same fields as a file rendered from deploy/gateway.jsonc.
  "node": "edge-1", "domain": "a", "callers": "127.0.0.1:1", "ready": "127.0.0.1:2", "peers": "127.0.0.1:3",
  "metrics": "127.0.0.1:4", "store": "127.0.0.1:5", "seeds": ["127.0.0.1:3"],
  "stop_limit": "6s", "upstream_drain": "2s", "longest_hold": "10s",
  "retry_share": 0.2, "retry_allowance": 62, "retry_window": "10s", "strength": 0.32, "memory_mb": 284, "link_mbps": 12.5,
  "regions": {"a": "north", "b": "south"}, "warm_up_overage": 1.5, "warm_up_slack": 8,
  "revocation_timeout": "5s", "quota_slack": 20,
}`

// TestGatewaySettings checks that valid settings decode and that the error for an invalid
// field names the field.
func TestGatewaySettings(t *testing.T) {
	g := DefaultGateway()
	if err := jsonc.Decode([]byte(gatewaySettings), &g); err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(map[string]string{"a": "north", "b": "south"}, g.Regions); d != "" {
		t.Error(d)
	}
	for name, c := range map[string]struct{ old, replacement, path string }{
		"missing":          {`"node": "edge-1", `, ``, "node"},
		"empty template":   {`"stop_limit": "6s"`, `"stop_limit": "s"`, "stop_limit"},
		"too short":        {`"stop_limit": "6s"`, `"stop_limit": "1s"`, "stop_limit"},
		"wrong type":       {`"memory_mb": 284`, `"memory_mb": "284"`, "memory_mb"},
		"no address":       {`"store": "127.0.0.1:5"`, `"store": ""`, "store"},
		"out of range":     {`"retry_share": 0.2`, `"retry_share": 2`, "retry_share"},
		"unknown field":    {`"node"`, `"nodes": 1, "node"`, "nodes"},
		"negative":         {`"strength": 0.32`, `"strength": -1`, "strength"},
		"host name":        {`"127.0.0.1:1"`, `"localhost:1"`, "callers"},
		"no regions":       {`{"a": "north", "b": "south"}`, `["north"]`, "regions"},
		"region type":      {`"b": "south"`, `"b": 7`, "regions.b"},
		"region twice":     {`"b": "south"`, `"a": "south"`, "regions.a"},
		"negative link":    {`"link_mbps": 12.5`, `"link_mbps": -1`, "link_mbps"},
		"link in bits":     {`"link_mbps": 12.5`, `"link_mbps": 12500000`, "link_mbps"},
		"negative timeout": {`"revocation_timeout": "5s"`, `"revocation_timeout": "-5s"`, "revocation_timeout"},
		"missing duration": {`"longest_hold": "10s",`, ``, "longest_hold"},
	} {
		text := strings.Replace(gatewaySettings, c.old, c.replacement, 1)
		g := DefaultGateway()
		err := jsonc.Decode([]byte(text), &g)
		if err == nil || !strings.Contains(err.Error(), c.path) {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}

// TestGatewaySettingsAreReadAsWritten checks that settings which a program writes are valid, with and
// without regions.
func TestGatewaySettingsAreReadAsWritten(t *testing.T) {
	g := DefaultGateway()
	if err := jsonc.Decode([]byte(gatewaySettings), &g); err != nil {
		t.Fatal(err)
	}
	for _, regions := range []map[string]string{nil, {"a": "north"}} {
		g.Regions = regions
		data, err := json.Marshal(g)
		if err != nil {
			t.Fatal(err)
		}
		read := DefaultGateway()
		if err := jsonc.Decode(data, &read); err != nil {
			t.Errorf("regions %v: %v", regions, err)
		}
		if d := cmp.Diff(g, read, cmp.Comparer(func(a, b jsonc.Addr) bool { return a == b })); d != "" {
			t.Error(d)
		}
	}
	read := DefaultGateway()
	text := strings.Replace(gatewaySettings, `{"a": "north", "b": "south"}`, "null", 1)
	if err := jsonc.Decode([]byte(text), &read); err != nil || read.Regions != nil {
		t.Errorf("regions null: read as %v, error %v", read.Regions, err)
	}
}
