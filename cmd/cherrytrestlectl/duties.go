package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"onyxroad.dev/onyxroad/internal/duty/call"
	"onyxroad.dev/onyxroad/internal/duty/figures"
)

// stewardTimeout bounds how long the stewards may take to agree on something, including the election of a new leader.
const stewardTimeout = 10 * time.Second

// stewardFlags are the flags of commands that contact the stewards.
type stewardFlags struct {
	Stewards []string `required:"" env:"IVYGAUGE_STEWARDS" help:"API addresses of the stewards (host:port); one reachable steward is enough."`
}

// do sends a request to the leader of the stewards.
func (f *stewardFlags) do(path string, in, out any, wait time.Duration) error {
	client := call.NewClient(f.Stewards, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), wait+stewardTimeout)
	defer cancel()
	return client.Do(ctx, path, in, out, wait)
}

type dutiesCmd struct {
	stewardFlags
}

func (c *dutiesCmd) Run(all *cli, out io.Writer) error {
	var d call.DutiesOut
	if err := c.do(call.PathDuties, nil, &d, 0); err != nil {
		return err
	}
	if all.JSON {
		return json.NewEncoder(out).Encode(d)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DUTY\tHOLDER\tADDRESS\tEPOCH\tLEASE LEFT\tWAITING\t")
	for _, x := range d.Duties {
		holder, note := x.Holder, ""
		switch {
		case holder == "":
			holder = "nobody"
		case x.Left == 0:
			note = "its lease is over"
		case x.Asked:
			note = "asked to step down"
		}
		if x.To != "" {
			note = "handed to " + x.To
		}
		if x.Quick > 1 {
			note = fmt.Sprintf("%d holders in a row ended early", x.Quick)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%d\t%s\n", x.Duty, holder, x.Addr, x.Epoch, x.Left.Round(10*time.Millisecond), x.Waiting, note)
	}
	return w.Flush()
}

type stepDownCmd struct {
	stewardFlags
	Duty string        `arg:"" help:"The duty."`
	To   string        `help:"Holder that gets the duty next; default: the one that has waited longest."`
	Bar  time.Duration `default:"1m" help:"How long the present holder is barred from the duty, at most one hour."`
}

func (c *stepDownCmd) Run(all *cli, out io.Writer) error {
	began := time.Now()
	var d call.Duty
	if err := c.do(call.PathStepDown, call.StepDownIn{Duty: c.Duty, To: c.To, BarMS: c.Bar.Milliseconds()}, &d, call.MaxWait); err != nil {
		return err
	}
	if all.JSON {
		return json.NewEncoder(out).Encode(d)
	}
	fmt.Fprintf(out, "%s was released after %v\n", c.Duty, time.Since(began).Round(time.Millisecond))
	return nil
}

type stewardsCmd struct {
	stewardFlags
}

func (c *stewardsCmd) Run(all *cli, out io.Writer) error {
	client := call.NewClient(c.Stewards, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), stewardTimeout)
	defer cancel()
	var known call.StewardsOut
	var err error
	for _, a := range c.Stewards {
		var one call.StewardsOut
		if _, e := client.DoAt(ctx, a, call.PathStewards, nil, &one, 0); e != nil {
			err = e
		} else if one.Applied >= known.Applied && len(one.Stewards) >= len(known.Stewards) {
			known = one
		}
	}
	if known.Self == "" {
		return fmt.Errorf("no steward answers: %w", err)
	}
	if all.JSON {
		if err := json.NewEncoder(out).Encode(known); err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "cluster %s, era %d, term %d\n", known.Cluster, known.Era, known.Term)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !all.JSON {
		fmt.Fprintln(w, "STEWARD\tADDRESS\tAPI\tTERM\tAPPLIED\t")
	}
	hasLeader, unreachable := false, false
	for _, s := range known.Stewards {
		var one call.StewardsOut
		note := ""
		if _, err := client.DoAt(ctx, s.API, call.PathStewards, nil, &one, 0); err != nil {
			note, unreachable = "does not answer", true
		} else if s.Leader {
			note, hasLeader = "leads", true
		}
		if !all.JSON {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", s.ID, s.Listen, s.API, one.Term, one.Applied, note)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if !hasLeader || unreachable {
		return errCheckFailed
	}
	return nil
}

type beginCmd struct {
	Addr string `arg:"" help:"API address of the first steward (host:port)."`
}

func (c *beginCmd) Run(_ *cli, out io.Writer) error {
	client := call.NewClient(nil, nil)
	defer client.Close()
	var x call.JoinOut
	if _, err := client.DoAt(context.Background(), c.Addr, call.PathBegin, call.Empty{}, &x, stewardTimeout); err != nil {
		return err
	}
	fmt.Fprintf(out, "cluster %s created\n", x.Cluster)
	return nil
}

type removeCmd struct {
	stewardFlags
	Name string `arg:"" help:"Name of the steward."`
}

func (c *removeCmd) Run(_ *cli, out io.Writer) error {
	if err := c.do(call.PathRemove, call.RemoveIn{ID: c.Name}, &call.Empty{}, stewardTimeout); err != nil {
		return err
	}
	fmt.Fprintln(out, "removed steward", c.Name)
	return nil
}

type fleetCmd struct {
	stewardFlags
}

func (c *fleetCmd) Run(_ *cli, out io.Writer) error {
	var d call.DutiesOut
	if err := c.do(call.PathDuties, nil, &d, 0); err != nil {
		return err
	}
	for _, x := range d.Duties {
		if x.Duty != figures.Duty || x.Holder == "" {
			continue
		}
		client := &http.Client{Timeout: relayTimeout}
		res, err := client.Get("http://" + x.Addr + "/api/fleet")
		if err != nil {
			return fmt.Errorf("ask %s: %w", x.Holder, err)
		}
		defer res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return fmt.Errorf("%s does not provide fleet figures: %s", x.Holder, res.Status)
		}
		if _, err := io.Copy(out, res.Body); err != nil {
			return err
		}
		fmt.Fprintln(out)
		return nil
	}
	return errors.New("no relay holds " + figures.Duty)
}
