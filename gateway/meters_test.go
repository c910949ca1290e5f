package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rockcroft/rockcroft/standin/instance"
)

// metricsOf returns the metrics that a gateway serves, by name.
func metricsOf(g *testGateway) map[string]string {
	w := httptest.NewRecorder()
	g.metricsHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	out := make(map[string]string)
	for _, line := range strings.Split(strings.TrimSpace(w.Body.String()), "\n") {
		name, value, _ := strings.Cut(line, " ")
		out[name] = value
	}
	return out
}

// TestMetricsAreInTheCatalog: every value that a gateway serves after requests of all kinds
// must have a unit and a meaning in the catalog, and the values that explain failures must be
// served.
func TestMetricsAreInTheCatalog(t *testing.T) {
	t.Parallel()
	b := newStandardCluster(t)
	g := b.gateways[0]
	b.mustRequest(g, http.MethodGet, "/status/x", 7)
	b.mustRequest(g, http.MethodPost, "/pay/x", -1)
	b.request(g, http.MethodGet, "/nowhere/", -1)
	b.upstreams["i-p0"].SetMode(instance.Overloaded)
	b.upstreams["i-p1"].SetMode(instance.Overloaded)
	b.request(g, http.MethodGet, "/read/x", -1)
	served := metricsOf(g)
	for name := range served {
		if !catalogContains(name) {
			t.Errorf("%s is not in the catalog", name)
		}
	}
	for _, name := range []string{
		"route.status.answered", "route.status.total_us", "route.status.wait_us", "route.none.not_found",
		"route.read.overloaded", "tries.pay.own.full", "tries.status.own.answered", "budget.pay.left", "queue.pay.waiting",
		"room.pay.slots", "owners.status.keys_without_owner", "owners.status.without_owner_us",
		"view.age_ms", "view.configuration_version", "news.bytes_in", "news.bytes_out",
	} {
		if _, ok := served[name]; !ok {
			t.Errorf("%s is not served", name)
		}
	}
	if leader := b.leader(); leader != nil {
		served := metricsOf(leader)
		if _, ok := served["store.rockcroft-leases.replace.200"]; !ok {
			t.Error("the leader's store calls are not counted by kind and answer")
		}
		if served["store.bytes_in"] == "" || served["store.bytes_in"] == "0" {
			t.Error("the store's answers to the leader are not counted in bytes")
		}
		b.eventually("reports to the leader are counted", func() bool {
			for _, g := range b.gateways {
				if _, ok := metricsOf(g)["reports.ok"]; !ok && g != leader {
					return false
				}
			}
			return true
		})
	}
}

func catalogContains(name string) bool {
	for _, m := range catalog {
		if patternMatches(m.Name, name) {
			return true
		}
	}
	return false
}

var labelPattern = regexp.MustCompile(`\\\{[a-z]+\\\}`)

// patternMatches reports whether the name is an instance of the catalog pattern.
func patternMatches(pattern, name string) bool {
	return regexp.MustCompile("^" + labelPattern.ReplaceAllString(regexp.QuoteMeta(pattern), ".+") + "$").MatchString(name)
}

func TestCatalogPatternMatching(t *testing.T) {
	for _, c := range []struct {
		pattern, name string
		want          bool
	}{
		{routeTotal, fillPattern(routeTotal, "r-1"), true},
		{routeTotal, "route.a.b.total_us", true},
		{routeTotal, "route.r-1.total", false},
		{tryOutcome, "tries.s.own.full", true},
		{tryOutcome, "tries.s", false},
		{storeUnreachable, "store.away", true},
		{storeUnreachable, "store.away.x", false},
	} {
		if got := patternMatches(c.pattern, c.name); got != c.want {
			t.Errorf("%s describes %s: %t", c.pattern, c.name, got)
		}
	}
}

// TestLabelsAreBounded: the number of metrics must stay bounded although operators may add
// hundreds of routes.
func TestLabelsAreBounded(t *testing.T) {
	m := newMeters()
	for i := range 10 * maxLabels {
		m.inc(m.route(routeTries, fmt.Sprintf("r%d", i)))
	}
	n := 0
	m.registry.Each(func(string, any) { n++ })
	if n != maxLabels+1 {
		t.Errorf("%d counters", n)
	}
	if got := m.boundedLabel(routeFamily, "r0"); got != "r0" {
		t.Errorf("a known route is counted as %s", got)
	}
}

// TestMetricsPageMatchesCatalog: docs/METRICS.md must list exactly the metrics of the catalog.
func TestMetricsPageMatchesCatalog(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range catalog {
		if row := fmt.Sprintf("| `%s` | %s | %s |", m.Name, m.Unit, m.Meaning); !strings.Contains(string(page), row+"\n") {
			t.Errorf("docs/METRICS.md lacks the row\n%s", row)
		}
	}
	if rows := strings.Count(string(page), "\n| `"); rows != len(catalog) {
		t.Errorf("docs/METRICS.md has %d rows for %d metrics", rows, len(catalog))
	}
}
