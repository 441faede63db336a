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
		t.Errorf("what was read is not what was written: %v, %v\n%s\n%s", errA, errB, a, b)
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
		t.Errorf("joined:\n%s\nat once:\n%s", a, b)
	}
	if err := r.Join(later); err == nil {
		t.Error("a seed was joined twice")
	}
	later = measuredResult(t, 4)
	later.Revision = "def5678"
	if err := r.Join(later); err == nil {
		t.Error("another revision's samples were joined")
	}
}

// Each of these changes makes a good file bad, and the error names file, line and key.
func TestBadResultsAreRefused(t *testing.T) {
	data, err := measuredResult(t, 1).Encode()
	if err != nil {
		t.Fatal(err)
	}
	good := string(data)
	for _, c := range []struct{ old, new, at, want string }{ // at: what stands at the line that the error names
		{`"cores": `, `"hearts": 1, "cores": `, `"hearts"`, "unknown key hearts"},
		{`"unit": "us",`, `"unit": "us", "color": 3,`, `"color"`, "unknown key figures[0].color"},
		{`      "unit": "us",` + "\n", ``, `"figures"`, "figures[0].unit: is missing"},
		{`"unit": "us"`, `"unit": "furlongs"`, `furlongs`, `figures[0].unit: "furlongs" is no unit`},
		{`"unit": "us"`, `"unit": "bytes"`, `"bytes"`, `figures[0].unit: "bytes" makes no sense for constant_us, which is in us`},
		{"    500,\n", "", `"sizes"`, "sizes: 4 sizes are too few, a law needs 5"},
		{"    500,\n", "    500,\n    700,\n", `"samples"`, "figures[0].samples: 5 sizes have samples, and 6 were measured"},
		{"    500,\n", "    5000,\n", `"sizes"`, "sizes: 1000 is not a size above the one before"},
		{`"slope": "rig"`, `"slope": "other"`, `"slope"`, `slope: "other" belongs in a file of its own name`},
		{`"go": "`, `"go": 1, "was": "`, `"was"`, "unknown key was"},
		{`"revision": "abc1234"`, `"revision": ""`, `"revision"`, "revision: is empty"},
		{`"used": true`, `"used": false`, `"used"`, "figures[0].used: the samples give true, not false"},
		{`"law": "constant",`, `"law": "linear",`, `"law"`, "figures[0].fit.law: the samples give constant, not linear"},
		{`"seeds": [`, `"seeds": [1,`, `"seeds"`, "seeds: [1 1] has one twice"},
		{`"revision": "abc1234"`, `"revision": 7`, `"revision"`, "revision: number is not what stands there"},
		{`"revision": "abc1234"`, `"revision": "a", "revision": "b"`, `"revision"`, "revision: stands twice"},
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
		t.Error("something behind the end was read")
	}
	if _, err := ParseResult("rig.json", []byte(good[:len(good)/2])); err == nil {
		t.Error("half a file was read")
	}
	if _, err := ReadResult(filepath.Join(t.TempDir(), "none.json")); err == nil {
		t.Error("no file was read")
	}
}

// A change of any one sample is seen where there is one seed, as it changes the law.
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
