package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"onyxroad.dev/onyxroad/internal/membership"
)

// relayTimeout bounds how long a relay may take to answer.
const relayTimeout = 3 * time.Second

type membersCmd struct {
	Addr  string        `required:"" help:"Admin address of a relay (host:port)."`
	Watch bool          `help:"Show every change of the view until interrupted."`
	Every time.Duration `default:"1s" help:"With --watch: polling interval."`
}

func (c *membersCmd) Run(all *cli, out io.Writer) error {
	last := uint64(0)
	for {
		v, err := c.view()
		if err != nil {
			return err
		}
		if v.Version != last {
			last = v.Version
			if err := printView(all.JSON, out, v); err != nil {
				return err
			}
		}
		if !c.Watch {
			if v.Agreement != membership.Agreed {
				return errCheckFailed
			}
			return nil
		}
		time.Sleep(c.Every)
	}
}

func (c *membersCmd) view() (v membership.View, err error) {
	client := &http.Client{Timeout: relayTimeout}
	res, err := client.Get("http://" + c.Addr + "/api/members")
	if err != nil {
		return v, fmt.Errorf("ask %s: %w", c.Addr, err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusNotFound {
		return v, errors.New("this relay is not part of a fleet: its settings have no [membership]")
	}
	if res.StatusCode != http.StatusOK {
		return v, fmt.Errorf("%s answers %s", c.Addr, res.Status)
	}
	if err := json.NewDecoder(res.Body).Decode(&v); err != nil {
		return v, fmt.Errorf("%s: %w", c.Addr, err)
	}
	return v, nil
}

func printView(asJSON bool, out io.Writer, v membership.View) error {
	if asJSON {
		return json.NewEncoder(out).Encode(v)
	}
	now := time.Now()
	fmt.Fprintf(out, "view %d, %s for %v: %d present, %d unreachable, %d may be serving\n", v.Version, v.Agreement,
		now.Sub(v.Since).Round(time.Second), v.Present, v.Unreachable, v.MayServe)
	if len(v.Disagreeing) > 0 {
		fmt.Fprintf(out, "see another view: %v\n", v.Disagreeing)
	}
	if v.Superseded {
		fmt.Fprintln(out, "a newer process has this relay's name")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tBUILDING\tADDRESS\tSTATE\tAGE\tVERSION\tINCARNATION")
	for _, m := range v.Members {
		state, since := string(m.State), m.Since
		if m.Away != membership.Present {
			state, since = string(m.Away), m.AwaySince
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%x\n", m.Name, m.Building, m.Addr, state, now.Sub(since).Round(time.Second), m.Version,
			m.Incarnation)
	}
	return w.Flush()
}
