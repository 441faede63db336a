package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/duties"
	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/run"
)

type workCmd struct {
	Name      string        `required:"" help:"The process's name among holders."`
	Count     int           `default:"1" help:"Holders in it."`
	Stewards  []string      `required:"" help:"Addresses of the stewards."`
	Duties    int           `required:"" help:"How many duties it wants."`
	Lease     time.Duration `required:"" help:"For how long a duty is held."`
	Receivers []string      `help:"Where its effects go."`
	Every     time.Duration `default:"50ms" help:"Between effects."`
	Local     string        `help:"Address that its connections come from."`
	Record    string        `help:"File that its terms are written to."`
}

func (c *workCmd) Run(ctx context.Context) error {
	return duties.RunWorker(ctx, duties.WorkerOptions{Name: c.Name, Count: c.Count, Stewards: c.Stewards, Duties: c.Duties, Lease: c.Lease,
		Receivers: c.Receivers, Every: c.Every, Local: c.Local, Record: c.Record})
}

// runDuties plays an experiment of stewards and holders.
func runDuties(ctx context.Context, x *experiment.Experiment, seed uint64, quick bool, built, out string) (*run.Result, error) {
	steward, revision, err := stewardProgram(ctx, built, filepath.Join(filepath.Dir(out), "bin"))
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	say := func(string) {}
	if w := progress(); w != nil {
		say = func(s string) { fmt.Fprintf(w, "\r%s   ", s) }
	}
	got, err := duties.Run(ctx, x, seed, quick, duties.Programs{Steward: steward, Testbed: self}, say)
	if err != nil {
		return nil, err
	}
	r := &run.Result{Experiment: x.Name, Seed: seed, Quick: quick, Revision: revision, Figures: got.Figures}
	return r, r.Conclude(x.Bounds, out)
}

// stewardProgram is the steward to play: one that is built, or the work as it stands.
func stewardProgram(ctx context.Context, built, into string) (program, revision string, err error) {
	for _, dir := range []string{built, filepath.Join(built, "bin")} {
		path := filepath.Join(dir, build.Steward)
		if _, err := os.Stat(path); built != "" && err == nil {
			path, err = filepath.Abs(path)
			return path, "built", err
		}
	}
	root, err := build.Root(".")
	if err != nil {
		return "", "", err
	}
	relay, revision, err := build.Work(ctx, root, into)
	return filepath.Join(filepath.Dir(relay), build.Steward), revision, err
}

// tellDuties prints a result of stewards and holders.
func tellDuties(w io.Writer, r *run.Result) {
	f := r.Figures
	fmt.Fprintf(w, "%s seed %d, %.0f s of faults over all fleets, revision %s\n", r.Experiment, r.Seed, f["fault_seconds"], r.Revision)
	fmt.Fprintf(w, "  %.0f terms, %.0f effects, %.0f of them refused for a newer epoch; a leader takes %.3f of a core\n", f["claims"], f["effects"],
		f["fenced"], f["leader_cpu"])
	fmt.Fprintf(w, "  median and p99 in s: taken over %.2f, %.2f (%.0f times); handed on %.3f, %.3f (%.0f); claims around a leader's end %.2f, %.2f (%.0f)\n",
		f["takeover_p50_s"], f["takeover_p99_s"], f["takeovers"], f["hand_on_p50_s"], f["hand_on_p99_s"], f["hand_ons"], f["claim_p50_s"],
		f["claim_p99_s"], f["leaders_ended"])
	tellBounds(w, r)
}
