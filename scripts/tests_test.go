// Package scripts tests the scripts beside it.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// What scripts/tests makes of a test command's output and of KNOWN-RED.txt.
func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	const (
		line  = "x.dev/x/a TestA | go test ./a -run TestA -seed 3 | answers twice when the clock stands | issue 7\n"
		fails = "--- FAIL: TestA (0.01s)\n    a_test.go:9: twice\nFAIL\nFAIL\tx.dev/x/a\t0.02s\nok  \tx.dev/x/b\t0.01s\nFAIL\n"
	)
	for _, c := range []struct {
		name, known, output string
		fails, want         bool
		says                string
	}{
		{"all well", "", "ok  \tx.dev/x/a\t0.02s\n", false, true, ""},
		{"all well, one listed", line, "ok  \tx.dev/x/a\t0.02s\n", false, true, "but passed"},
		{"a listed failure", line, fails, true, true, "passed over: x.dev/x/a TestA"},
		{"blank lines in the list", "\n" + line + "\n", fails, true, true, "passed over"},
		{"one that is not listed", "", fails, true, false, "failed: x.dev/x/a TestA"},
		{"the same name elsewhere", line, strings.ReplaceAll(fails, "x/a\t", "x/c\t"), true, false, "failed: x.dev/x/c TestA"},
		{"another beside it", line, "--- FAIL: TestB (0.00s)\n" + fails, true, false, "failed: x.dev/x/a TestB"},
		{"a panic", line, "--- FAIL: TestA (0.00s)\npanic: no [recovered]\n" + fails, true, false, "panic"},
		{"a build error", line, "FAIL\tx.dev/x/c [build failed]\n" + fails, true, false, "build error"},
		{"a time-out", line, "panic: test timed out after 10m0s\n" + fails, true, false, "time-out"},
		{"no test named", line, "exit status 3\nFAIL\tx.dev/x/a\t0.02s\n", true, false, "failed: x.dev/x/a -"},
		{"no output", line, "", true, false, "failed: ? -"},
		{"a name that begins like a listed one", line, strings.ReplaceAll(fails, "TestA", "TestAB"), true, false, "failed: x.dev/x/a TestAB"},
		{"a listed package that ends like this one", "y/" + line, fails, true, false, "failed: x.dev/x/a TestA"},
		{"nothing seen", "x.dev/x/a TestA | go test ./a | issue 7\n", fails, true, false, "not 'PACKAGE TEST"},
		{"no command", "x.dev/x/a TestA | | slow | issue 7\n", fails, true, false, "not 'PACKAGE TEST"},
		{"no issue", "x.dev/x/a TestA | go test ./a | slow |\n", fails, true, false, "not 'PACKAGE TEST"},
		{"more than three lines", strings.Repeat(strings.ReplaceAll(line, "TestA", "TestB"), 4) + line, fails, true, true, "passed over: x.dev/x/a TestA"},
		{"another check's failure", "- soak seed 7 | testbed soak --seed 7 | cold | issue 7\n" + line, fails, true, true, "passed over: x.dev/x/a TestA"},
		{"a test beside another check's failure", "- soak seed 7 | testbed soak --seed 7 | cold | issue 7\n", fails, true, false, "failed: x.dev/x/a TestA"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			known, output := filepath.Join(dir, "known"), filepath.Join(dir, "output")
			for path, text := range map[string]string{known: c.known, output: c.output} {
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			command := "cat " + output
			if c.fails {
				command += "; exit 1"
			}
			cmd := exec.Command("bash", "tests", "sh", "-c", command)
			cmd.Env = append(os.Environ(), "KNOWN_RED="+known)
			said, err := cmd.CombinedOutput()
			if (err == nil) != c.want || !strings.Contains(string(said), c.says) {
				t.Errorf("ended with %v, want success %v and %q in:\n%s", err, c.want, c.says, said)
			}
		})
	}
}
