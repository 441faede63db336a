// Package run runs an experiment: it draws the plan, starts the platform and the relays, applies load and faults, and
// evaluates the result.
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
	settleTime = 300 * time.Millisecond // from when all relays are ready to the first message
	// After the last message a run continues until every message has ended, for at most this long. The limit under --quick
	// covers the longest deadline of a class.
	drainTimeout, quickDrainTimeout = 30 * time.Second, 28500 * time.Millisecond
	// maxLateness is how late the testbed's own clients may be at the 99th percentile. Beyond it the machine was too loaded
	// for the figures to be meaningful.
	maxLateness   = 20 * time.Millisecond
	maxViolations = 200
)

// ErrInvalid reports that the machine was too loaded, so that the run's figures say nothing about the relays.
var ErrInvalid = errors.New("run invalid")

// Options configures a run.
type Options struct {
	Experiment    *experiment.Experiment
	Seed          uint64
	Quick         bool
	Program       string // path of the relay; the steward's program is in the same folder
	Revision      string
	Out           string    // folder for the results; created if missing
	Progress      io.Writer // receives a line per second; nil: no progress
	SkippedFaults []int     // indices of the experiment's faults to skip
}

// Bound is a bound with its value in a run.
type Bound struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Limit float64 `json:"limit"`
	Op    string  `json:"op"`
	OK    bool    `json:"ok"`
}

// Result is the result of a run.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Quick      bool               `json:"quick"`
	Revision   string             `json:"revision"`
	Relays     int                `json:"relays"`
	Bounds     []Bound            `json:"bounds"`
	Figures    map[string]float64 `json:"figures"`
	RuleCounts map[string]float64 `json:"broken"`
	Violations []audit.Violation  `json:"breaches"`
	Invalid    string             `json:"invalid,omitempty"`
}

// OK reports whether the run is valid and every bound holds, among them the one that no rule is violated.
func (r *Result) OK() bool {
	for _, b := range r.Bounds {
		if !b.OK {
			return false
		}
	}
	return r.Invalid == ""
}

