package scale

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

func measuredResult(t *testing.T, seeds ...uint64) *Result {
	t.Helper()
	r, err := run(t.Context(), rigWithoutMemory(), []int{500, 1000, 2000, 4000, 8000}, seeds, testEnv(t), Limits{1 << 30, 300})
	if err != nil {
		t.Fatal(err)
	}
	r.Revision = "abc1234"
	return r
}

func TestResultsAreReadAsWritten(t *testing.T) {
	r := measuredResult(t, 1, 2, 3)
	path, err := r.Write(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	back, err := ReadResult(path)
	if err != nil {
		t.Fatal(err)
	}
	a, errA := r.Encode()
	b, errB := back.Encode()
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Errorf("result changed by writing and reading: %v, %v\n%s\n%s", errA, errB, a, b)
	}
}

func TestJoin(t *testing.T) {
	r, later := measuredResult(t, 1, 2), measuredResult(t, 3)
	if err := r.Join(later); err != nil {
		t.Fatal(err)
	}
	all := measuredResult(t, 1, 2, 3)
	all.LoadBegin, all.LoadEnd = r.LoadBegin, r.LoadEnd
	a, _ := r.Encode()
	b, _ := all.Encode()
	if !bytes.Equal(a, b) {
		t.Errorf("joined:\n%s\nmeasured in one run:\n%s", a, b)
	}
	if err := r.Join(later); err == nil {
		t.Error("joined the same seed twice")
	}
	later = measuredResult(t, 4)
	later.Revision = "def5678"
	if err := r.Join(later); err == nil {
		t.Error("joined samples of another revision")
	}
}

// Each change makes a valid file invalid, and the error names file, line and key.
func TestBadResultsAreRefused(t *testing.T) {
	data, err := measuredResult(t, 1).Encode()
	if err != nil {
		t.Fatal(err)
	}
	good := string(data)
	for _, c := range []struct{ old, new, at, want string }{ // at: text on the line that the error names
		{`"cores": `, `"hearts": 1, "cores": `, `"hearts"`, "unknown key hearts"},
		{`"unit": "us",`, `"unit": "us", "color": 3,`, `"color"`, "unknown key figures[0].color"},
		{`      "unit": "us",` + "\n", ``, `"figures"`, "figures[0].unit: missing"},
		{`"unit": "us"`, `"unit": "furlongs"`, `furlongs`, `figures[0].unit: unknown unit "furlongs"`},
		{`"unit": "us"`, `"unit": "bytes"`, `"bytes"`, `figures[0].unit: "bytes" is the wrong unit for constant_us, want us`},
		{"    500,\n", "", `"sizes"`, "sizes: 4 sizes are too few to fit a law, need 5"},
		{"    500,\n", "    500,\n    700,\n", `"samples"`, "figures[0].samples: there are samples of 5 sizes, want 6"},
		{"    500,\n", "    5000,\n", `"sizes"`, "sizes: 1000 is not above the size before it"},
		{`"slope": "rig"`, `"slope": "other"`, `"slope"`, `slope: "other" does not match the file's name`},
		{`"go": "`, `"go": 1, "was": "`, `"was"`, "unknown key was"},
		{`"revision": "abc1234"`, `"revision": ""`, `"revision"`, "revision: empty"},
		{`"used": true`, `"used": false`, `"used"`, "figures[0].used: the samples give true, not false"},
		{`"law": "constant",`, `"law": "linear",`, `"law"`, "figures[0].fit.law: the samples give constant, not linear"},
		{`"seeds": [`, `"seeds": [1,`, `"seeds"`, "seeds: duplicate in [1 1]"},
		{`"revision": "abc1234"`, `"revision": 7`, `"revision"`, "revision: unexpected JSON number"},
		{`"revision": "abc1234"`, `"revision": "a", "revision": "b"`, `"revision"`, "revision: duplicate key"},
		{`"cores": `, `"cores" `, `"cores"`, ""},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good || !strings.Contains(text, c.at) {
			t.Fatalf("%q or %q is not in\n%s", c.old, c.at, good)
		}
		want := fmt.Sprintf("rig.json:%d: %s", 1+strings.Count(text[:strings.Index(text, c.at)], "\n"), c.want)
		if _, err := ParseResult("rig.json", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q for %q: %v, want %s", c.new, c.old, err, want)
		}
	}
	if _, err := ParseResult("rig.json", []byte(good+"{}")); err == nil {
		t.Error("a file with trailing data was accepted")
	}
	if _, err := ParseResult("rig.json", []byte(good[:len(good)/2])); err == nil {
		t.Error("half a file was accepted")
	}
	if _, err := ReadResult(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("a missing file was accepted")
	}
}

// With one seed, changing any sample by 1% changes the law, so that the file is rejected.
func TestChangedSamplesGiveAnotherLaw(t *testing.T) {
	r := measuredResult(t, 1)
	for i, g := range r.Figures {
		for j := range g.Samples {
			was := g.Samples[j][0]
			g.Samples[j][0] *= 1.01
			if key, err := r.check(); err == nil || !strings.HasPrefix(key, fmt.Sprintf("figures[%d].", i)) {
				t.Errorf("%s at %d was changed: %s: %v", g.Name, r.Sizes[j], key, err)
			}
			g.Samples[j][0] = was
		}
	}
}
