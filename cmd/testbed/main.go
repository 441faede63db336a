// Command testbed runs experiments with real relay processes on an emulated platform, injects faults and checks the
// results. See docs/testbed.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
)

// Exit codes.
const (
	exitBroken = 1 // a bound or a rule is violated
	exitFailed = 2 // the command failed or was used incorrectly
)

// errBroken makes the command exit with exitBroken. The violations have been printed by then.
var errBroken = errors.New("broken")

var cli struct {
	Run      runCmd        `cmd:"" help:"Run an experiment: exit 0 if all its bounds hold, 1 if a bound or a rule is violated, 2 if it could not be run."`
	Plan     planCmd       `cmd:"" help:"Print the plan of a seed: sizes, faults with their times and targets, and every message. Runs nothing."`
	Compare  compareCmd    `cmd:"" help:"Run two revisions alternately on this machine and test whether they differ significantly."`
	Report   reportCmd     `cmd:"" help:"Write a run's report, Markdown with plots, into its folder."`
	Breaks   breaksCmd     `cmd:"" help:"Check the checker: run builds that are broken on purpose, and verify that each is detected."`
	Recovery recoveryCmd   `cmd:"" help:"Measure one relay: the cost of durability, and the start time by the size of its log."`
	Slope    slopeCmd      `cmd:"" help:"Measure how figures grow with a size, and verify the growth laws by predicting the largest size."`
	Soak     soakCmd       `cmd:"" help:"Run drawn faults that overlap in time on many relays, seed after seed, and shrink those that violate a rule."`
	Capacity capacityCmd   `cmd:"" help:"Print the tables of docs/CAPACITY.md, computed from the target and the slopes, or check that a page contains them."`
	Load     loadCmd       `cmd:"" help:"Check the clients: send messages to a stand-in that answers immediately, and report how late the clients were."`
	Faults   faultsCmd     `cmd:"" help:"List the kinds of fault that an experiment may name."`
	Work     workCmd       `cmd:"" hidden:"" help:"Claim duties, and produce effects while holding them."`
	Burn     burnCmd       `cmd:"" hidden:"" help:"Use all of a core for a while."`
	Child    relayChildCmd `cmd:"" hidden:"" name:"relay-child" help:"Run the relay, or open the log, that a slope measures."`
	StandIn  standInCmd    `cmd:"" hidden:"" name:"stand-in" help:"Answer every request with 202 immediately."`
}

func main() {
	parser := kong.Must(&cli, kong.Name("testbed"), kong.UsageOnError(),
		kong.Description("Runs real relay processes on an emulated platform, injects faults and checks the results."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitFailed
			}
			os.Exit(code)
		}))
	cmd, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	cmd.BindTo(ctx, (*context.Context)(nil))
	switch err := cmd.Run(); {
	case errors.Is(err, errBroken):
		os.Exit(exitBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "testbed:", err)
		os.Exit(exitFailed)
	}
}

type planCmd struct {
	Experiment string `arg:"" type:"existingfile" help:"The experiment's file."`
	Seed       uint64 `default:"1" help:"The seed."`
	Quick      bool   `help:"The shorter, smaller run."`
}

func (c *planCmd) Run() error {
	x, err := experiment.Read(c.Experiment)
	if err != nil {
		return err
	}
	return plan.Draw(x, c.Seed, c.Quick).Write(os.Stdout)
}

type faultsCmd struct{}

func (*faultsCmd) Run() error {
	for _, k := range experiment.FaultKindNames() {
		fmt.Printf("%-10s %s\n", k, experiment.FaultKinds[k])
	}
	return nil
}

type burnCmd struct {
	For time.Duration `required:"" help:"How long."`
}

func (c *burnCmd) Run() error {
	for by := time.Now().Add(c.For); time.Now().Before(by); {
	}
	return nil
}
