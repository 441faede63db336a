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
	Names []string `arg:"" optional:"" help:"The breaks to run; default: all."`
	Dir   string   `default:"experiments/breaks" type:"existingdir" help:"Folder with a patch for each break."`
	Seed  uint64   `default:"1" help:"The seed."`
	Out   string   `default:"results" help:"Folder for the results."`
}

// Run runs each broken build on the experiment that its patch names. A patch begins with lines of the form "rule: NAME",
// "experiment: FILE" and "why: ..."; the build must violate that rule.
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
		caught, text, err := c.runBreak(ctx, root, path, name)
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

// runBreak builds HEAD with one patch, runs it and reports whether the patch's rule was violated.
func (c *breaksCmd) runBreak(ctx context.Context, root, path, name string) (caught bool, text string, err error) {
	path, err = filepath.Abs(path)
	if err != nil {
		return false, "", err
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return false, "", err
	}
	header := map[string]string{}
	for line := range strings.Lines(string(data)) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), ": ")
		if !ok {
			break
		}
		header[key] = value
	}
	if header["rule"] == "" || header["experiment"] == "" {
		return false, "", errors.New("the patch names no rule or no experiment")
	}
	x, err := experiment.Read(filepath.Join(root, header["experiment"]))
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
	// head["rule"] names a rule, or the figure of a bound.
	n := r.RuleCounts[header["rule"]]
	for _, b := range r.Bounds {
		if b.Name == header["rule"] && !b.OK {
			n++
		}
	}
	verdict := "caught"
	if n == 0 {
		verdict = "NOT CAUGHT"
	}
	others := []string{}
	for rule, k := range r.RuleCounts {
		if k > 0 && rule != header["rule"] {
			others = append(others, fmt.Sprintf("%s %.0f", rule, k))
		}
	}
	slices.Sort(others)
	return n > 0, fmt.Sprintf("%-22s %s: %s %.0f %v", name, verdict, header["rule"], n, others), nil
}
