package main

import (
	"embed"
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// notes holds texts of the page: for each round the changes that were made or tried,
// with the figures measured at the time, and a section on prefix digests.
//
//go:embed notes/*.md
var notes embed.FS

// round is a section of the page: the experiments on one topic. Its letter selects it
// on the command line.
type round struct {
	letter      string
	title       string
	experiments []experiment
}

// experiment compares variants of a scenario in one table of the page.
type experiment struct {
	title       string
	description string
	newScenario func() scenario
	variants    []variant
	metrics     []metric
}

// introduction returns the head of the page.
func introduction(o options) string {
	return fmt.Sprintf(`# Measurements

This page is written by

    go run ./cmd/lagoonbench -out docs/MEASUREMENTS.md -plots docs/plots

The pure decision code runs against small simulated engines in virtual time, with
the seeds %d to %d. All variants of a seed see the same arrivals. Figures are the mean
and the standard deviation over the seeds; "first/this" is the ratio of the first
row to the row, per seed.

* Goodput is the share of the calls with a deadline that began to be answered within
  it and were whole in time (at most %v per output token more).
* The 95th percentile of the time to first token counts a call that got none as
  %d times its deadline, after which callers leave.
* The engines are simple models. Compare the figures with each other only.

`, o.firstSeed, o.firstSeed+o.seeds-1, maxTimePerToken, patienceFactor)
}

// write runs the experiments of the round, writes their plots and returns the section
// of the page.
func (r *round) write(o options) (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "## Round %s: %s\n\n", r.letter, r.title)
	for i, e := range r.experiments {
		m := measure(e.newScenario, e.variants, e.metrics, o)
		fmt.Fprintf(&b, "### %s\n\n%s\n\n%s\n", e.title, e.description, m.table())
		if o.plots == "" {
			continue
		}
		name := fmt.Sprintf("round-%s-%d.png", r.letter, i+1)
		if err := m.draw(e.title, filepath.Join(o.plots, name)); err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "![%s](plots/%s)\n\n", e.title, name)
	}
	text, err := notes.ReadFile("notes/" + r.letter + ".md")
	if err == nil {
		b.WriteString("### Changes and tries\n\n")
		b.Write(text)
		b.WriteString("\n")
	}
	return b.String(), nil
}

// draw writes a bar chart of the first metric, with the standard deviations as error
// bars, to an image file.
func (r *result) draw(title, path string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = r.metrics[0].name
	p.Y.Min = 0
	values := make(plotter.Values, len(r.variants))
	bars := errorBars{XYs: make(plotter.XYs, len(r.variants)), YErrors: make(plotter.YErrors, len(r.variants))}
	names := make([]string, len(r.variants))
	for v, x := range r.variants {
		m, s := meanStdDev(r.values[v][0])
		values[v] = m
		bars.XYs[v] = plotter.XY{X: float64(v), Y: m}
		bars.YErrors[v].Low, bars.YErrors[v].High = s, s
		names[v] = x.name
	}
	chart, err := plotter.NewBarChart(values, vg.Points(30))
	if err != nil {
		return err
	}
	whiskers, err := plotter.NewYErrorBars(bars)
	if err != nil {
		return err
	}
	p.Add(chart, whiskers)
	p.NominalX(names...)
	return p.Save(vg.Length(len(names))*vg.Inch*1.3, 3*vg.Inch, path)
}

// errorBars are points with errors in y, as plotter.NewYErrorBars needs them.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}
