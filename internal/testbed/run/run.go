// Package run plays an experiment: it draws the plan, brings up the platform and the relays, lets load and faults loose on
// them, and has what came of it judged.
package run

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/audit"
	"onyxroad.dev/onyxroad/internal/testbed/build"
	"onyxroad.dev/onyxroad/internal/testbed/duties"
	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/ledger"
	"onyxroad.dev/onyxroad/internal/testbed/load"
	"onyxroad.dev/onyxroad/internal/testbed/network"
	"onyxroad.dev/onyxroad/internal/testbed/plan"
	"onyxroad.dev/onyxroad/internal/testbed/platform"
	"onyxroad.dev/onyxroad/internal/testbed/process"
)

const (
	settle = 300 * time.Millisecond // from ready to the first message
	// After the last message a run goes on until all is ended; no longer than this, under --quick than that, which is the time that
	// the longest class has.
	drainMost, drainQuick = 30 * time.Second, 28500 * time.Millisecond
	// latenessMost is how late the testbed's own clients may be, at the 99th percentile. Later, the machine was too loaded
	// for its figures to mean anything.
	latenessMost = 20 * time.Millisecond
	breachesKept = 200
)

// ErrInvalid tells that the machine was too loaded: the run's figures say nothing about the relays.
var ErrInvalid = errors.New("run invalid")

// Options say what to play.
type Options struct {
	Experiment *experiment.Experiment
	Seed       uint64
	Quick      bool
	Program    string // the relay's; the stewards' stands beside it
	Revision   string
	Out        string    // folder for the results; made if it is not there
	Progress   io.Writer // a line a second; nil: none
	Without    []int     // places of the experiment's faults that are left out
}

// Bound is a bound with its value in a run.
type Bound struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	Op    string  `json:"op"`
	OK    bool    `json:"ok"`
}

// Result is what a run came to.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Quick      bool               `json:"quick"`
	Revision   string             `json:"revision"`
	Relays     int                `json:"relays"`
	Bounds     []Bound            `json:"bounds"`
	Figures    map[string]float64 `json:"figures"`
	Broken     map[string]float64 `json:"broken"`
	Breaches   []audit.Breach     `json:"breaches"`
	Invalid    string             `json:"invalid,omitempty"`
}

// OK tells whether every bound holds and no rule is broken.
func (r *Result) OK() bool {
	for _, b := range r.Bounds {
		if !b.OK {
			return false
		}
	}
	return r.Invalid == ""
}

// Run plays an experiment. With ErrInvalid there is a result, too, whose figures are not to be used.
func Run(ctx context.Context, o Options) (*Result, error) {
	p := plan.Draw(o.Experiment, o.Seed, o.Quick)
	p.Faults = slices.DeleteFunc(p.Faults, func(f plan.Fault) bool { return slices.Contains(o.Without, f.Origin) })
	if err := os.MkdirAll(o.Out, 0o700); err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	if err := writePlan(p, filepath.Join(o.Out, "plan.txt")); err != nil {
		return nil, err
	}
	home, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	defer os.RemoveAll(home)
	ports, err := platform.TakePorts()
	if err != nil {
		return nil, err
	}
	defer ports.Release()
	c := &conductor{o: o, plan: p, book: ledger.New()}
	if c.platform, err = platform.New(p, c.book, ports); err != nil {
		return nil, err
	}
	defer c.platform.Close()
	if o.Experiment.GossipSuffers() {
		if err := c.platform.OpenGossip(); err != nil {
			return nil, err
		}
	}
	if n := o.Experiment.Fleet.Stewards; n > 0 {
		starter := process.NewStarter()
		defer starter.End()
		c.stewards, err = duties.StartStewards(ctx, n, filepath.Join(filepath.Dir(o.Program), build.Steward), home, ports.Base(), starter)
		if err != nil {
			return nil, err
		}
		defer c.stewards.Close()
	}
	c.fleet = process.New(p, c.book, ports, c.platform, o.Program, home)
	defer c.fleet.Close()
	if c.stewards != nil {
		c.fleet.Stewards = c.stewards.Addresses()
	}
	c.load = load.New(p, c.book, ports.Relay, c.fleet.Alive)
	c.platform.Ended = c.load.Ended
	if err := c.fleet.Start(ctx); err != nil {
		return nil, err
	}
	c.play(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return c.judge()
}

func writePlan(p *plan.Plan, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("run: %w", err)
	}
	if err := errors.Join(p.Write(f), f.Close()); err != nil {
		return fmt.Errorf("run: write the plan: %w", err)
	}
	return nil
}

