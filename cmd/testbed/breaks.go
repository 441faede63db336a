package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/run"
)

type breaksCmd struct {
	Names []string `arg:"" optional:"" help:"The breaks to play; none: all."`
	Dir   string   `default:"experiments/breaks" type:"existingdir" help:"Folder with a patch for each break."`
	Seed  uint64   `default:"1" help:"What all is drawn from."`
	Out   string   `default:"results" help:"Folder for the results."`
}

// Run plays each break's build on the experiment that its patch names. A patch begins with lines of the form
// "rule: NAME", "experiment: FILE" and "why: ..."; the build has to be caught by that rule.
func (c *breaksCmd) Run(ctx context.Context) error {
	root, err := build.FindRoot(".")
	if err != nil {
		return err
	}
	patches, err := filepath.Glob(filepath.Join(c.Dir, "*.patch"))
	if err != nil || len(patches) == 0 {
		return fmt.Errorf("no patches in %s", c.Dir)
	}
	missed := 0
	for _, path := range patches {
		name := strings.TrimSuffix(filepath.Base(path), ".patch")
		if len(c.Names) > 0 && !slices.Contains(c.Names, name) {
			continue
		}
		caught, text, err := c.play(ctx, root, path, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		fmt.Println(text)
		if !caught {
			missed++
		}
	}
	if missed > 0 {
		fmt.Printf("%d breaks not caught\n", missed)
		return errBroken
	}
	return nil
}

func (c *breaksCmd) play(ctx context.Context, root, path, name string) (caught bool, text string, err error) {
	path, err = filepath.Abs(path)
	if err != nil {
		return false, "", err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return false, "", err
	}
	head := map[string]string{}
	for line := range strings.Lines(string(data)) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), ": ")
		if !ok {
			break
		}
		head[key] = value
	}
	if head["rule"] == "" || head["experiment"] == "" {
		return false, "", errors.New("the patch names no rule or no experiment")
	}
	x, err := experiment.Read(filepath.Join(root, head["experiment"]))
	if err != nil {
		return false, "", err
	}
	program, revision, err := build.Revision(ctx, root, "HEAD", path, filepath.Join(c.Out, "break-"+name))
	if err != nil {
		return false, "", err
	}
	r, err := run.Run(ctx, run.Options{Experiment: x, Seed: c.Seed, Quick: true, Program: program, Revision: revision + "-" + name,
		Out: filepath.Join(c.Out, "break-"+name), Progress: progress()})
	if err != nil {
		return false, "", err
	}
	// A rule by its name, or a bound by its figure's.
	n := r.Broken[head["rule"]]
	for _, b := range r.Bounds {
		if b.Name == head["rule"] && !b.OK {
			n++
		}
	}
	verdict := "caught"
	if n == 0 {
		verdict = "NOT CAUGHT"
	}
	others := []string{}
	for rule, k := range r.Broken {
		if k > 0 && rule != head["rule"] {
			others = append(others, fmt.Sprintf("%s %.0f", rule, k))
		}
	}
	slices.Sort(others)
	return n > 0, fmt.Sprintf("%-22s %s: %s %.0f %v", name, verdict, head["rule"], n, others), nil
}
