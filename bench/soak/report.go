package soak

import (
	"encoding/base64"
	"encoding/json"
	"html/template"
	"os"
	"path/filepath"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Event is a fault that was injected, with the time since the start of the run.
type Event struct {
	At          time.Duration `json:"at_ns"`
	Description string        `json:"what"`
}

// Report holds the results of one run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Size       Size     `json:"size"`
	Events     []Event  `json:"events"`
	Violations []string `json:"violations"`
	// Seconds holds the number of requests by outcome, for each second of the run.
	Seconds      []map[outcome]int `json:"seconds"`
	Served       int               `json:"served"`
	Refused      int               `json:"refused"`
	Failed       int               `json:"failed"`
	NoConnection int               `json:"no_connection"`
}

func (m *monitor) report(plan Plan, size Size, events []Event) *Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &Report{Seed: plan.Seed, Size: size, Events: events, Violations: append(m.violations, m.deployment.oracle.Violations()...)}
	last := 0
	for second := range m.counts {
		last = max(last, second)
	}
	for second := range last + 1 {
		c := m.counts[second]
		r.Seconds = append(r.Seconds, c)
		r.Served += c[served]
		r.Refused += c[refused]
		r.Failed += c[failed]
		r.NoConnection += c[noConnection]
	}
	return r
}

// ReportFile is the name of the report file in the directory of a run.
const ReportFile = "report.json"

// Save writes the report to the directory of the run.
func (r *Report) Save(dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, ReportFile), data, 0o600)
}

// Load reads the reports of all runs below a directory and sorts them by seed.
func Load(dir string) ([]*Report, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*", ReportFile))
	if err != nil {
		return nil, err
	}
	var out []*Report
	for _, name := range files {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		r := &Report{}
		if err := json.Unmarshal(data, r); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Seed < out[j].Seed })
	return out, nil
}

// Plot returns a plot of the outcomes by second, as the data URL of an SVG image.
func (r *Report) Plot() (template.URL, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "requests a second"
	for i, o := range []outcome{served, refused, failed, noConnection} {
		var points plotter.XYs
		for second, c := range r.Seconds {
			points = append(points, plotter.XY{X: float64(second), Y: float64(c[o])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = lineColors[i]
		p.Add(line)
		p.Legend.Add(string(o), line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(plotCanvas(canvas))
	var out svgBuffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(out)), nil
}

// Width and height of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

// svgBuffer is an io.Writer that collects the bytes of an SVG image.
type svgBuffer []byte

func (b *svgBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

var page = template.Must(template.New("soak").Parse(`<!doctype html>
<meta charset="utf-8"><title>Soak</title>
<style>body{font-family:sans-serif;margin:2em} td,th{padding:2px 8px;text-align:right} .bad{color:#b00}</style>
<h1>Soak of {{len .}} seeds</h1>
<table><tr><th>seed<th>gateways<th>faults<th>served<th>refused<th>failed<th>no connection<th>violations</tr>
{{range .}}<tr><td><a href="#{{.Seed}}">{{.Seed}}</a><td>{{.Size.Gateways}}<td>{{len .Events}}<td>{{.Served}}<td>{{.Refused}}<td>{{.Failed}}<td>{{.NoConnection}}<td>{{len .Violations}}</tr>
{{end}}</table>
{{range .}}<h2 id="{{.Seed}}">Seed {{.Seed}}</h2>
<img src="{{.Plot}}" alt="outcomes by second">
{{range .Violations}}<p class="bad">{{.}}</p>{{end}}
<details><summary>Faults</summary><ul>{{range .Events}}<li>{{.At}} {{.Description}}</li>{{end}}</ul></details>
{{end}}`))

// WritePage writes an HTML page with the reports and their plots.
func WritePage(name string, reports []*Report) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	err = page.Execute(f, reports)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
