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
	Seed      uint64        `default:"1" help:"The one seed to play, if no range is given."`
	Seeds     string        `help:"A range of seeds, A..B."`
	Minutes   time.Duration `help:"No play begins after so long, 20m say."`
	Processes int           `help:"Relays in a play; none: 24 to 48, by the seed."`
	Parallel  int           `default:"1" help:"Plays at once."`
	Quick     bool          `help:"One play on 24 relays, within 60 s."`
	Without   []int         `help:"Places of troubles that are left out."`
	Shrink    bool          `help:"Play a seed that breaks a rule again with fewer troubles, until none can go."`
	Patch     string        `type:"existingfile" help:"Check the soak test: play HEAD with this patch, which breaks it on purpose, until a seed catches it."`
	Build     string        `type:"existingdir" help:"Folder with a relay that was built with the tag testbed."`
	Out       string        `default:"results" help:"Folder for the results."`
}

// Run plays the seeds: exit 0 if no rule was broken and no invariant violated.
func (c *soakCmd) Run(ctx context.Context) error {
	seeds, err := c.seeds()
	if err != nil {
		return err
	}
	o := soak.Options{Seeds: seeds, Relays: c.Processes, Parallel: c.Parallel, Out: c.Out, Log: os.Stdout, Shrink: c.Shrink}
	if c.Quick && o.Relays == 0 {
		o.Relays = 24
	}
	if c.Patch != "" {
		return c.check(ctx, o)
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
		r, err := soak.One(ctx, o, seeds[0], c.Without)
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
	s, err := soak.Play(ctx, o)
	if s != nil {
		tellSoak(s)
	}
	if err == nil && s.Broken > 0 {
		return errBroken
	}
	return err
}

// check plays a build that is broken on purpose until a seed catches it: exit 0 if one does.
func (c *soakCmd) check(ctx context.Context, o soak.Options) error {
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
	o.First = true
	s, err := soak.Play(ctx, o)
	if err != nil {
		return err
	}
	if s.Broken == 0 {
		fmt.Printf("%-24s NOT CAUGHT in %d plays\n", name, s.Plays)
		return errBroken
	}
	fmt.Printf("%-24s caught by seed %d, play %d: %v\n", name, s.Failed[0], s.Plays, s.RulesBroken())
	return nil
}

func (c *soakCmd) seeds() (all []uint64, err error) {
	if c.Seeds == "" {
		return []uint64{c.Seed}, nil
	}
	from, to, ok := strings.Cut(c.Seeds, "..")
	a, errA := strconv.ParseUint(from, 10, 64)
	b, errB := strconv.ParseUint(to, 10, 64)
	if !ok || errA != nil || errB != nil || a > b || b-a > 100_000 {
		return nil, fmt.Errorf("soak: %q is no range of seeds like 1..200", c.Seeds)
	}
	for seed := a; seed <= b; seed++ {
		all = append(all, seed)
	}
	return all, nil
}

// tellSoak prints what was played and what came of it.
func tellSoak(s *soak.Summary) {
	fmt.Printf("%d plays, %.0f relays, %.0f messages; %d on a machine too loaded; %d broke a rule: %v\n", s.Plays, s.Processes, s.Messages,
		s.Invalid, s.Broken, s.Failed)
	for _, rule := range s.RulesBroken() {
		fmt.Printf("  rule %s\n", rule)
	}
	var kinds []string
	for _, kind := range slices.Sorted(maps.Keys(s.Troubles)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", kind, s.Troubles[kind]))
	}
	pairs := 0
	for _, n := range s.Overlaps {
		pairs += n
	}
	fmt.Printf("  troubles: %s\n  overlaps: %d pairs, %d kinds of pair\n", strings.Join(kinds, ", "), pairs, len(s.Overlaps))
}
