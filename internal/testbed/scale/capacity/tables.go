package capacity

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"io/fs"
	"maps"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

// Read reads the target and all results from a folder.
func Read(dir string) (*Model, error) {
	t, err := ReadTarget(filepath.Join(dir, "target.toml"))
	if err != nil {
		return nil, err
	}
	m := &Model{Target: t, Results: map[string]*scale.Result{}, digests: map[string]string{}}
	paths, err := fs.Glob(os.DirFS(dir), "*.json")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	for _, name := range paths {
		path := filepath.Join(dir, name)
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		r, err := scale.ParseResult(path, data)
		if err != nil {
			return nil, err
		}
		m.Results[r.Slope] = r
		m.digests[r.Slope] = fmt.Sprintf("%x", sha256.Sum256(data))[:8]
	}
	return m, nil
}

// Table is a table of the page in Markdown.
type Table struct{ Name, Text string }

// Tables returns the tables in the page's order.
func (m *Model) Tables() []Table {
	return []Table{{"target", m.targetTable(false)}, {"assumptions", m.targetTable(true)}, {"runs", m.runsTable()}, {"laws", m.lawsTable()},
		{"roles", m.rolesTable()}, {"days", m.scenariosTable()}, {"budgets", m.budgetsTable()}}
}

// markdownTable formats a table.
func markdownTable(head []string, body [][]string) string {
	var b strings.Builder
	write := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	write(head)
	write(slices.Repeat([]string{"---"}, len(head)))
	for _, r := range body {
		write(r)
	}
	return b.String()
}

func (m *Model) targetTable(assumed bool) string {
	head := []string{"key", "value", "unit"}
	if assumed {
		head = append(head, "why")
	}
	var body [][]string
	for _, k := range targetKeys {
		if strings.HasPrefix(k.name, "assumptions.") == assumed {
			q := m.Target[k.name]
			body = append(body, []string{k.name, formatExact(*q.Value), q.Unit, q.Reason}[:len(head)])
		}
	}
	return markdownTable(head, body)
}

// slopeNames returns the names of the slopes that have results, sorted.
func (m *Model) slopeNames() []string { return slices.Sorted(maps.Keys(m.Results)) }

func (m *Model) runsTable() string {
	var body [][]string
	for _, name := range m.slopeNames() {
		r := m.Results[name]
		body = append(body, []string{name, r.Variable, joinSpaced(r.Sizes), joinSpaced(r.Seeds), r.Revision, fmt.Sprint(r.Cores), r.Go,
			fmt.Sprintf("%.1f to %.1f", r.LoadBegin, r.LoadEnd), m.digests[name]})
	}
	return markdownTable([]string{"slope", "size counts", "sizes", "seeds", "revision", "cores", "Go", "load", "file"}, body)
}

func joinSpaced[T any](list []T) string { return strings.Trim(fmt.Sprint(list), "[]") }

func (m *Model) lawsTable() string {
	var body [][]string
	for _, name := range m.slopeNames() {
		for _, g := range m.Results[name].Figures {
			points := g.Points(m.Results[name].Sizes)
			var medians []string
			for _, p := range points {
				medians = append(medians, formatNumber(p.Value))
			}
			p := g.Prediction
			used := "yes"
			if !g.Used {
				used = "**no**"
			}
			body = append(body, []string{name, g.Name, g.Unit, strings.Join(medians, " "), string(g.Fit.Law), formatLaw(g.Fit),
				fmt.Sprintf("%s by %s", formatNumber(p.Predicted), p.Law), formatNumber(p.Measured), formatPercent(p.Error), used})
		}
	}
	return markdownTable([]string{"slope", "figure", "unit", "medians over the seeds", "law", "at size n", "foretold of the largest",
		"measured", "error", "used"}, body)
}

// formatLaw formats a law as a function of n.
func formatLaw(f scale.Fit) string {
	n := map[scale.Law]string{scale.Linear: " n", scale.Linearithmic: " n ln n", scale.Quadratic: " n²"}[f.Law]
	if n == "" {
		return formatNumber(f.A)
	}
	return formatNumber(f.A) + " + " + formatNumber(f.B) + n
}

func formatPercent(share float64) string { return formatQuantity(100*share, "1") + "%" }

func (m *Model) rolesTable() string {
	var body [][]string
	for _, r := range roles {
		row := []string{r.name, r.what, m.formatSum(r.cost), "", "", "", r.mechanism}
		if c := m.evalSum(r.cost); r.cost.unknown == "" && c.certainty != missing {
			row[3] = c.text
			if len(c.laws) > 0 {
				row[4], row[5] = strings.Join(slices.Compact(c.laws), ", "), formatPercent(c.maxError)
			}
		}
		body = append(body, row)
	}
	return markdownTable([]string{"role", "what", "at the target", "arithmetic", "law", "error", "mechanism that carries it"}, body)
}

func (m *Model) scenariosTable() string {
	cell := func(s sum) string {
		if text := m.formatSum(s); s.unknown != "" || m.evalSum(s).certainty == missing {
			return text
		} else {
			return text + " = " + m.evalSum(s).text
		}
	}
	var body [][]string
	for _, d := range scenarioRows() {
		name := d.name
		if key, ok := frequencyKeys[name]; ok {
			q := m.Target[key]
			name += ", " + formatNumber(*q.Value) + " a " + strings.TrimPrefix(q.Unit, "1/")
		}
		body = append(body, []string{name, d.role, d.what, cell(d.mean), cell(d.peak)})
	}
	return markdownTable([]string{"day", "role", "what", "mean", "peak"}, body)
}

func (m *Model) budgetsTable() string {
	type row struct {
		share float64
		cells []string
	}
	var body []row
	for _, b := range budgets() {
		r := row{cells: []string{"", b.purpose, b.what, "", "", "", ""}}
		if f := b.fixed; f != nil {
			has, needs := f.current.eval(m.Target), f.required.eval(m.Target)
			r.share = has / needs
			r.cells[0], r.cells[5] = formatShare(r.share), "a bound of today"
			r.cells[3], r.cells[4] = formatNumber(needs)+" "+f.required.label, strings.TrimSpace(formatNumber(has)+" "+f.current.label)
		} else {
			share, sign := m.targetShare(b.cost, b.limit.eval(m.Target))
			c := m.evalTerm(b.cost)
			r.share = share
			r.cells[0] = sign
			if !math.IsInf(share, 1) {
				r.cells[0] = sign + formatShare(share)
			}
			r.cells[3] = m.formatSum(sum{unit: b.unit, terms: []term{b.cost}})
			r.cells[4] = formatQuantity(b.limit.eval(m.Target), b.unit) + " " + b.limit.label
			if c.certainty != missing {
				r.cells[5], r.cells[6] = strings.Join(c.laws, ", "), formatPercent(c.maxError)
			} else {
				r.share = math.MaxFloat64 // not measured: sorted after known shares and before "never"
			}
		}
		body = append(body, r)
	}
	slices.SortStableFunc(body, func(a, b row) int { return cmp.Compare(a.share, b.share) })
	var text [][]string
	for _, r := range body {
		text = append(text, r.cells)
	}
	return markdownTable([]string{"passed at, of the target", "for", "figure", "at the target", "budget", "law", "error"}, text)
}

// formatShare formats a share of the target.
func formatShare(share float64) string {
	if share > 10 {
		return formatQuantity(share, "1") + " times"
	}
	return formatPercent(share)
}
