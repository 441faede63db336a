package clock_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Everything that a relay links must read the time through this package: tests can't step the clock of other readings.
func TestOnlyThisPackageReadsTheSystemClock(t *testing.T) {
	const module = "onyxroad.dev/onyxroad/"
	out, err := exec.Command("go", "list", "-deps", "-f", "{{.ImportPath}}\t{{.Dir}}", module+"cmd/cherrytrestle").Output()
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(out)) {
		path, dir, _ := strings.Cut(strings.TrimSpace(line), "\t")
		if !strings.HasPrefix(path, module) || path == module+"internal/clock" {
			continue
		}
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if !strings.HasSuffix(file, "_test.go") {
				checkNoSystemClock(t, file)
			}
		}
	}
}

// checkNoSystemClock reports each use of a function of package time that reads the system clock.
func checkNoSystemClock(t *testing.T, file string) {
	t.Helper()
	fset := token.NewFileSet()
	parsed, err := parser.ParseFile(fset, file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		selector, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		from, ok := selector.X.(*ast.Ident)
		if ok && from.Name == "time" && (selector.Sel.Name == "Now" || selector.Sel.Name == "Since" || selector.Sel.Name == "Until") {
			t.Errorf("%s: time.%s reads the system clock, use package clock", fset.Position(n.Pos()), selector.Sel.Name)
		}
		return true
	})
}
