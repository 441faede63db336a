package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

// amount is a number that follows from the target alone, in seconds, bytes or as a count.
type amount struct {
	label string // what it counts
	of    func(Target) float64
}

// term is what a law says of a size, taken so many times. Without a slope it is the size itself.
type term struct {
	slope, figure string
	size             amount
	count         amount // zero: once
	multiplier          *term  // another that it is multiplied by
}

// sum is terms added up, in seconds, bytes, bytes a second, cores or as a count; or the reason why it is not known.
type sum struct {
	unit    string
	terms   []term
	unknown string
}

// secondsPerUnit brings units of figures to seconds.
var secondsPerUnit = map[string]float64{"us": 1e-6, "ms": 1e-3}

// kinds of what was reckoned, each less sure than the one before.
type certainty int

const (
	byLaw    certainty = iota // the law passed its prediction
	measured                  // the law didn't: this is what was measured at the largest size
	missing                   // no result has it
)

// estimate is a value, how sure it is, and the arithmetic.
type estimate struct {
	value float64
	certainty  certainty
	text  string
	decreasing bool    // it is measured, and falls with the size
	maxError   float64 // the largest error of prediction of its laws
	laws  []string
}

// Model is the target with the results.
type Model struct {
	Target  Target
	Results map[string]*scale.Result
	digests map[string]string
}

// figure finds what was measured.
func (m *Model) figure(slope, name string) (scale.FigureResult, []int, bool) {
	r := m.Results[slope]
	if r == nil {
		return scale.FigureResult{}, nil, false
	}
	g, ok := r.Figure(name)
	return g, r.Sizes, ok
}

// termFactor is what a term is multiplied by, apart from its other term, with the words for it.
func (m *Model) termFactor(t term) (float64, string) {
	if t.count.of == nil {
		return 1, ""
	}
	v := t.count.of(m.Target)
	return v, " × " + formatNumber(v) + " " + t.count.label
}

// evalTerm reckons one.
func (m *Model) evalTerm(t term) estimate {
	n := t.size.of(m.Target)
	times, words := m.termFactor(t)
	if t.slope == "" {
		return estimate{value: n * times, text: formatNumber(n) + " " + t.size.label + words}
	}
	g, sizes, ok := m.figure(t.slope, t.figure)
	if !ok {
		return estimate{certainty: missing, text: fmt.Sprintf("%s of %s is not measured", t.figure, t.slope)}
	}
	r := estimate{maxError: g.Prediction.Error, laws: []string{string(g.Fit.Law)}}
	if g.Used {
		r.value, r.text = g.Fit.At(n), formatArithmetic(g.Fit, n)
	} else {
		points := g.Points(sizes)
		last := points[len(points)-1]
		r.certainty, r.value, r.decreasing = measured, last.Value, last.Value < points[0].Value
		r.text = fmt.Sprintf("%s measured at %s", formatNumber(last.Value), formatNumber(last.Size))
		r.laws = []string{"none that holds"}
	}
	r.text += " " + g.Unit + words
	if f, ok := secondsPerUnit[g.Unit]; ok {
		r.value *= f
	}
	r.value *= times
	if t.multiplier != nil {
		o := m.evalTerm(*t.multiplier)
		if o.certainty == missing {
			return o
		}
		r.value *= o.value
		r.certainty, r.decreasing, r.maxError = max(r.certainty, o.certainty), r.decreasing || o.decreasing, max(r.maxError, o.maxError)
		r.text += " × (" + o.text + ")"
		r.laws = append(r.laws, o.laws...)
	}
	return r
}

// evalSum adds up.
func (m *Model) evalSum(s sum) estimate {
	all := estimate{}
	var texts []string
	for _, t := range s.terms {
		r := m.evalTerm(t)
		if r.certainty == missing {
			return r
		}
		all.value += r.value
		all.certainty, all.decreasing, all.maxError = max(all.certainty, r.certainty), all.decreasing || r.decreasing, max(all.maxError, r.maxError)
		all.laws = append(all.laws, r.laws...)
		texts = append(texts, r.text)
	}
	all.text = strings.Join(texts, " + ")
	return all
}

