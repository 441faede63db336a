// Command cherrytrestlectl is the operators' command.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"onyxroad.dev/onyxroad/internal/recovery"
	"onyxroad.dev/onyxroad/internal/settings"
)

// errCheckFailed ends the command with 1; what is broken has been said.
var errCheckFailed = errors.New("broken")

type cli struct {
	JSON  bool `help:"Answer in JSON."`
	State struct {
		Check  checkCmd  `cmd:"" help:"Check a stopped relay's state folder. Changes nothing. Exit 1 if something that was promised can't be read."`
		Show   showCmd   `cmd:"" help:"Show the messages that a stopped relay's folder holds. Changes nothing."`
		Repair repairCmd `cmd:"" help:"Put a stopped relay's folder in order, as a start would, or into another format."`
	} `cmd:"" help:"A relay's state folder."`
	Members membersCmd `cmd:"" help:"Show who is in the fleet, as one relay sees it. Exit 1 if its view is not agreed on."`
	Duties  struct {
		List     dutiesCmd   `cmd:"" default:"withargs" help:"Show every duty, who holds it under which epoch, and for how long without another word."`
		StepDown stepDownCmd `cmd:"" help:"Have a duty's holder step down, and wait until it has."`
	} `cmd:"" help:"What one process of the fleet does at a time."`
	Stewards struct {
		List   stewardsCmd `cmd:"" default:"withargs" help:"Show the stewards. Exit 1 if none of them leads, or one does not answer."`
		Begin  beginCmd    `cmd:"" help:"Have a first steward begin; the others, whose seeds name it, join it. Once in the life of a fleet."`
		Remove removeCmd   `cmd:"" help:"Take a steward's place away, by name."`
	} `cmd:"" help:"Those that agree on duties. A lost majority: cherrytrestle-steward recover."`
	Fleet  fleetCmd `cmd:"" help:"Show the fleet's figures, added up by the holder of fleet-figures."`
	Config struct {
		Check configCmd `cmd:"" help:"Check a settings file."`
	} `cmd:"" help:"The settings file."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs one run line and returns its exit code: 0 done, 1 something is broken, 2 wrong use or not done.
func run(args []string, out, errOut io.Writer) (code int) {
	var c cli
	exited := -1
	parser := kong.Must(&c, kong.Name("cherrytrestlectl"), kong.Description("The operators' command of the relay fleet."),
		kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code; panic(parserExit{}) }))
	defer func() {
		if x := recover(); x != nil {
			if _, ok := x.(parserExit); !ok {
				panic(x)
			}
			if code = exited; code != 0 {
				code = 2
			}
		}
	}()
	cmd, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "cherrytrestlectl:", err)
		return 2
	}
	cmd.BindTo(out, (*io.Writer)(nil))
	switch err := cmd.Run(&c); {
	case errors.Is(err, errCheckFailed):
		return 1
	case err != nil:
		fmt.Fprintln(errOut, "cherrytrestlectl:", err)
		return 2
	}
	return 0
}

// parserExit ends the parser where --help has been answered.
type parserExit struct{}

type checkCmd struct {
	Dir string `arg:"" help:"The folder, ROUTER_STATE of the relay."`
}

func (c *checkCmd) Run(all *cli, out io.Writer) error {
	f, err := recovery.Read(c.Dir)
	if err != nil {
		return err
	}
	if all.JSON {
		if err := json.NewEncoder(out).Encode(f); err != nil {
			return err
		}
	} else {
		printSummary(out, f)
	}
	if !f.Log.Intact() {
		return errCheckFailed
	}
	return nil
}

func printSummary(out io.Writer, f *recovery.Folder) {
	fmt.Fprint(out, f.Log.Summary())
	counts := map[string]int{}
	for _, m := range f.Messages {
		counts[m.State]++
	}
	fmt.Fprintf(out, "%d messages: %d held, %d in doubt, %d ended whose notice was not taken yet, %d withdrawn that may have run.\n",
		len(f.Messages), counts["held"], counts["in doubt"], counts["ended"], counts["withdrawn"])
	if len(f.Excluded) > 0 {
		fmt.Fprintf(out, "Endpoints out by hand: %v\n", f.Excluded)
	}
	if !f.Partners.IsZero() {
		fmt.Fprintf(out, "What is known of partners was put down at %s; a start within 10 s takes it up.\n",
			f.Partners.Format(time.RFC3339))
	}
	fmt.Fprintf(out, "%d bytes on disk.\n", f.Bytes)
}

type showCmd struct {
	Dir string `arg:"" help:"The folder."`
}

func (c *showCmd) Run(all *cli, out io.Writer) error {
	f, err := recovery.Read(c.Dir)
	if err != nil {
		return err
	}
	if all.JSON {
		return json.NewEncoder(out).Encode(f.Messages)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ID\tTRACE\tCLASS\tDESTINATION\tDEADLINE\tATTEMPTS\tMAY HAVE RUN\tSTATE")
	for _, m := range f.Messages {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\t%d\t%d\t%s\n", m.ID, m.Trace, m.Class, m.Dest, m.Deadline.Format(time.RFC3339Nano),
			m.Attempts, m.MayRun, m.State)
	}
	return w.Flush()
}

type repairCmd struct {
	Dir    string  `arg:"" help:"The folder."`
	Format int     `enum:"0,1,2" default:"0" help:"1: one file, which every version reads. 2: segments. 0: the format that it has."`
	Adopt  string  `help:"Give the folder to the relay of this name. The relay that it was kept by must never serve again."`
	DiskMB float64 `name:"disk-mb" default:"3" help:"The relay's disk limit."`
}

func (c *repairCmd) Run(_ *cli, out io.Writer) error {
	before, err := recovery.Repair(c.Dir, c.Format, c.Adopt, int64(c.DiskMB*1e6))
	if before != nil {
		fmt.Fprintln(out, "Before:")
		printSummary(out, before)
	}
	if err != nil {
		return err
	}
	after, err := recovery.Read(c.Dir)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "\nNow:")
	printSummary(out, after)
	return nil
}

type configCmd struct {
	File string `arg:"" help:"The file."`
}

func (c *configCmd) Run(_ *cli, out io.Writer) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := settings.Parse(c.File, data); err != nil {
		fmt.Fprintln(out, err)
		return errCheckFailed
	}
	fmt.Fprintln(out, c.File, "is in order")
	return nil
}