// conductor is one run.
type conductor struct {
	o           Options
	plan        *plan.Plan
	book        *ledger.Ledger
	platform    *platform.Platform
	fleet       *process.Fleet
	stewards    *duties.StewardCluster // nil: none
	load        *load.Load
	offset, end time.Duration
}

// play has messages, peers and faults come, and waits until all is ended.
func (c *conductor) play(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.offset = c.book.Now() + max(settle, c.plan.Experiment.Fleet.Settle.D())
	c.platform.Run(c.offset)
	var all sync.WaitGroup
	all.Go(func() { c.load.RunHostile(ctx, c.offset) })
	all.Go(func() { c.load.RunCrowd(ctx, c.offset) })
	for i := range c.plan.Faults {
		all.Go(func() { c.fault(ctx, &c.plan.Faults[i]) })
	}
	if c.plan.Experiment.Fleet.Loners > 0 {
		all.Go(func() {
			if network.Sleep(ctx, c.offset+c.plan.Length/2-c.book.Now()) == nil {
				c.fleet.Traffic(ctx, c.plan.Length*2/5)
			}
		})
	}
	all.Go(func() { c.progress(ctx) })
	c.load.Run(ctx, c.offset)
	most := drainMost
	if c.o.Quick {
		most = drainQuick
	}
	for by := c.offset + c.plan.Length + most; c.book.Now() < by && !c.drained(); {
		if network.Sleep(ctx, 100*time.Millisecond) != nil {
			break
		}
	}
	c.end = c.book.Now()
	cancel()
	all.Wait()
	c.load.Wait()
}

// drained tells whether every message that was taken on has its end, and none may still come again.
func (c *conductor) drained() bool {
	if c.book.Now() < c.offset+c.plan.Length+2*time.Second {
		return false
	}
	done := true
	c.book.Do(func() {
		ended := map[string]bool{}
		for _, x := range c.book.Calls {
			if x.Status == 200 {
				for _, t := range x.Traces {
					ended[t] = true
				}
			}
		}
		for _, n := range c.book.Notices {
			ended[n.Trace] = true
		}
		for _, h := range c.book.HandIns {
			if h.Answered != ledger.Never && h.Status < 300 && !ended[h.Trace] {
				done = false
				return
			}
		}
	})
	return done
}

// fault has one fault begin and end.
func (c *conductor) fault(ctx context.Context, f *plan.Fault) {
	if network.Sleep(ctx, c.offset+f.At-c.book.Now()) != nil || c.fleet.Begin(f) {
		return
	}
	if f.Kind == "stewards" {
		if err := c.stewards.Outage(ctx, f.For); err != nil {
			fmt.Fprintf(os.Stderr, "testbed: %s: %v\n", f.Kind, err)
		}
		return
	}
	if _, err := c.platform.Begin(f); err != nil {
		fmt.Fprintf(os.Stderr, "testbed: %s: %v\n", f.Kind, err)
	}
	network.Sleep(ctx, f.For)
	if err := c.platform.End(f); err != nil {
		fmt.Fprintf(os.Stderr, "testbed: end of %s: %v\n", f.Kind, err)
	}
}

