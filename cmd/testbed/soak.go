package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/soak"
)

type soakCmd struct {
	Seed      uint64        `default:"1" help:"The seed to run, if no range is given."`
	Seeds     string        `help:"A range of seeds, A..B."`
	Minutes   time.Duration `help:"Start no run after this time, for example 20m."`
	Processes int           `help:"Relays in a run; default: 24 to 48, depending on the seed."`
	Parallel  int           `default:"1" help:"Concurrent runs."`
	Quick     bool          `help:"One run on 24 relays, within 60 s."`
	ManyIDs   bool          `name:"many-ids" help:"Runs in which ids come again after many others: 3 relays with much traffic and little disk."`
	Without   []int         `help:"Indices of faults to leave out."`
	Shrink    bool          `help:"Run a seed that violates a rule again with fewer faults, until none can be left out."`
	Patch     string        `type:"existingfile" help:"Check the soak test: run HEAD with this patch, which breaks it on purpose, until a seed detects it."`
	Build     string        `type:"existingdir" help:"Folder with a relay built with the tag testbed."`
	Out       string        `default:"results" help:"Folder for the results."`
}

// Run runs the seeds. The command exits with 0 if no rule and no invariant was violated.
func (c *soakCmd) Run(ctx context.Context) error {
	seeds, err := c.parseSeeds()
	if err != nil {
		return err
	}
	o := soak.Options{Seeds: seeds, ManyIDs: c.ManyIDs, Relays: c.Processes, Parallel: c.Parallel, Out: c.Out, Log: os.Stdout, Shrink: c.Shrink}
	if c.Quick && o.Relays == 0 && !c.ManyIDs {
		o.Relays = 24
	}
	if c.Patch != "" {
		return c.checkPatch(ctx, o)
	}
	if c.Build != "" {
		o.Program, err = filepath.Abs(filepath.Join(c.Build, build.Relay))
		o.Revision = "built"
	} else {
		var root string
		if root, err = build.FindRoot("."); err == nil {
			o.Program, o.Revision, err = build.WorkTree(ctx, root, filepath.Join(c.Out, "bin-faults"), "testbed")
		}
	}
	if err != nil {
		return err
	}
	if len(c.Without) > 0 {
		r, err := soak.RunOne(ctx, o, seeds[0], c.Without)
		if err == nil && r.Figures["broken_rules"] > 0 {
			return errBroken
		}
		return err
	}
	if c.Minutes > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Minutes)
		defer cancel()
	}
	s, err := soak.Run(ctx, o)
	if s != nil {
		printSoak(s)
	}
	if err == nil && s.Broken > 0 {
		return errBroken
	}
	return err
}

// checkPatch runs a build that is broken on purpose until a seed detects it. The command exits with 0 if one does.
func (c *soakCmd) checkPatch(ctx context.Context, o soak.Options) error {
	root, err := build.FindRoot(".")
	if err != nil {
		return err
	}
	patch, err := filepath.Abs(c.Patch)
	if err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(patch), ".patch")
	o.Out = filepath.Join(c.Out, "break-"+name)
	if o.Program, o.Revision, err = build.Revision(ctx, root, "HEAD", patch, o.Out, "testbed"); err != nil {
		return err
	}
	o.StopOnFirst = true
	s, err := soak.Run(ctx, o)
	if err != nil {
		return err
	}
	if s.Broken == 0 {
		fmt.Printf("%-24s NOT CAUGHT in %d runs\n", name, s.Runs)
		return errBroken
	}
	fmt.Printf("%-24s caught by seed %d, run %d: %v\n", name, s.FailedSeeds[0], s.Runs, s.BrokenRules())
	return nil
}

// parseSeeds returns the seeds to run.
func (c *soakCmd) parseSeeds() (all []uint64, err error) {
	if c.Seeds == "" {
		return []uint64{c.Seed}, nil
	}
	from, to, ok := strings.Cut(c.Seeds, "..")
	a, errA := strconv.ParseUint(from, 10, 64)
	b, errB := strconv.ParseUint(to, 10, 64)
	if !ok || errA != nil || errB != nil || a > b || b-a > 100_000 {
		return nil, fmt.Errorf("soak: %q is not a range of seeds such as 1..200", c.Seeds)
	}
	for seed := a; seed <= b; seed++ {
		all = append(all, seed)
	}
	return all, nil
}

// printSoak prints a summary of the runs.
func printSoak(s *soak.Summary) {
	fmt.Printf("%d runs, %.0f relays, %.0f messages; %d on an overloaded machine; %d violated a rule: %v\n", s.Runs, s.Processes, s.Messages,
		s.Invalid, s.Broken, s.FailedSeeds)
	for _, rule := range s.BrokenRules() {
		fmt.Printf("  rule %s\n", rule)
	}
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(s.Faults)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, s.Faults[kind]))
	}
	pairs := 0
	for _, n := range s.Overlaps {
		pairs += n
	}
	fmt.Printf("  faults: %s\n  overlaps: %d pairs, %d kinds of pair\n", strings.Join(kinds, ", "), pairs, len(s.Overlaps))
}
