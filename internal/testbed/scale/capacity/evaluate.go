package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

// amount is a number computed from the target alone, in seconds, bytes or as a count.
type amount struct {
	label string // what the number counts
	eval  func(Target) float64
}

// term is the value of a figure's law at a size, multiplied by a count. Without a slope it is the size itself.
type term struct {
	slope, figure string
	size          amount
	count         amount // 1 if it is zero
	multiplier    *term  // another term to multiply by
}

// sum is a sum of terms in seconds, bytes, bytes a second, cores or as a count; or the reason why it is not known.
type sum struct {
	unit    string
	terms   []term
	unknown string
}

// secondsPerUnit converts units of time to seconds.
var secondsPerUnit = map[string]float64{"us": 1e-6, "ms": 1e-3}

// certainty tells how an estimate was obtained, in descending order of confidence.
type certainty int

const (
	byLaw    certainty = iota // by a law that passed its prediction
	measured                  // the law did not pass: the measurement at the largest size
	missing                   // no result has the figure
)

// estimate is a computed value, its certainty, and the arithmetic as text.
type estimate struct {
	value      float64
	certainty  certainty
	text       string
	decreasing bool    // a measured value that falls with the size
	maxError   float64 // the largest prediction error of its laws
	laws       []string
}

// Model is the target with the results of slopes.
type Model struct {
	Target  Target
	Results map[string]*scale.Result
	digests map[string]string
}

// figure returns a figure of a slope with the sizes at which it was measured.
func (m *Model) figure(slope, name string) (scale.FigureResult, []int, bool) {
	r := m.Results[slope]
	if r == nil {
		return scale.FigureResult{}, nil, false
	}
	g, ok := r.Figure(name)
	return g, r.Sizes, ok
}

// termFactor returns the count by which a term is multiplied, and its text.
func (m *Model) termFactor(t term) (float64, string) {
	if t.count.eval == nil {
		return 1, ""
	}
	v := t.count.eval(m.Target)
	return v, " × " + formatNumber(v) + " " + t.count.label
}

// evalTerm evaluates a term.
func (m *Model) evalTerm(t term) estimate {
	n := t.size.eval(m.Target)
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

// evalSum evaluates a sum.
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

// formatSum formats the value of a sum. "≥" marks a value that was only measured, at the largest size, and "≈" one that moreover
// falls with the size.
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

// targetShare returns the share of the target at which a term first exceeds a limit. sign is "" if that follows from the law,
// "≤" or "≥" if it follows from measurements because the law doesn't hold, and "never" if the law never reaches the limit.
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
	whole := t.size.eval(m.Target)
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

// formatArithmetic formats a law with its numbers filled in.
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

// formatNumber formats v with four significant digits and commas.
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

// formatExact formats v with all digits and commas.
func formatExact(v float64) string { return groupThousands(strconv.FormatFloat(v, 'f', -1, 64)) }

// groupThousands inserts commas between the thousands of a number.
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

// displayUnits are the units in which values are shown, by the unit of the value.
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

// formatQuantity formats v with three significant digits, in the most suitable unit.
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
