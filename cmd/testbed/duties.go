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
	Name      string        `required:"" help:"The process's name as a holder."`
	Count     int           `default:"1" help:"Holders in the process."`
	Stewards  []string      `required:"" help:"Addresses of the stewards."`
	Duties    int           `required:"" help:"Number of duties to claim."`
	Lease     time.Duration `required:"" help:"Duration of a lease."`
	Receivers []string      `help:"Addresses that effects are sent to."`
	Every     time.Duration `default:"50ms" help:"Interval between effects."`
	Local     string        `help:"Source address of connections."`
	Record    string        `help:"File to which the terms are written."`
}

func (c *workCmd) Run(ctx context.Context) error {
	return duties.RunWorker(ctx, duties.WorkerOptions{Name: c.Name, Count: c.Count, Stewards: c.Stewards, Duties: c.Duties, Lease: c.Lease,
		Receivers: c.Receivers, Every: c.Every, Local: c.Local, Record: c.Record})
}

// runDuties runs an experiment with stewards and holders.
func runDuties(ctx context.Context, x *experiment.Experiment, seed uint64, quick bool, built, out string) (*run.Result, error) {
	steward, revision, err := stewardProgram(ctx, built, filepath.Join(filepath.Dir(out), "bin"))
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	report := func(string) {}
	if w := progress(); w != nil {
		report = func(s string) { fmt.Fprintf(w, "\r%s   ", s) }
	}
	outcome, err := duties.Run(ctx, x, seed, quick, duties.Programs{Steward: steward, Testbed: self}, report)
	if err != nil {
		return nil, err
	}
	r := &run.Result{Experiment: x.Name, Seed: seed, Quick: quick, Revision: revision, Figures: outcome.Figures}
	return r, r.Finish(x.Bounds, out)
}

// stewardProgram returns the steward to run: a built one, or one built from the working tree.
func stewardProgram(ctx context.Context, built, into string) (program, revision string, err error) {
	for _, dir := range []string{built, filepath.Join(built, "bin")} {
		path := filepath.Join(dir, build.Steward)
		if _, err := os.Stat(path); built != "" && err == nil {
			path, err = filepath.Abs(path)
			return path, "built", err
		}
	}
	root, err := build.FindRoot(".")
	if err != nil {
		return "", "", err
	}
	relay, revision, err := build.WorkTree(ctx, root, into)
	return filepath.Join(filepath.Dir(relay), build.Steward), revision, err
}

// printDuties prints the result of an experiment with stewards and holders.
func printDuties(w io.Writer, r *run.Result) {
	f := r.Figures
	fmt.Fprintf(w, "%s seed %d, %.0f s of faults over all fleets, revision %s\n", r.Experiment, r.Seed, f["fault_seconds"], r.Revision)
	fmt.Fprintf(w, "  %.0f terms, %.0f effects, %.0f of them refused for a newer epoch; a leader takes %.3f of a core\n", f["claims"], f["effects"],
		f["fenced"], f["leader_cpu"])
	fmt.Fprintf(w, "  median and p99 in s: taken over %.2f, %.2f (%.0f times); handed on %.3f, %.3f (%.0f); claims around a leader's end %.2f, %.2f (%.0f)\n",
		f["takeover_p50_s"], f["takeover_p99_s"], f["takeovers"], f["hand_on_p50_s"], f["hand_on_p99_s"], f["hand_ons"], f["claim_p50_s"],
		f["claim_p99_s"], f["leaders_ended"])
	printBounds(w, r)
}
