package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/report"
	"onyxroad.dev/onyxroad/internal/testbed/run"
)

type runCmd struct {
	Experiments []string `arg:"" type:"existingfile" help:"The experiments' files."`
	Seed        []uint64 `default:"1" help:"The seeds, which are run one after another."`
	Quick       bool     `help:"The shorter, smaller run, within 50 s."`
	Relays      float64  `help:"Number of relays, instead of that in the file."`
	Build       string   `type:"existingdir" help:"Folder with a built relay, instead of building the working tree."`
	Out         string   `default:"results" help:"Folder for the results, in which each run gets its own folder."`
	Report      bool     `help:"Also write a report."`
}

func (c *runCmd) Run(ctx context.Context) error {
	broken := false
	for _, path := range c.Experiments {
		x, err := experiment.Read(path)
		if err != nil {
			return err
		}
		if x.Stewards != nil {
			for _, seed := range c.Seed {
				r, err := runDuties(ctx, x, seed, c.Quick, c.Build, filepath.Join(c.Out, fmt.Sprintf("%s-%d", x.Name, seed)))
				if err != nil {
					return err
				}
				printDuties(os.Stdout, r)
				broken = broken || !r.OK()
			}
			continue
		}
		program, revision, err := relayProgram(ctx, c.Build, c.Out, x.NeedsDisk() || x.NeedsFaultInjection())
		if err != nil {
			return err
		}
		if c.Relays > 0 {
			x.Fleet.Relays = experiment.NewRange(c.Relays, c.Relays)
			x.Fleet.QuickRelays = x.Fleet.Relays
		}
		for _, seed := range c.Seed {
			out := filepath.Join(c.Out, fmt.Sprintf("%s-%d", x.Name, seed))
			r, err := run.Run(ctx, run.Options{Experiment: x, Seed: seed, Quick: c.Quick, Program: program, Revision: revision, Out: out,
				Progress: progress()})
			if err != nil {
				return err
			}
			printResult(os.Stdout, r)
			if c.Report {
				if err := report.Write(out); err != nil {
					return err
				}
				fmt.Println("report:", filepath.Join(out, "report.md"))
			}
			broken = broken || !r.OK()
		}
	}
	if broken {
		return errBroken
	}
	return nil
}

// relayProgram returns the relay to run: a built one, or one built from the working tree. An experiment that injects failures
// into its disk or its system calls needs a build with the tag testbed.
func relayProgram(ctx context.Context, built, out string, injected bool) (program, revision string, err error) {
	if built != "" && !injected {
		for _, path := range []string{filepath.Join(built, build.Relay), filepath.Join(built, "bin", build.Relay)} {
			if _, err := os.Stat(path); err == nil {
				path, err = filepath.Abs(path)
				return path, "built", err
			}
		}
		return "", "", fmt.Errorf("no %s in %s", build.Relay, built)
	}
	root, err := build.FindRoot(".")
	if err != nil {
		return "", "", err
	}
	if injected {
		return build.WorkTree(ctx, root, filepath.Join(out, "bin-disk"), "testbed")
	}
	return build.WorkTree(ctx, root, filepath.Join(out, "bin"))
}

// progress returns the writer for progress lines: standard error if it is a terminal, otherwise nil.
func progress() io.Writer {
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		return os.Stderr
	}
	return nil
}

// printResult prints the result of a run.
func printResult(w io.Writer, r *run.Result) {
	f := r.Figures
	fmt.Fprintf(w, "%s seed %d, %d relays, %.0f messages, revision %s\n", r.Experiment, r.Seed, r.Relays, f["messages"], r.Revision)
	fmt.Fprintf(w, "  served worth %.3f (worst 10 s %.3f, worst class %.3f, worst customer %.3f), goal %.3f\n", f["served"],
		f["served_worst_10s"], f["served_worst_class"], f["served_worst_customer"], f["goal"])
	fmt.Fprintf(w, "  in time %.1f%%, late %.1f%%, refused %.1f%%, failed %.1f%%, no answer %.1f%%; p50 %.0f ms, p99 %.0f ms\n", 100*f["in_time"],
		100*f["late"], 100*f["refused"], 100*f["failed"], 100*f["unanswered"], f["p50_ms"], f["p99_ms"])
	fmt.Fprintf(w, "  per message: %.2f calls, %.2f refused, %.3f handshakes; memory %.1f MB, clients late %.1f ms at p99\n", f["calls"],
		f["calls_refused"], f["handshakes"], f["memory_mb"], f["lateness_p99_ms"])
	printBounds(w, r)
	for i, b := range r.Violations {
		if i == 10 {
			fmt.Fprintf(w, "  ... %.0f in all\n", f["broken_rules"])
			break
		}
		fmt.Fprintf(w, "  rule %s at %.2f s by %s: %s\n", b.Rule, b.At.Seconds(), b.Relay, b.Detail)
	}
}

