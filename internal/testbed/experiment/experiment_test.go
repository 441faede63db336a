package experiment

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const minimal = `about = "x"
length = "40s"
quick = "16s"
`

func TestParse(t *testing.T) {
	x, err := Parse("experiments/base-x.toml", []byte(minimal+`
[fleet]
relays = "3..5"
[load]
level = 0.5
[[fault]]
kind = "kill"
at = "0.2..0.3"
for = "1.3s..5s"
share = 0.7
[[bound]]
name = "served"
op = ">="
limit = 0.5
`))
	if err != nil {
		t.Fatal(err)
	}
	if x.Name != "base-x" || x.Fleet.Relays != NewRange(3, 5) || x.Load.Level != NewRange(0.5, 0.5) {
		t.Errorf("got %q, relays %v, level %v", x.Name, x.Fleet.Relays, x.Load.Level)
	}
	if f := x.Faults[0]; f.For != (DurationRange{1300 * time.Millisecond, 5 * time.Second}) || f.At != NewRange(0.2, 0.3) {
		t.Errorf("fault %+v", f)
	}
	if len(x.Partners.Kinds) != 3 || x.Load.AnswerTimeout.D() != 400*time.Millisecond {
		t.Error("values that the file does not set differ from the defaults")
	}
}

// TestListReplacesDefault checks that a list in a file replaces the default one instead of being merged with it.
func TestListReplacesDefault(t *testing.T) {
	x, err := Parse("x.toml", []byte(minimal+`
[[load.class]]
name = "car-status"
share = 1
work_ms = 100
aim = "1s"
deadline = "5s"
worth = 1
effect = "safe"
[[bound]]
name = "served"
op = ">="
limit = 0.5
`))
	if err != nil {
		t.Fatal(err)
	}
	if n := len(x.Load.Classes); n != 1 || x.Load.Classes[0].WorkVariation.Hi != 0 {
		t.Errorf("%d classes, the first with a spread of %v", n, x.Load.Classes[0].WorkVariation)
	}
}

func TestParseErrors(t *testing.T) {
	bound := "[[bound]]\nname = \"served\"\nop = \">=\"\nlimit = 0.5\n"
	for name, c := range map[string]struct{ text, want string }{
		"unknown key":  {minimal + "[fleet]\nrelais = 3\n" + bound, ":5: unknown key fleet.relais"},
		"bad time":     {"about = \"x\"\nlength = \"40\"\nquick = \"16s\"\n" + bound, ":2: "},
		"bad range":    {minimal + "[fleet]\nrelays = \"5..3\"\n" + bound, ":5: "},
		"no bound":     {minimal, "without a bound"},
		"bad fault":    {minimal + "[[fault]]\nkind = \"flood\"\n" + bound, `unknown kind "flood"`},
		"no share":     {minimal + "[[fault]]\nkind = \"shut\"\nat = 0.2\n" + bound, "shut needs a share"},
		"late fault":   {minimal + "[[fault]]\nkind = \"cut\"\nat = 1.2\n" + bound, "share of the length"},
		"bad operator": {minimal + strings.Replace(bound, ">=", ">", 1), `op ">"`},
		"too long":     {strings.Replace(minimal, "16s", "60s", 1) + bound, "quick"},
		"many relays":  {minimal + "[fleet]\nrelays = 800\n" + bound, "fleet.relays"},
	} {
		_, err := Parse("experiments/x.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "experiments/x.toml") {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

// TestRepositoryExperiments reads every experiment in the repository.
func TestRepositoryExperiments(t *testing.T) {
	files, _ := filepath.Glob("../../../experiments/*.toml")
	if len(files) < 8 {
		t.Fatalf("found %d experiments, want at least 8", len(files))
	}
	for _, f := range files {
		if _, err := Read(f); err != nil {
			t.Error(err)
		}
	}
}
