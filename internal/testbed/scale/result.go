package scale

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Units are the units of figures, with their meaning.
var Units = map[string]string{
	"us": "microseconds", "ms": "milliseconds", "s": "seconds", "bytes": "bytes", "bytes/s": "bytes a second",
	"cores": "seconds of processor time a second", "1": "a count", "1/s": "a count a second",
}

// unitSuffixes map the suffix of a figure's name to the unit that it has to have.
var unitSuffixes = []struct{ ending, unit string }{
	{"_us", "us"}, {"_ms", "ms"}, {"bytes_s", "bytes/s"}, {"_bytes", "bytes"}, {"cores", "cores"},
}

// checkUnit checks that a unit exists and matches the figure's name.
func checkUnit(name, unit string) error {
	if _, ok := Units[unit]; !ok {
		return fmt.Errorf("unknown unit %q", unit)
	}
	for _, e := range unitSuffixes {
		if strings.HasSuffix(name, e.ending) && unit != e.unit {
			return fmt.Errorf("%q is the wrong unit for %s, want %s", unit, name, e.unit)
		}
	}
	return nil
}

// Result is the measurement of a slope, as stored in a file of capacity/. It has every sample as it was measured.
type Result struct {
	Slope     string         `json:"slope"`
	About     string         `json:"about"`
	Variable  string         `json:"variable"` // what a size counts
	Revision  string         `json:"revision"` // with a trailing + if the working tree had changes
	Cores     int            `json:"cores"`    // of the machine
	Go        string         `json:"go"`
	LoadBegin float64        `json:"load_begin"` // the machine's load average over one minute
	LoadEnd   float64        `json:"load_end"`
	Sizes     []int          `json:"sizes"` // rising
	Seeds     []uint64       `json:"seeds"`
	Figures   []FigureResult `json:"figures"`
}

// FigureResult is the result of one figure: its samples at all sizes, and the law fitted to them.
type FigureResult struct {
	Name       string      `json:"name"`
	Unit       string      `json:"unit"`
	About      string      `json:"about"`
	Samples    [][]float64 `json:"samples"` // by size, then by seed
	Fit        Fit         `json:"fit"`
	Prediction Prediction  `json:"prediction"`
	Used       bool        `json:"used"` // whether the prediction was accurate enough to use the law
}

// Points returns the medians over the seeds at each size.
func (g FigureResult) Points(sizes []int) []Point {
	points := make([]Point, len(sizes))
	for i, n := range sizes {
		points[i] = Point{Size: float64(n), Value: Median(g.Samples[i])}
	}
	return points
}

// fitAndPredict fits the law and checks it by its prediction.
func (g *FigureResult) fitAndPredict(sizes []int) {
	points := g.Points(sizes)
	g.Fit, g.Prediction = ChooseFit(points), Predict(points)
	g.Used = g.Prediction.WithinTolerance()
}

// Figure returns a figure by its name.
func (r *Result) Figure(name string) (FigureResult, bool) {
	i := slices.IndexFunc(r.Figures, func(g FigureResult) bool { return g.Name == name })
	if i < 0 {
		return FigureResult{}, false
	}
	return r.Figures[i], true
}

// Join adds the samples of other seeds that were measured later at the same revision and sizes.
func (r *Result) Join(later *Result) error {
	switch {
	case r.Slope != later.Slope || r.Variable != later.Variable || !slices.Equal(r.Sizes, later.Sizes):
		return fmt.Errorf("scale: %s was measured at other sizes: %d, not %d", r.Slope, r.Sizes, later.Sizes)
	case r.Revision != later.Revision || r.Cores != later.Cores || r.Go != later.Go:
		return fmt.Errorf("scale: %s was measured at %s on %d cores with %s, not at %s on %d with %s", r.Slope,
			r.Revision, r.Cores, r.Go, later.Revision, later.Cores, later.Go)
	case slices.ContainsFunc(later.Seeds, func(s uint64) bool { return slices.Contains(r.Seeds, s) }):
		return fmt.Errorf("scale: %s has results for some of the seeds %d already", r.Slope, later.Seeds)
	case !slices.EqualFunc(r.Figures, later.Figures, func(a, b FigureResult) bool { return a.Name == b.Name && a.Unit == b.Unit }):
		return fmt.Errorf("scale: %s was measured with other figures", r.Slope)
	}
	r.Seeds, r.LoadEnd = append(r.Seeds, later.Seeds...), later.LoadEnd
	for i := range r.Figures {
		for j := range r.Sizes {
			r.Figures[i].Samples[j] = append(r.Figures[i].Samples[j], later.Figures[i].Samples[j]...)
		}
		r.Figures[i].fitAndPredict(r.Sizes)
	}
	return nil
}

// Encode returns the result as JSON. The encoding is deterministic.
func (r *Result) Encode() ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", r.Slope, err)
	}
	return b.Bytes(), nil
}

