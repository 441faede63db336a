// Command cherrytrestlectl is the command-line tool for operators of the relay fleet.
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

// errCheckFailed makes the command exit with 1; the failure has been printed.
var errCheckFailed = errors.New("check failed")

type cli struct {
	JSON  bool `help:"Print JSON."`
	State struct {
		Check  checkCmd  `cmd:"" help:"Check a stopped relay's state folder. Changes nothing. Exit 1 if accepted messages can't be read."`
		Show   showCmd   `cmd:"" help:"Show the messages that a stopped relay's folder holds. Changes nothing."`
		Trace  traceCmd  `cmd:"" help:"Show what became of a request. Changes nothing. Exit 1 if the folder does not know its trace id."`
		Repair repairCmd `cmd:"" help:"Repair a stopped relay's folder, as a start would, or convert it to another format."`
	} `cmd:"" help:"A relay's state folder."`
	Members membersCmd `cmd:"" help:"Show the members of the fleet as one relay sees them. Exit 1 if its view is not agreed."`
	Duties  struct {
		List     dutiesCmd   `cmd:"" default:"withargs" help:"Show every duty with its holder, its epoch and the time left of its lease."`
		StepDown stepDownCmd `cmd:"" help:"Ask a duty's holder to step down and wait until it has."`
	} `cmd:"" help:"Duties, each of which only one process of the fleet performs at a time."`
	Stewards struct {
		List   stewardsCmd `cmd:"" default:"withargs" help:"Show the stewards. Exit 1 if none of them leads, or one does not answer."`
		Begin  beginCmd    `cmd:"" help:"Create the cluster on a first steward; others that list it as a seed join it. Done once per fleet."`
		Remove removeCmd   `cmd:"" help:"Remove a steward by name."`
	} `cmd:"" help:"The stewards, which agree on duties. To recover from a lost majority: cherrytrestle-steward recover."`
	Fleet  fleetCmd `cmd:"" help:"Show the fleet's figures, summed by the holder of the duty fleet-figures."`
	Config struct {
		Check configCmd `cmd:"" help:"Check a settings file."`
	} `cmd:"" help:"The settings file."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns its exit code: 0 success, 1 a check failed, 2 usage or execution error.
func run(args []string, out, errOut io.Writer) (code int) {
	var c cli
	exited := -1
	parser := kong.Must(&c, kong.Name("cherrytrestlectl"), kong.Description("Command-line tool for operators of the relay fleet."),
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

// parserExit is the panic value that unwinds the parser after it has printed --help.
type parserExit struct{}

type checkCmd struct {
	Dir string `arg:"" help:"State folder, ROUTER_STATE of the relay."`
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
	fmt.Fprintf(out, "%d messages: %d held, %d in doubt, %d ended with an undelivered notice, %d withdrawn that may have run.\n",
		len(f.Messages), counts["held"], counts["in doubt"], counts["ended"], counts["withdrawn"])
	if len(f.Excluded) > 0 {
		fmt.Fprintf(out, "Endpoints excluded by operators: %v\n", f.Excluded)
	}
	if !f.Partners.IsZero() {
		fmt.Fprintf(out, "Partner state was saved at %s; a start within 10 s restores it.\n",
			f.Partners.Format(time.RFC3339))
	}
	fmt.Fprintf(out, "%d bytes on disk.\n", f.Bytes)
}

type showCmd struct {
	Dir string `arg:"" help:"State folder."`
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

type traceCmd struct {
	Dir   string `arg:"" help:"State folder."`
	Trace string `arg:"" help:"Trace id of the request."`
}

func (c *traceCmd) Run(all *cli, out io.Writer) error {
	r, err := recovery.FindRequest(c.Dir, c.Trace)
	if err != nil {
		return err
	}
	if all.JSON {
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	} else {
		printRequest(out, r)
	}
	if !r.Known() {
		return errCheckFailed
	}
	return nil
}

func printRequest(out io.Writer, r *recovery.Request) {
	if m := r.Message; m != nil {
		fmt.Fprintf(out, "%s: message %d for destination %d, due at %s, %d attempts of which %d may have run: %s.\n", r.Trace, m.ID, m.Dest,
			m.Deadline.Format(time.RFC3339Nano), m.Attempts, m.MayRun, m.State)
	}
	if r.Ended != "" {
		fmt.Fprintf(out, "%s: ended, %s. The time of its end is not kept.\n", r.Trace, r.Ended)
	}
	if !r.Known() {
		fmt.Fprintf(out, "%s: not known. It was never submitted, its client withdrew it, or its end was forgotten for lack of room.\n", r.Trace)
	}
}

type repairCmd struct {
	Dir    string  `arg:"" help:"State folder."`
	Format int     `enum:"0,1,2" default:"0" help:"1: single file, readable by every version. 2: segments. 0: keep the present format."`
	Adopt  string  `help:"Assign the folder to the relay with this name. The relay that owned it must never serve again."`
	DiskMB float64 `name:"disk-mb" default:"3" help:"Disk limit of the relay in MB."`
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
	File string `arg:"" help:"Settings file."`
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
	fmt.Fprintln(out, c.File, "is valid")
	return nil
}
