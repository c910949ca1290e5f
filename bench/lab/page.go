package lab

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"image/color"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 5 * vg.Centimeter
)

// plotted are the outcomes shown in a plot, with their colours.
var plotted = []struct {
	name  string
	of    func(Second) int
	color color.RGBA
}{
	{"on time", func(s Second) int { return s.OnTime }, color.RGBA{R: 0x20, G: 0x80, B: 0x40, A: 0xff}},
	{"late", func(s Second) int { return s.Late }, color.RGBA{R: 0x20, G: 0x60, B: 0xc0, A: 0xff}},
	{"refused", func(s Second) int { return s.Refused }, color.RGBA{R: 0xd0, G: 0x90, B: 0x10, A: 0xff}},
	{"failed", func(s Second) int { return s.Failed }, color.RGBA{R: 0xc0, G: 0x20, B: 0x20, A: 0xff}},
}

// Plot draws the outcomes of calls by the second of their first try, as a data URL.
func (r *Result) Plot() (template.URL, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "calls a second"
	for _, one := range plotted {
		var points plotter.XYs
		for i, s := range r.Seconds {
			points = append(points, plotter.XY{X: float64(i), Y: float64(one.of(s))})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = one.color
		p.Add(line)
		p.Legend.Add(one.name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	return template.URL("data:image/svg+xml;base64," + base64.StdEncoding.EncodeToString(out.Bytes())), nil
}

var page = template.Must(template.New("lab").Parse(`<!doctype html>
<meta charset="utf-8"><title>Lab</title>
<style>body{font-family:sans-serif;margin:2em} td,th{padding:2px 8px;text-align:right}</style>
<h1>{{len .}} runs</h1>
{{range .}}<h2>{{.Scenario}}, {{.Policy}}, seed {{.Seed}}: worth {{printf "%.3f" .Worth}}</h2>
<table><tr><th>route<th>asked<th>on time<th>late<th>refused<th>failed<th>p50 ms<th>p99 ms<th>worth</tr>
{{range .Routes}}<tr><td>{{.Route}}<td>{{.Calls}}<td>{{printf "%.3f" .OnTime}}<td>{{printf "%.3f" .Late}}<td>{{printf "%.3f" .Refused}}<td>{{printf "%.3f" .Failed}}<td>{{printf "%.0f" .P50Ms}}<td>{{printf "%.0f" .P99Ms}}<td>{{printf "%.3f" .Worth}}</tr>
{{end}}</table>
<img src="{{.Plot}}" alt="outcomes by second">
{{end}}`))

// WritePage writes the results of the first seed as an HTML page with plots.
func WritePage(name string, results []*Result) error {
	var first []*Result
	for _, r := range results {
		if r.Seed == 1 {
			first = append(first, r)
		}
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	err = page.Execute(f, first)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
