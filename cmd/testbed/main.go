// Command testbed plays experiments with real relay processes on an emulated platform, with faults between them, and
// judges them. docs/testbed.md says how.
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

// The exit codes.
const (
	exitBroken = 1 // a bound or a rule is broken
	exitFailed = 2 // it could not be run, or was used wrongly
)

// errBroken ends the command with exitBroken; what is broken has been said.
var errBroken = errors.New("broken")

var cli struct {
	Run      runCmd        `cmd:"" help:"Play an experiment: exit 0 if all its bounds hold, 1 if one does not or a rule is broken, 2 if it could not be run."`
	Plan     planCmd       `cmd:"" help:"Print what a seed gives: sizes, faults with their moments and targets, and every message. Runs nothing."`
	Compare  compareCmd    `cmd:"" help:"Play two revisions in turns on this machine and tell whether they differ beyond noise."`
	Report   reportCmd     `cmd:"" help:"Write a run's report, Markdown with plots, into its folder."`
	Breaks   breaksCmd     `cmd:"" help:"Check the judge: play builds that are broken on purpose, and see that each is caught."`
	Recovery recoveryCmd   `cmd:"" help:"Measure one relay: what durability costs, and how long a start takes with how much in its log."`
	Slope    slopeCmd      `cmd:"" help:"Measure how figures grow with a size, and prove the growth laws by predicting the largest size."`
	Soak     soakCmd       `cmd:"" help:"Play drawn troubles that overlap in time on many relays, seed after seed, and shrink what breaks a rule."`
	Capacity capacityCmd   `cmd:"" help:"Print the tables of docs/CAPACITY.md, worked out from the target and the slopes, or check that a page has them."`
	Load     loadCmd       `cmd:"" help:"Check the clients: hand messages to a stand-in that answers at once, and tell how late the clients were."`
	Faults   faultsCmd     `cmd:"" help:"List the kinds of fault that an experiment may name."`
	Work     workCmd       `cmd:"" hidden:"" help:"Claim duties, and have effects while they are held."`
	Burn     burnCmd       `cmd:"" hidden:"" help:"Take all of a core for a while."`
	Child    relayChildCmd `cmd:"" hidden:"" name:"relay-child" help:"Be the relay, or open the log, that a slope measures."`
	StandIn  standInCmd    `cmd:"" hidden:"" name:"stand-in" help:"Answer every request with 202 at once."`
}

func main() {
	parser := kong.Must(&cli, kong.Name("testbed"), kong.UsageOnError(),
		kong.Description("Real relay processes on an emulated platform, with faults between them, and a judge."),
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
	Seed       uint64 `default:"1" help:"What all is drawn from."`
	Quick      bool   `help:"The shorter, smaller play."`
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