func printBounds(w io.Writer, r *run.Result) {
	for _, b := range r.Bounds {
		fmt.Fprintf(w, "  %s %s %.4g %s %g\n", boundLabel(b.OK), b.Name, b.Value, b.Op, b.Limit)
	}
}

type reportCmd struct {
	Dir string `arg:"" type:"existingdir" help:"A run's folder."`
}

func (c *reportCmd) Run() error {
	if err := report.Write(c.Dir); err != nil {
		return err
	}
	fmt.Println(filepath.Join(c.Dir, "report.md"))
	return nil
}

type compareCmd struct {
	Experiment string   `arg:"" type:"existingfile" help:"The experiment's file."`
	Base       string   `xor:"base" required:"" help:"The revision to compare with."`
	Against    string   `xor:"base" required:"" type:"existingfile" help:"Or another experiment's file to run with the same program, for example with one setting changed."`
	With       string   `help:"The other revision; default: the working tree."`
	Plays      int      `default:"6" help:"Number of runs of each, every one with another seed; fewer than 6 cannot give a significant difference."`
	Seed       uint64   `default:"1" help:"The first seed."`
	Quick      bool     `help:"The shorter, smaller runs."`
	Out        string   `default:"results" help:"Folder for the results."`
	Figures    []string `default:"goal,served,served_worst_10s,p99_ms,calls,calls_refused" help:"The figures to compare."`
}

func (c *compareCmd) Run(ctx context.Context) error {
	x, err := experiment.Read(c.Experiment)
	if err != nil {
		return err
	}
	root, err := build.FindRoot(".")
	if err != nil {
		return err
	}
	type side struct {
		name, program, revision string
		x                       *experiment.Experiment
		results                 []*run.Result
	}
	sides := []*side{{name: "base", x: x}, {name: "with", x: x}}
	if c.Base != "" {
		if sides[0].program, sides[0].revision, err = build.Revision(ctx, root, c.Base, "", filepath.Join(c.Out, "base")); err != nil {
			return err
		}
	}
	if c.With == "" {
		sides[1].program, sides[1].revision, err = build.WorkTree(ctx, root, filepath.Join(c.Out, "with"))
	} else {
		sides[1].program, sides[1].revision, err = build.Revision(ctx, root, c.With, "", filepath.Join(c.Out, "with"))
	}
	if err != nil {
		return err
	}
	if c.Against != "" {
		if sides[0].x, err = experiment.Read(c.Against); err != nil {
			return err
		}
		sides[0].program, sides[0].revision, sides[1].revision = sides[1].program, sides[0].x.Name, x.Name
	}
	for i := range c.Plays {
		order := slices.Clone(sides)
		if i%2 == 1 {
			slices.Reverse(order) // so that drift of the machine affects both alike
		}
		for _, s := range order {
			seed := c.Seed + uint64(i)
			out := filepath.Join(c.Out, fmt.Sprintf("compare-%s-%s-%d", x.Name, s.name, seed))
			r, err := run.Run(ctx, run.Options{Experiment: s.x, Seed: seed, Quick: c.Quick, Program: s.program, Revision: s.revision, Out: out,
				Progress: progress()})
			if errors.Is(err, run.ErrInvalid) {
				return fmt.Errorf("%s, run %d: %w", s.revision, i+1, err)
			} else if err != nil {
				return err
			}
			s.results = append(s.results, r)
			fmt.Printf("%s %s seed %d: goal %.3f, served %.3f, %.0f rules broken\n", s.name, s.revision, seed, r.Figures["goal"],
				r.Figures["served"], r.Figures["broken_rules"])
		}
	}
	for _, name := range c.Figures {
		var values [2][]float64
		for i, s := range sides {
			for _, r := range s.results {
				v, ok := r.Figures[name]
				if !ok {
					return fmt.Errorf("there is no figure %q", name)
				}
				values[i] = append(values[i], v)
			}
		}
		fmt.Println(run.Compare(name, sides[0].revision, sides[1].revision, values[0], values[1]))
	}
	return nil
}
