// Package report writes a run up: Markdown with plots of what happened second by second, with the faults drawn in.
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
	partnersShown = 6 // the busiest
)

var (
	colors = map[string]color.Color{"in time": color.RGBA{46, 125, 50, 255}, "late": color.RGBA{249, 168, 37, 255},
		"refused": color.RGBA{21, 101, 192, 255}, "failed": color.RGBA{198, 40, 40, 255}, "no answer": color.RGBA{97, 97, 97, 255}}
	shade = color.NRGBA{180, 60, 60, 40}
	grey  = color.RGBA{97, 97, 97, 255}
)

// Write writes report.md, and the plots that it shows, into a run's folder.
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
	w := &writer{dir: dir, r: &r, s: &s}
	w.head()
	w.outcomes()
	w.latency()
	w.partners()
	w.relays()
	if w.err != nil {
		return fmt.Errorf("report: %w", w.err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.md"), []byte(w.text.String()), 0o600); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}

type writer struct {
	dir  string
	r    *run.Result
	s    *run.Series
	text strings.Builder
	err  error
}

func (w *writer) say(format string, args ...any) { fmt.Fprintf(&w.text, format+"\n", args...) }

func (w *writer) head() {
	r := w.r
	w.say("# %s, seed %d\n", r.Experiment, r.Seed)
	w.say("Revision %s, %d relays, %.0f messages. Served worth %.3f, goal %.3f.\n", r.Revision, r.Relays, r.Figures["messages"],
		r.Figures["served"], r.Figures["goal"])
	if r.Invalid != "" {
		w.say("**Invalid:** %s. The figures below say nothing about the relays.\n", r.Invalid)
	}
	w.say("| bound | value | limit | |\n| --- | --- | --- | --- |")
	for _, b := range r.Bounds {
		verdict := "holds"
		if !b.OK {
			verdict = "**broken**"
		}
		w.say("| %s | %.4g | %s %g | %s |", b.Name, b.Value, b.Op, b.Limit, verdict)
	}
	w.say("\n| fault | from | to |\n| --- | --- | --- |")
	for i, f := range w.s.Faults {
		if i == 20 {
			w.say("| and %d more | | |", len(w.s.Faults)-i)
			break
		}
		w.say("| %s | %.1f s | %.1f s |", f.Kind, f.From, f.To)
	}
	if len(r.Breaches) > 0 {
		w.say("\n| broken rule | at | relay | |\n| --- | --- | --- | --- |")
		for _, b := range r.Breaches[:min(20, len(r.Breaches))] {
			w.say("| %s | %.2f s | %s | %s |", b.Rule, b.At.Seconds(), b.Relay, b.What)
		}
	}
	w.say("\n| figure | value |\n| --- | --- |")
	names := make([]string, 0, len(r.Figures))
	for name := range r.Figures {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		w.say("| %s | %.4g |", name, r.Figures[name])
	}
}

// draw makes a plot, with the faults behind it, as SVG and PNG, and shows it.
func (w *writer) draw(name, title, y string, top float64, fill func(p *plot.Plot)) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.X.Min, p.X.Max, p.Y.Min = 0, float64(w.s.Seconds), 0
	p.Legend.Top = true
	for _, f := range w.s.Faults {
		to := max(f.To, f.From+0.15)
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.From, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: f.From, Y: top}})
		if err != nil {
			w.err = err
			return
		}
		band.Color, band.LineStyle.Width = shade, 0
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
	w.say("\n![%s](%s.svg)", title, name)
}

// line adds a line of values by the second.
func (w *writer) line(p *plot.Plot, label string, c color.Color, dashed bool, values []float64) {
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

// top is a little over the most of some values.
func top(values ...[]float64) float64 {
	most := 1.0
	for _, v := range values {
		most = max(most, slices.Max(append(v, 0)))
	}
	return most * 1.15
}

func (w *writer) outcomes() {
	var all [][]float64
	for _, name := range audit.Outcomes {
		all = append(all, floats(w.s.Outcomes[name]))
	}
	w.draw("outcomes", "Messages by outcome", "messages a second", top(all...), func(p *plot.Plot) {
		for i, name := range audit.Outcomes {
			w.line(p, name, colors[name], false, all[i])
		}
	})
}

func (w *writer) latency() {
	w.draw("latency", "Time to the delivery", "ms", top(w.s.P99), func(p *plot.Plot) {
		w.line(p, "p50", colors["in time"], false, w.s.P50)
		w.line(p, "p99", colors["failed"], false, w.s.P99)
	})
}

func (w *writer) partners() {
	busiest := slices.Clone(w.s.Partners)
	sum := func(p run.PartnerSeries) (n int) {
		for i := range p.Taken {
			n += p.Taken[i] + p.Refused[i] + p.Failed[i]
		}
		return n
	}
	slices.SortFunc(busiest, func(a, b run.PartnerSeries) int { return sum(b) - sum(a) })
	for _, d := range busiest[:min(partnersShown, len(busiest))] {
		taken, refused, failed := floats(d.Taken), floats(d.Refused), floats(d.Failed)
		limit := slices.Clone(d.Limit)
		label := "limit"
		if slices.Max(append(limit, 0)) == 0 {
			label = "capacity"
			for i := range limit {
				limit[i] = d.Capacity
			}
		}
		w.draw(fmt.Sprintf("partner-%d", d.ID), fmt.Sprintf("Calls at partner %d (%s)", d.ID, d.Kind), "calls a second",
			top(taken, refused, failed, limit), func(p *plot.Plot) {
				w.line(p, "taken", colors["in time"], false, taken)
				w.line(p, "refused", colors["refused"], false, refused)
				w.line(p, "failed or unanswered", colors["failed"], false, failed)
				w.line(p, label, grey, true, limit)
			})
	}
}

func (w *writer) relays() {
	alive := floats(w.s.Alive)
	w.draw("relays", "Relays that are ready", "relays", top(alive), func(p *plot.Plot) { w.line(p, "ready", grey, false, alive) })
}
