package routing

import (
	"fmt"
	"strings"
	"testing"
)

func teamTable(teams ...*Team) *Configuration {
	c := &Configuration{
		Services: map[string]*Service{"s": {Name: "s"}},
		Routes:   map[string]*Route{"r": {Name: "r", Prefix: "/", Targets: []Target{{"s", 1}}}},
		Teams:    make(map[string]*Team),
	}
	for _, team := range teams {
		c.Teams[team.Name] = team
	}
	return c
}

func TestTeamOfCredential(t *testing.T) {
	table := NewTable(teamTable(&Team{Name: "a", Credentials: []string{"one", "two"}}, &Team{Name: "b", Credentials: []string{"three"}}))
	for credential, want := range map[string]string{"one": "a", "two": "a", "three": "b", "": "", "on": "", "One": "", strings.Repeat("x", 1<<16): ""} {
		got := ""
		if team := table.TeamOf(credential); team != nil {
			got = team.Name
		}
		if got != want {
			t.Errorf("credential of %d bytes: team %q, want %q", len(credential), got, want)
		}
	}
}

func TestNeedsCredential(t *testing.T) {
	open, closed := &Route{Anonymous: true}, &Route{}
	without := NewTable(&Configuration{})
	with := NewTable(teamTable())
	if without.NeedsCredential(closed) || !with.NeedsCredential(closed) || with.NeedsCredential(open) {
		t.Error("credentials are needed exactly where there are teams and the route is not anonymous")
	}
}

func TestValidateRejects(t *testing.T) {
	negative := teamTable(&Team{Name: "a", Quota: Quota{PerSecond: -1}})
	unknown := teamTable()
	unknown.Routes["r"].Targets = []Target{{"other", 1}}
	weightless := teamTable()
	weightless.Routes["r"].Targets = []Target{{"s", 0}}
	for name, c := range map[string]*Configuration{
		"credential of two teams": teamTable(&Team{Name: "a", Credentials: []string{"secret"}}, &Team{Name: "b", Credentials: []string{"secret"}}),
		"empty credential":        teamTable(&Team{Name: "a", Credentials: []string{""}}),
		"name with a line break":  teamTable(&Team{Name: "a\r\nX: y"}),
		"no name":                 teamTable(&Team{}),
		"negative quota":          negative,
		"unknown service":         unknown,
		"no weight":               weightless,
	} {
		err := c.Validate()
		if err == nil {
			t.Errorf("%s is accepted", name)
		} else if strings.Contains(err.Error(), "secret") {
			t.Errorf("%s: the error contains a credential: %v", name, err)
		}
	}
	if err := teamTable(&Team{Name: "a", Credentials: []string{"x"}}).Validate(); err != nil {
		t.Error(err)
	}
}

func BenchmarkTeamOf(b *testing.B) {
	team := &Team{Name: "a"}
	for i := range 100_000 {
		team.Credentials = append(team.Credentials, fmt.Sprintf("credential-%d", i))
	}
	table := NewTable(teamTable(team))
	b.ReportAllocs()
	for b.Loop() {
		if table.TeamOf("credential-99999") == nil {
			b.Fatal("the credential is unknown")
		}
	}
}
