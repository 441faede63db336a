package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/scale"
)

type slopeCmd struct {
	Name  string  `arg:"" optional:"" help:"The slope; default: list all."`
	Sizes []int   `help:"Sizes, at least five, ascending."`
	Seed  *uint64 `help:"Run this seed instead of the slope's own."`
	Small bool    `help:"The small sizes and one seed: checks the rig only, its figures are meaningless."`
	Join  bool    `help:"Add to the samples in the result's file, which must be of other seeds at the same revision and sizes."`
	Build string  `type:"existingdir" help:"Take the programs from this folder instead of building the working tree."`
	Out   string  `default:"capacity" help:"Folder for the result."`
}

// Run measures one slope and writes its result, or lists the slopes.
func (c *slopeCmd) Run(ctx context.Context) error {
	var all []scale.Slope
	for _, f := range slopes {
		all = append(all, f()...)
	}
	if c.Name == "" {
		for _, s := range all {
			fmt.Printf("%-18s %s\n", s.Name, s.About)
		}
		return nil
	}
	i := slices.IndexFunc(all, func(s scale.Slope) bool { return s.Name == c.Name })
	if i < 0 {
		return fmt.Errorf("slope: unknown slope %s", c.Name)
	}
	s := all[i]
	sizes, seeds := s.Sizes, s.Seeds
	if c.Small {
		sizes, seeds = s.Small, s.Seeds[:1]
	}
	if c.Sizes != nil {
		sizes = c.Sizes
	}
	if c.Seed != nil {
		seeds = []uint64{*c.Seed}
	}
	var previous *scale.Result
	var err error
	if c.Join {
		if previous, err = scale.ReadResult(filepath.Join(c.Out, s.Name+".json")); err != nil {
			return err
		}
	}
	env := scale.Env{Build: c.Build, Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}
	revision, err := c.programs(ctx, s, sizes, seeds, &env)
	if err != nil {
		return err
	}
	r, err := scale.Run(ctx, s, sizes, seeds, env)
	if err != nil {
		return err
	}
	r.Revision = revision
	if previous != nil {
		if err := previous.Join(r); err != nil {
			return err
		}
		r = previous
	}
	path, err := r.Write(c.Out)
	if err != nil {
		return err
	}
	fmt.Printf("%s against %s at %d on seeds %d, revision %s, %d cores, load %.1f to %.1f\n", r.Slope, r.Variable, r.Sizes,
		r.Seeds, r.Revision, r.Cores, r.LoadBegin, r.LoadEnd)
	for _, g := range r.Figures {
		used := "used"
		if !g.Used {
			used = "not used"
		}
		fmt.Printf("  %-22s %-9s %-32s predicted %.4g by %s, measured %.4g: %.1f%% off, %s\n", g.Name+" "+g.Unit, g.Fit.Law,
			g.Fit.Formula(), g.Prediction.Predicted, g.Prediction.Law, g.Prediction.Measured, 100*g.Prediction.Error, used)
	}
	fmt.Println(path)
	return nil
}

// programs builds the programs unless env has a folder with them, and returns the revision. It checks the machine's limits
// first, so that nothing is built for a slope that would be refused.
func (c *slopeCmd) programs(ctx context.Context, s scale.Slope, sizes []int, seeds []uint64, env *scale.Env) (string, error) {
	limits, err := scale.MachineLimits()
	if err != nil {
		return "", err
	}
	if err := limits.Check(s, sizes, seeds); err != nil {
		return "", err
	}
	root, err := build.FindRoot(".")
	if err != nil {
		return "", err
	}
	if env.Build != "" {
		return build.Head(ctx, root), nil
	}
	env.Build = filepath.Join("results", "bin")
	_, revision, err := build.WorkTree(ctx, root, env.Build)
	return revision, err
}