// Write writes the result to its file in dir and returns the file's path.
func (r *Result) Write(dir string) (string, error) {
	data, err := r.Encode()
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, r.Slope+".json")
	if err := errors.Join(os.MkdirAll(dir, 0o755), os.WriteFile(path, data, 0o644)); err != nil {
		return "", fmt.Errorf("scale: %w", err)
	}
	return path, nil
}

// ReadResult reads a result from the file at path.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	return ParseResult(path, data)
}

// ParseResult parses the content of the file at path strictly. Unknown and missing keys, invalid values and laws that don't
// follow from the samples are errors that name file, line and key.
func ParseResult(path string, data []byte) (*Result, error) {
	keys, err := locateKeys(data)
	if err != nil {
		return nil, fmt.Errorf("%s%w", path, err)
	}
	if err := keys.checkKeys(Result{}); err != nil {
		return nil, fmt.Errorf("%s%w", path, err)
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			return nil, fmt.Errorf("%s:%d: %s: unexpected JSON %s", path, lineAt(data, wrong.Offset), wrong.Field, wrong.Value)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if key, err := r.check(); err != nil {
		return nil, fmt.Errorf("%s:%d: %s: %w", path, keys.line(key), key, err)
	}
	if want := strings.TrimSuffix(filepath.Base(path), ".json"); r.Slope != want {
		return nil, fmt.Errorf("%s:%d: slope: %q does not match the file's name", path, keys.line("slope"), r.Slope)
	}
	return &r, nil
}

// check returns the first key with an invalid value, and the reason.
func (r *Result) check() (key string, err error) {
	for key, text := range map[string]string{"variable": r.Variable, "revision": r.Revision, "go": r.Go} {
		if text == "" {
			return key, errors.New("empty")
		}
	}
	if r.Cores < 1 {
		return "cores", fmt.Errorf("%d is below 1", r.Cores)
	}
	if r.LoadBegin < 0 || r.LoadEnd < 0 {
		return "load_begin", errors.New("negative load")
	}
	if err := checkSizes(r.Sizes); err != nil {
		return "sizes", err
	}
	if err := checkSeeds(r.Seeds); err != nil {
		return "seeds", err
	}
	if len(r.Figures) == 0 {
		return "figures", errors.New("no figures")
	}
	for i, g := range r.Figures {
		at := func(key string) string { return fmt.Sprintf("figures[%d].%s", i, key) }
		if g.Name == "" || slices.ContainsFunc(r.Figures[:i], func(b FigureResult) bool { return b.Name == g.Name }) {
			return at("name"), fmt.Errorf("%q is empty or a duplicate", g.Name)
		}
		if err := checkUnit(g.Name, g.Unit); err != nil {
			return at("unit"), err
		}
		if len(g.Samples) != len(r.Sizes) {
			return at("samples"), fmt.Errorf("there are samples of %d sizes, want %d", len(g.Samples), len(r.Sizes))
		}
		for j, s := range g.Samples {
			if len(s) != len(r.Seeds) {
				return at("samples"), fmt.Errorf("size %d has %d samples, want one for each of %d seeds", r.Sizes[j], len(s), len(r.Seeds))
			}
		}
		want := g
		want.fitAndPredict(r.Sizes)
		for _, c := range []struct {
			key       string
			has, want any
		}{
			{"fit.law", g.Fit.Law, want.Fit.Law}, {"fit.a", g.Fit.A, want.Fit.A}, {"fit.b", g.Fit.B, want.Fit.B},
			{"prediction.law", g.Prediction.Law, want.Prediction.Law},
			{"prediction.predicted", g.Prediction.Predicted, want.Prediction.Predicted},
			{"prediction.measured", g.Prediction.Measured, want.Prediction.Measured},
			{"prediction.error", g.Prediction.Error, want.Prediction.Error}, {"used", g.Used, want.Used},
		} {
			if !nearlyEqual(c.has, c.want) {
				return at(c.key), fmt.Errorf("the samples give %v, not %v", c.want, c.has)
			}
		}
	}
	return "", nil
}

// nearlyEqual compares values, numbers with a tolerance because their last digits may differ between processors.
func nearlyEqual(a, b any) bool {
	x, ok := a.(float64)
	if !ok {
		return a == b
	}
	y := b.(float64)
	return math.Abs(x-y) <= 1e-6*max(math.Abs(x), math.Abs(y), 1e-9)
}

// checkSizes checks that there are enough sizes to fit a law and to test it, and that they rise.
func checkSizes(sizes []int) error {
	if len(sizes) < minSizes {
		return fmt.Errorf("%d sizes are too few to fit a law, need %d", len(sizes), minSizes)
	}
	for i, n := range sizes {
		if n < 1 || i > 0 && n <= sizes[i-1] {
			return fmt.Errorf("%d is not above the size before it", n)
		}
	}
	return nil
}

// checkSeeds checks that there are seeds, without duplicates.
func checkSeeds(seeds []uint64) error {
	if len(seeds) == 0 {
		return errors.New("no seeds given")
	}
	if len(slices.Compact(slices.Sorted(slices.Values(seeds)))) != len(seeds) {
		return fmt.Errorf("duplicate in %d", seeds)
	}
	return nil
}