// progress says once a second how far the run is.
func (c *conductor) progress(ctx context.Context) {
	if c.o.Progress == nil {
		return
	}
	for network.Sleep(ctx, time.Second) == nil {
		var handed, calls int
		c.book.Do(func() { handed, calls = len(c.book.HandIns), len(c.book.Calls) })
		fmt.Fprintf(c.o.Progress, "\r%s seed %d: %3.0f of %.0f s, %d of %d messages handed in, %d calls   ", c.o.Experiment.Name, c.o.Seed,
			(c.book.Now() - c.offset).Seconds(), c.plan.Length.Seconds(), handed, len(c.plan.Arrivals), calls)
	}
	fmt.Fprintln(c.o.Progress)
}

// judge has the ledger judged and writes the result.
func (c *conductor) judge() (*Result, error) {
	// What still runs must not write while the judge reads.
	c.fleet.Close()
	c.platform.Close()
	if err := c.fleet.Views(); err != nil {
		return nil, err
	}
	if c.plan.Experiment.Fleet.Debug {
		if err := c.fleet.Recovered(); err != nil {
			return nil, err
		}
	}
	fates := audit.Fates(c.plan, c.book, c.offset)
	breaches := audit.Judge(c.plan, c.book, c.offset, c.end)
	r := &Result{Experiment: c.o.Experiment.Name, Seed: c.o.Seed, Quick: c.o.Quick, Revision: c.o.Revision, Relays: len(c.plan.Relays),
		Figures: audit.Figures(c.plan, c.book, fates, c.offset), Broken: audit.Count(breaches),
		Breaches: breaches[:min(len(breaches), breachesKept)]}
	if c.plan.Experiment.Fleet.Members {
		audit.Views(c.plan, c.book, c.offset, r.Figures)
		if c.plan.Experiment.Fleet.Loners > 0 {
			audit.Rest(c.plan, c.book, c.offset, r.Figures)
		}
	}
	r.Figures["lateness_p99_ms"] = c.load.Lateness(99).Seconds() * 1000
	r.Figures["broken_rules"] = float64(len(breaches))
	for name, n := range r.Broken {
		r.Figures["broken_"+name] = n
	}
	for name, v := range r.Figures {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			r.Figures[name] = -1 // there was nothing to measure
		}
	}
	bounds := append([]experiment.Bound{{Name: "broken_rules", Op: "<=", Limit: 0}}, c.o.Experiment.Bounds...)
	if late := c.load.Lateness(99); late > latenessMost {
		r.Invalid = fmt.Sprintf("the testbed's own clients were %v late at the 99th percentile, over %v: the machine was too loaded", late, latenessMost)
	}
	if len(breaches) > 0 && c.plan.Experiment.Fleet.Debug {
		if err := c.fleet.KeepLogs(filepath.Join(c.o.Out, "logs")); err != nil {
			return nil, err
		}
	}
	if err := writeJSON(filepath.Join(c.o.Out, "series.json"), c.series(fates)); err != nil {
		return nil, err
	}
	if err := r.Conclude(bounds, c.o.Out); err != nil {
		return nil, err
	}
	if r.Invalid != "" {
		return r, fmt.Errorf("%w: %s", ErrInvalid, r.Invalid)
	}
	return r, nil
}

// Conclude holds the figures against their bounds, and writes the result into a folder.
func (r *Result) Conclude(bounds []experiment.Bound, dir string) error {
	for _, b := range bounds {
		v, ok := r.Figures[b.Name]
		if !ok {
			return fmt.Errorf("run: bound on %q, which no run measures", b.Name)
		}
		r.Bounds = append(r.Bounds, Bound{b.Name, v, b.Limit, b.Op, b.Op == "<=" && v <= b.Limit || b.Op == ">=" && v >= b.Limit})
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return writeJSON(filepath.Join(dir, "result.json"), r)
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return fmt.Errorf("run: %s: %w", filepath.Base(path), err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o600); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}