// formatSum is a sum's value, "≥" before it where it is only what was measured at the largest size, or "≈" if that falls.
func (m *Model) formatSum(s sum) string {
	if s.unknown != "" {
		return "not known: " + s.unknown
	}
	r := m.evalSum(s)
	switch {
	case r.certainty == missing:
		return "not measured"
	case r.certainty == measured && r.decreasing:
		return "≈ " + formatQuantity(r.value, s.unit)
	case r.certainty == measured:
		return "≥ " + formatQuantity(r.value, s.unit)
	}
	return formatQuantity(r.value, s.unit)
}

// targetShare is the part of the target at which a term first passes a limit. sign tells what is known: "" by the law, "≤" and
// "≥" by what was measured where the law doesn't hold, "never" if the law never comes there.
func (m *Model) targetShare(t term, limit float64) (share float64, sign string) {
	g, sizes, ok := m.figure(t.slope, t.figure)
	if !ok {
		return math.Inf(1), "not measured"
	}
	times, _ := m.termFactor(t)
	if f, ok := secondsPerUnit[g.Unit]; ok {
		times *= f
	}
	limit /= times
	whole := t.size.of(m.Target)
	if g.Used {
		n, ok := g.Fit.Reaches(limit)
		if !ok {
			return math.Inf(1), "never"
		}
		return n / whole, ""
	}
	points := g.Points(sizes)
	i := len(points)
	for i > 0 && points[i-1].Value > limit {
		i--
	}
	if i < len(points) {
		return points[i].Size / whole, "≤ "
	}
	return points[i-1].Size / whole, "≥ "
}

// formatArithmetic is a law with the numbers in it.
func formatArithmetic(f scale.Fit, n float64) string {
	text := "(" + formatNumber(f.A) + " + " + formatNumber(f.B) + " × " + formatNumber(n)
	switch f.Law {
	case scale.Constant:
		return formatNumber(f.A)
	case scale.Linearithmic:
		text += " × ln " + formatNumber(n)
	case scale.Quadratic:
		text += "²"
	}
	return text + ")"
}

// formatNumber has four digits that count, and commas.
func formatNumber(v float64) string {
	if v == 0 {
		return "0"
	}
	if a := math.Abs(v); a < 1e-4 || a >= 1e16 {
		return strconv.FormatFloat(v, 'e', 3, 64)
	}
	digits := 3 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits < 0 && v != math.Trunc(v) || digits < -3 {
		scale := math.Pow(10, float64(-digits))
		v = math.Round(v/scale) * scale
	}
	text := strconv.FormatFloat(v, 'f', max(0, digits), 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return groupThousands(text)
}

// formatExact has all digits, and commas.
func formatExact(v float64) string { return groupThousands(strconv.FormatFloat(v, 'f', -1, 64)) }

// groupThousands puts them between the thousands of a number.
func groupThousands(text string) string {
	whole, rest, dot := strings.Cut(text, ".")
	sign := ""
	if strings.HasPrefix(whole, "-") {
		sign, whole = "-", whole[1:]
	}
	for i := len(whole) - 3; i > 0; i -= 3 {
		whole = whole[:i] + "," + whole[i:]
	}
	if dot {
		whole += "." + rest
	}
	return sign + whole
}

// displayUnits are what a reader is told values in.
var displayUnits = map[string][]struct {
	from float64
	name string
}{
	"bytes":   {{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}, {1, "B"}},
	"bytes/s": {{1e12, "TB/s"}, {1e9, "GB/s"}, {1e6, "MB/s"}, {1e3, "KB/s"}, {1, "B/s"}},
	"s":       {{86400, "days"}, {3600, "h"}, {60, "min"}, {1, "s"}, {1e-3, "ms"}, {1e-6, "µs"}},
	"cores":   {{0, "cores"}},
	"1":       {{0, ""}},
}

// formatQuantity is a value with three digits that count, in a unit that suits it.
func formatQuantity(v float64, unit string) string {
	of := displayUnits[unit]
	i := 0
	for i < len(of)-1 && v < of[i].from {
		i++
	}
	if of[i].from > 0 {
		v /= of[i].from
	}
	if v != 0 {
		digits := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(v))))
		v = math.Round(v*digits) / digits
	}
	return strings.TrimSpace(formatNumber(v) + " " + of[i].name)
}