// Run runs an experiment. With ErrInvalid it also returns a result, whose figures must not be used.
func Run(ctx context.Context, o Options) (*Result, error) {
	p := plan.Draw(o.Experiment, o.Seed, o.Quick)
	p.Faults = slices.DeleteFunc(p.Faults, func(f plan.Fault) bool { return slices.Contains(o.SkippedFaults, f.Origin) })
	if err := os.MkdirAll(o.Out, 0o700); err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	if err := writePlan(p, filepath.Join(o.Out, "plan.txt")); err != nil {
		return nil, err
	}
	tempDir, err := os.MkdirTemp("", "testbed-")
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	defer os.RemoveAll(tempDir)
	ports, err := platform.ReservePorts()
	if err != nil {
		return nil, err
	}
	defer ports.Release()
	rn := &runner{options: o, plan: p, ledger: ledger.New()}
	if rn.platform, err = platform.New(p, rn.ledger, ports); err != nil {
		return nil, err
	}
	defer rn.platform.Close()
	if o.Experiment.DisruptsGossip() {
		if err := rn.platform.ForwardGossip(); err != nil {
			return nil, err
		}
	}
	if n := o.Experiment.Fleet.Stewards; n > 0 {
		starter := process.NewStarter()
		defer starter.Stop()
		rn.stewards, err = duties.StartStewards(ctx, n, filepath.Join(filepath.Dir(o.Program), build.Steward), tempDir, ports.Base(), starter)
		if err != nil {
			return nil, err
		}
		defer rn.stewards.Close()
	}
	rn.fleet = process.New(p, rn.ledger, ports, rn.platform, o.Program, tempDir)
	defer rn.fleet.Close()
	if rn.stewards != nil {
		rn.fleet.Stewards = rn.stewards.Addresses()
	}
	rn.load = load.New(p, rn.ledger, ports.Relay, rn.fleet.Alive)
	rn.platform.OnNotice = rn.load.HandleNotice
	if err := rn.fleet.Start(ctx); err != nil {
		return nil, err
	}
	rn.execute(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	return rn.evaluate()
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

// runner is the state of one run.
type runner struct {
	options     Options
	plan        *plan.Plan
	ledger      *ledger.Ledger
	platform    *platform.Platform
	fleet       *process.Fleet
	stewards    *duties.StewardCluster // nil: no stewards
	load        *load.Load
	offset, end time.Duration
}

// execute applies the messages, hostile peers and faults, and waits until every message has ended.
func (rn *runner) execute(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	rn.offset = rn.ledger.Now() + max(settleTime, rn.plan.Experiment.Fleet.Settle.D())
	rn.platform.Run(rn.offset)
	var workers sync.WaitGroup
	workers.Go(func() { rn.load.RunHostilePeers(ctx, rn.offset) })
	workers.Go(func() { rn.load.RunIdleClients(ctx, rn.offset) })
	for i := range rn.plan.Faults {
		workers.Go(func() { rn.injectFault(ctx, &rn.plan.Faults[i]) })
	}
	if rn.plan.Experiment.Fleet.NonMembers > 0 {
		workers.Go(func() {
			if network.Sleep(ctx, rn.offset+rn.plan.Length/2-rn.ledger.Now()) == nil {
				rn.fleet.MeasureTraffic(ctx, rn.plan.Length*2/5)
			}
		})
	}
	workers.Go(func() { rn.printProgress(ctx) })
	rn.load.Run(ctx, rn.offset)
	timeout := drainTimeout
	if rn.options.Quick {
		timeout = quickDrainTimeout
	}
	for by := rn.offset + rn.plan.Length + timeout; rn.ledger.Now() < by && !rn.drained(); {
		if network.Sleep(ctx, 100*time.Millisecond) != nil {
			break
		}
	}
	rn.end = rn.ledger.Now()
	cancel()
	workers.Wait()
	rn.load.Wait()
}

// drained reports whether every accepted message has ended and no client may submit one again.
func (rn *runner) drained() bool {
	if rn.ledger.Now() < rn.offset+rn.plan.Length+2*time.Second {
		return false
	}
	done := true
	rn.ledger.Update(func() {
		ended := map[string]bool{}
		for _, x := range rn.ledger.Calls {
			if x.Status == 200 {
				for _, t := range x.Traces {
					ended[t] = true
				}
			}
		}
		for _, n := range rn.ledger.Notices {
			ended[n.Trace] = true
		}
		for _, h := range rn.ledger.Submissions {
			if h.Answered != ledger.Never && h.Status < 300 && !ended[h.Trace] {
				done = false
				return
			}
		}
	})
	return done
}

// injectFault starts a fault at its time and ends it after its duration.
func (rn *runner) injectFault(ctx context.Context, f *plan.Fault) {
	if network.Sleep(ctx, rn.offset+f.At-rn.ledger.Now()) != nil || rn.fleet.BeginFault(f) {
		return
	}
	if f.Kind == "stewards" {
		if err := rn.stewards.Outage(ctx, f.For); err != nil {
			fmt.Fprintf(os.Stderr, "testbed: %s: %v\n", f.Kind, err)
		}
		return
	}
	if _, err := rn.platform.BeginFault(f); err != nil {
		fmt.Fprintf(os.Stderr, "testbed: %s: %v\n", f.Kind, err)
	}
	network.Sleep(ctx, f.For)
	if err := rn.platform.EndFault(f); err != nil {
		fmt.Fprintf(os.Stderr, "testbed: ending %s: %v\n", f.Kind, err)
	}
}

// printProgress prints the run's progress every second.
func (rn *runner) printProgress(ctx context.Context) {
	if rn.options.Progress == nil {
		return
	}
	for network.Sleep(ctx, time.Second) == nil {
		var handed, calls int
		rn.ledger.Update(func() { handed, calls = len(rn.ledger.Submissions), len(rn.ledger.Calls) })
		fmt.Fprintf(rn.options.Progress, "\r%s seed %d: %3.0f of %.0f s, %d of %d messages submitted, %d calls   ", rn.options.Experiment.Name, rn.options.Seed,
			(rn.ledger.Now() - rn.offset).Seconds(), rn.plan.Length.Seconds(), handed, len(rn.plan.Arrivals), calls)
	}
	fmt.Fprintln(rn.options.Progress)
}

// evaluate checks the ledger and writes the result.
func (rn *runner) evaluate() (*Result, error) {
	// Nothing may write to the ledger while it is evaluated.
	rn.fleet.Close()
	rn.platform.Close()
	if err := rn.fleet.ReadViews(); err != nil {
		return nil, err
	}
	if rn.plan.Experiment.Fleet.Debug {
		if err := rn.fleet.ReadRecoveries(); err != nil {
			return nil, err
		}
	}
	results := audit.MessageResults(rn.plan, rn.ledger, rn.offset)
	violations := audit.Check(rn.plan, rn.ledger, rn.offset, rn.end)
	r := &Result{Experiment: rn.options.Experiment.Name, Seed: rn.options.Seed, Quick: rn.options.Quick, Revision: rn.options.Revision, Relays: len(rn.plan.Relays),
		Figures: audit.Figures(rn.plan, rn.ledger, results, rn.offset), RuleCounts: audit.CountByRule(violations),
		Violations: violations[:min(len(violations), maxViolations)]}
	if rn.plan.Experiment.Fleet.Members {
		audit.ViewFigures(rn.plan, rn.ledger, rn.offset, r.Figures)
		if rn.plan.Experiment.Fleet.NonMembers > 0 {
			audit.IdleFigures(rn.plan, rn.ledger, rn.offset, r.Figures)
		}
	}
	r.Figures["lateness_p99_ms"] = rn.load.Lateness(99).Seconds() * 1000
	r.Figures["broken_rules"] = float64(len(violations))
	for name, n := range r.RuleCounts {
		r.Figures["broken_"+name] = n
	}
	for name, v := range r.Figures {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			r.Figures[name] = -1 // nothing was measured
		}
	}
	bounds := append([]experiment.Bound{{Name: "broken_rules", Op: "<=", Limit: 0}}, rn.options.Experiment.Bounds...)
	if late := rn.load.Lateness(99); late > maxLateness {
		r.Invalid = fmt.Sprintf("the testbed's own clients were %v late at the 99th percentile, over %v: the machine was too loaded", late, maxLateness)
	}
	if len(violations) > 0 && rn.plan.Experiment.Fleet.Debug {
		if err := rn.fleet.KeepLogs(filepath.Join(rn.options.Out, "logs")); err != nil {
			return nil, err
		}
	}
	if err := writeJSON(filepath.Join(rn.options.Out, "series.json"), rn.series(results)); err != nil {
		return nil, err
	}
	if err := r.Finish(bounds, rn.options.Out); err != nil {
		return nil, err
	}
	if r.Invalid != "" {
		return r, fmt.Errorf("%w: %s", ErrInvalid, r.Invalid)
	}
	return r, nil
}

// Finish compares the figures with their bounds and writes the result to a folder.
func (r *Result) Finish(bounds []experiment.Bound, dir string) error {
	for _, b := range bounds {
		v, ok := r.Figures[b.Name]
		if !ok {
			return fmt.Errorf("run: there is no figure %q for a bound", b.Name)
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
