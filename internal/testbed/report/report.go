// Package report writes the report of a run: Markdown, with plots over time that show the faults.
package report

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"onyxroad.dev/onyxroad/internal/testbed/audit"
	"onyxroad.dev/onyxroad/internal/testbed/run"
)

const (
	width, height = 22 * vg.Centimeter, 7 * vg.Centimeter
	maxPartners   = 6 // the busiest ones
)

var (
	colors = map[string]color.Color{"in time": color.RGBA{46, 125, 50, 255}, "late": color.RGBA{249, 168, 37, 255},
		"refused": color.RGBA{21, 101, 192, 255}, "failed": color.RGBA{198, 40, 40, 255}, "no answer": color.RGBA{97, 97, 97, 255}}
	faultColor = color.NRGBA{180, 60, 60, 40}
	grey       = color.RGBA{97, 97, 97, 255}
)

// Write writes report.md and its plots to a run's folder.
func Write(dir string) error {
	var r run.Result
	var s run.Series
	for name, v := range map[string]any{"result.json": &r, "series.json": &s} {
		data, err := os.ReadFile(filepath.Join(dir, name))
		if err == nil {
			err = json.Unmarshal(data, v)
		}
		if err != nil {
			return fmt.Errorf("report: %s: %w", name, err)
		}
	}
	w := &writer{dir: dir, result: &r, series: &s}
	w.writeSummary()
	w.plotOutcomes()
	w.plotLatency()
	w.plotPartners()
	w.plotRelays()
	if w.err != nil {
		return fmt.Errorf("report: %w", w.err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(w.text.String()), 0o600); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

type writer struct {
	dir    string
	result *run.Result
	series *run.Series
	text   strings.Builder
	err    error
}

func (w *writer) printf(format string, args ...any) { fmt.Fprintf(&w.text, format+"\n", args...) }

func (w *writer) writeSummary() {
	r := w.result
	w.printf("# %s, seed %d\n", r.Experiment, r.Seed)
	w.printf("Revision %s, %d relays, %.0f messages. Served worth %.3f, goal %.3f.\n", r.Revision, r.Relays, r.Figures["messages"],
		r.Figures["served"], r.Figures["goal"])
	if r.Invalid != "" {
		w.printf("**Invalid:** %s. The figures below say nothing about the relays.\n", r.Invalid)
	}
	w.printf("| bound | value | limit | |\n| --- | --- | --- | --- |")
	for _, b := range r.Bounds {
		verdict := "holds"
		if !b.OK {
			verdict = "**broken**"
		}
		w.printf("| %s | %.4g | %s %g | %s |", b.Name, b.Value, b.Op, b.Limit, verdict)
	}
	w.printf("\n| fault | from | to |\n| --- | --- | --- |")
	for i, f := range w.series.Faults {
		if i == 20 {
			w.printf("| and %d more | | |", len(w.series.Faults)-i)
			break
		}
		w.printf("| %s | %.1f s | %.1f s |", f.Kind, f.From, f.To)
	}
	if len(r.Violations) > 0 {
		w.printf("\n| broken rule | at | relay | |\n| --- | --- | --- | --- |")
		for _, b := range r.Violations[:min(20, len(r.Violations))] {
			w.printf("| %s | %.2f s | %s | %s |", b.Rule, b.At.Seconds(), b.Relay, b.Detail)
		}
	}
	w.printf("\n| figure | value |\n| --- | --- |")
	names := make([]string, 0, len(r.Figures))
	for name := range r.Figures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w.printf("| %s | %.4g |", name, r.Figures[name])
	}
}

// addPlot saves a plot over the faults as SVG and PNG, and adds it to the report.
func (w *writer) addPlot(name, title, y string, top float64, fill func(p *plot.Plot)) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.X.Min, p.X.Max, p.Y.Min = 0, float64(w.series.Seconds), 0
	p.Legend.Top = true
	for _, f := range w.series.Faults {
		to := max(f.To, f.From+0.15)
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: f.From, Y: top}})
		if err != nil {
			w.err = err
			return
		}
		band.Color, band.LineStyle.Width = faultColor, 0
		p.Add(band)
	}
	fill(p)
	p.Y.Max = top
	for _, kind := range []string{".svg", ".png"} {
		if err := p.Save(width, height, filepath.Join(w.dir, name+kind)); err != nil {
			w.err = err
			return
		}
	}
	w.printf("\n![%s](%s.svg)", title, name)
}

// addLine adds a line with one value per second to a plot.
func (w *writer) addLine(p *plot.Plot, label string, c color.Color, dashed bool, values []float64) {
	xy := make(plotter.XYs, len(values))
	for i, v := range values {
		xy[i] = plotter.XY{X: float64(i) + 0.5, Y: v}
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		w.err = err
		return
	}
	l.Color, l.Width = c, vg.Points(1.2)
	if dashed {
		l.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	}
	p.Add(l)
	p.Legend.Add(label, l)
}

func floats(v []int) []float64 {
	out := make([]float64, len(v))
	for i, x := range v {
		out[i] = float64(x)
	}
	return out
}

// axisTop returns an upper end for the y axis, a little above the highest value.
func axisTop(values ...[]float64) float64 {
	highest := 1.0
	for _, v := range values {
		highest = max(highest, slices.Max(append(v, 0)))
	}
	return highest * 1.15
}

func (w *writer) plotOutcomes() {
	var all [][]float64
	for _, name := range audit.OutcomeNames {
		all = append(all, floats(w.series.Outcomes[name]))
	}
	w.addPlot("outcomes", "Messages by outcome", "messages per second", axisTop(all...), func(p *plot.Plot) {
		for i, name := range audit.OutcomeNames {
			w.addLine(p, name, colors[name], false, all[i])
		}
	})
}

func (w *writer) plotLatency() {
	w.addPlot("latency", "Time to delivery", "ms", axisTop(w.series.P99), func(p *plot.Plot) {
		w.addLine(p, "p50", colors["in time"], false, w.series.P50)
		w.addLine(p, "p99", colors["failed"], false, w.series.P99)
	})
}

func (w *writer) plotPartners() {
	busiest := slices.Clone(w.series.Partners)
	sum := func(p run.PartnerSeries) (n int) {
		for i := range p.Taken {
			n += p.Taken[i] + p.Refused[i] + p.Failed[i]
		}
		return n
	}
	slices.SortFunc(busiest, func(a, b run.PartnerSeries) int { return sum(b) - sum(a) })
	for _, d := range busiest[:min(maxPartners, len(busiest))] {
		taken, refused, failed := floats(d.Taken), floats(d.Refused), floats(d.Failed)
		limit := slices.Clone(d.Limit)
		label := "limit"
		if slices.Max(append(limit, 0)) == 0 {
			label = "capacity"
			for i := range limit {
				limit[i] = d.Capacity
			}
		}
		w.addPlot(fmt.Sprintf("partner-%d", d.ID), fmt.Sprintf("Calls at partner %d (%s)", d.ID, d.Kind), "calls per second",
			axisTop(taken, refused, failed, limit), func(p *plot.Plot) {
				w.addLine(p, "taken", colors["in time"], false, taken)
				w.addLine(p, "refused", colors["refused"], false, refused)
				w.addLine(p, "failed or unanswered", colors["failed"], false, failed)
				w.addLine(p, label, grey, true, limit)
			})
	}
}

func (w *writer) plotRelays() {
	alive := floats(w.series.Alive)
	w.addPlot("relays", "Ready relays", "relays", axisTop(alive), func(p *plot.Plot) { w.addLine(p, "ready", grey, false, alive) })
}
