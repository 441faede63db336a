// Package soak draws experiments in which two or three faults overlap in time, runs them on real relay processes, seed after
// seed, and shrinks one that violates a rule to a minimal set of faults that still does.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
	"onyxroad.dev/onyxroad/internal/testbed/run"
)

const (
	runLength      = 14 * time.Second
	overlapsPerRun = 3    // in a run
	overlapSpan    = 0.04 // part of the length within which the faults of an overlap start
	firstOverlapAt = 0.12
	lastOverlapAt  = 0.62

	resubmittedShare = 0.25 // share of the messages
	crowdedShare     = 0.2  // share of the runs

	slowCrowdShare = 0.5 // share of the runs
	leastMemoryMB  = 32  // of a relay
)

// crowdSize is how many connections idle clients keep open to a relay in a crowded run.
var crowdSize = experiment.NewRange(100, 250)

// faultTemplates are the faults to draw from, without their times.
var faultTemplates = []experiment.Fault{
	{Kind: "term", Share: experiment.NewRange(0.2, 0.7)},
	{Kind: "kill", Share: experiment.NewRange(0.1, 0.6), For: milliRange(600, 900)},
	{Kind: "kill", Share: experiment.NewRange(0.1, 0.3), For: milliRange(600, 900), Size: experiment.NewRange(0.5, 1)},
	{Kind: "replace", Share: experiment.NewRange(0.1, 0.4)},
	{Kind: "move", Share: experiment.NewRange(0.3, 1)},
	{Kind: "pause", Share: experiment.NewRange(0.1, 0.5), For: milliRange(50, 150)},
	{Kind: "starve", Share: experiment.NewRange(0.04, 0.08), For: milliRange(500, 1500)},
	{Kind: "quiet", For: milliRange(500, 4000)},
	{Kind: "late-news", For: milliRange(1000, 3000), Size: experiment.NewRange(0.5, 2)},
	{Kind: "hang", Share: experiment.NewRange(0.2, 0.6), For: milliRange(1000, 4000)},
	{Kind: "down", Share: experiment.NewRange(0.2, 0.5), For: milliRange(500, 4000)},
	{Kind: "errors", Share: experiment.NewRange(0.2, 0.6), For: milliRange(1000, 4000), Size: experiment.NewRange(0.6, 1)},
	{Kind: "slow", Share: experiment.NewRange(0.2, 0.6), For: milliRange(1000, 4000), Size: experiment.NewRange(3, 8)},
	{Kind: "release", Share: experiment.NewRange(0.1, 0.4), For: milliRange(500, 4000)},
	{Kind: "limits", Share: experiment.NewRange(0.3, 0.7), For: milliRange(2000, 4000), Size: experiment.NewRange(0.4, 0.7)},
	{Kind: "cut", For: milliRange(500, 3000)},
	{Kind: "one-way", For: milliRange(500, 3000)},
	{Kind: "reset", Share: experiment.NewRange(0.5, 1), For: milliRange(1000, 4000), Size: experiment.NewRange(0.05, 0.3)},
	{Kind: "answers", Share: experiment.NewRange(0.5, 1), For: milliRange(1000, 4000), Size: experiment.NewRange(0.05, 0.3)},
	{Kind: "silent", Share: experiment.NewRange(0.5, 1), For: milliRange(1000, 3000), Size: experiment.NewRange(0.05, 0.2)},
	{Kind: "delay", Share: experiment.NewRange(0.5, 1), For: milliRange(1000, 3000), Size: experiment.NewRange(3, 8)},
	{Kind: "wall-step", Share: experiment.NewRange(0.3, 1)},
	{Kind: "calls", Share: experiment.NewRange(0.3, 1), For: milliRange(500, 3000)},
	{Kind: "files", Share: experiment.NewRange(0.3, 1), For: milliRange(500, 3000)},
	{Kind: "short", Share: experiment.NewRange(0.3, 1), For: milliRange(1000, 4000)},
}

// milliRange returns a range of durations given in milliseconds.
func milliRange(from, to int) experiment.DurationRange {
	return experiment.DurationRange{Lo: time.Duration(from) * time.Millisecond, Hi: time.Duration(to) * time.Millisecond}
}

// Draw draws the experiment of a seed for a number of relays.
func Draw(seed uint64, relays int) *experiment.Experiment {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	x := experiment.Default()
	x.Name, x.About = "soak", "Overlapping faults"
	x.Length, x.Quick = experiment.Duration(runLength), experiment.Duration(runLength)
	x.Fleet.Relays = experiment.NewRange(float64(relays), float64(relays))
	x.Fleet.QuickRelays = x.Fleet.Relays
	x.Fleet.Debug = true
	x.Fleet.State = []string{"", "", "", "process", "power"}[rng.IntN(5)]
	x.Load.HostileRate, x.Load.LeaveShare, x.Load.HeavyBody = experiment.NewRange(1, 6), experiment.NewRange(0, 0.03), experiment.NewRange(0, 0.03)
	x.Partners.Garbled = experiment.NewRange(0, 0.01)
	x.Load.Resubmitted = resubmittedShare
	for i := range x.Load.Classes { // short, so that the end of a run does not wait for them
		c := &x.Load.Classes[i]
		c.Deadline = experiment.Duration(min(c.Deadline.D(), 7*time.Second))
		c.Window = experiment.Duration(min(c.Window.D(), 3*time.Second))
	}
	drawOverlaps(x, rng)
	drawExtra(x, seed)
	return x
}

// drawOverlaps draws faults that overlap in time.
func drawOverlaps(x *experiment.Experiment, rng *rand.Rand) {
	for overlap := range overlapsPerRun {
		at := firstOverlapAt + (lastOverlapAt-firstOverlapAt)*(float64(overlap)+rng.Float64())/overlapsPerRun
		for range 2 + rng.IntN(2) {
			f := faultTemplates[rng.IntN(len(faultTemplates))]
			begin := at + rng.Float64()*overlapSpan
			f.At = experiment.NewRange(begin, begin)
			x.Faults = append(x.Faults, f)
		}
	}
}

// drawExtra draws the parts that were added to the soak test later. It uses a separate source of random numbers, so that the
// other faults of a seed stay the same.
func drawExtra(x *experiment.Experiment, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x6d6f7265))
	if rng.Float64() < crowdedShare {
		x.Load.IdleConnections = crowdSize
	}
	for _, f := range []experiment.Fault{
		{Kind: "series", Share: experiment.NewRange(0.1, 0.4)},
		{Kind: "torn-write", Share: experiment.NewRange(0.2, 0.5), For: milliRange(150, 600)},
	} {
		at := firstOverlapAt + (lastOverlapAt-firstOverlapAt)*rng.Float64()
		f.At = experiment.NewRange(at, at)
		x.Faults = append(x.Faults, f)
	}
	drawListAndAnswers(x, seed)
	drawSlowCrowd(x, seed)
}

// drawSlowCrowd draws crowds that begin requests and don't finish them, at relays with little memory, and kills in series, after which
// all clients connect again at once.
func drawSlowCrowd(x *experiment.Experiment, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x736c6f77))
	if rng.Float64() < slowCrowdShare {
		x.Load.IdleConnections, x.Load.SlowCrowd = crowdSize, true
		x.Fleet.MemoryMB, x.Fleet.Sockets = leastMemoryMB, []int{256, 1024}[rng.IntN(2)]
	}
	at := firstOverlapAt + (lastOverlapAt-firstOverlapAt)*rng.Float64()
	x.Faults = append(x.Faults, experiment.Fault{Kind: "kill-series", Share: experiment.NewRange(0.1, 0.25), At: experiment.NewRange(at, at)})
}

// drawListAndAnswers draws endpoints that leave the list under calls, and answers that bring more than belongs to them, again
// from a source of their own.
func drawListAndAnswers(x *experiment.Experiment, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 0x616e7377657273))
	for _, f := range []experiment.Fault{
		{Kind: "hang-gone", Share: experiment.NewRange(0.15, 0.35), Size: experiment.NewRange(0.4, 0.8), For: milliRange(4000, 6000)},
		{Kind: "surplus", Share: experiment.NewRange(0.5, 1), Size: experiment.NewRange(0.1, 0.4), For: milliRange(3000, 7000)},
	} {
		at := firstOverlapAt + (lastOverlapAt-firstOverlapAt)*rng.Float64()
		f.At = experiment.NewRange(at, at)
		x.Faults = append(x.Faults, f)
	}
}

// Options configures a soak test.
type Options struct {
	Seeds       []uint64
	ManyIDs     bool // DrawManyIDs instead of Draw
	Relays      int  // in a run; 0: 24 to 48, depending on the seed, and 3 with ManyIDs
	Parallel    int  // concurrent runs
	Program     string
	Revision    string
	Out         string
	Log         io.Writer
	Shrink      bool // after a violation, run the seed again with fewer faults
	StopOnFirst bool // stop after the first run that violates a rule
}

// Summary summarizes the runs.
type Summary struct {
	Runs, Invalid, Broken int
	Messages, Processes   float64
	Faults                map[string]int // by kind
	Overlaps              map[string]int // by pair of kinds that overlapped
	Rules                 map[string]float64
	FailedSeeds           []uint64
}

// Run runs all seeds, or stops when ctx ends.
func Run(ctx context.Context, o Options) (*Summary, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	s := &Summary{Faults: map[string]int{}, Overlaps: map[string]int{}, Rules: map[string]float64{}}
	var mu sync.Mutex
	var firstErr error
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(1, o.Parallel) {
		workers.Go(func() {
			for seed := range seeds {
				x := o.draw(seed)
				r, err := o.runSeed(ctx, x, seed, nil)
				mu.Lock()
				if err != nil && firstErr == nil && ctx.Err() == nil {
					firstErr = fmt.Errorf("soak: seed %d: %w", seed, err)
				}
				if r != nil {
					s.record(x, seed, r, o.Log)
				}
				if o.StopOnFirst && s.Broken > 0 {
					stop()
				}
				mu.Unlock()
				if r != nil && o.Shrink && r.Figures["broken_rules"] > 0 {
					o.shrink(ctx, x, seed, r)
				}
			}
		})
	}
	for _, seed := range o.Seeds {
		select {
		case seeds <- seed:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(seeds)
	workers.Wait()
	return s, firstErr
}

// BrokenRules returns the rules that were violated, with the number of violations.
func (s *Summary) BrokenRules() (names []string) {
	for rule, n := range s.Rules {
		if n > 0 {
			names = append(names, fmt.Sprintf("%s %.0f", rule, n))
		}
	}
	slices.Sort(names)
	return names
}

// draw draws the experiment of a seed.
func (o *Options) draw(seed uint64) *experiment.Experiment {
	if o.ManyIDs {
		return DrawManyIDs(seed, o.relays(seed))
	}
	return Draw(seed, o.relays(seed))
}

// relays returns the number of relays for a seed.
func (o *Options) relays(seed uint64) int {
	if o.Relays > 0 {
		return o.Relays
	}
	if o.ManyIDs {
		return manyIDsRelays
	}
	return 24 + int(seed%25)
}

// runSeed runs one seed without some of its faults. A run on an overloaded machine returns a result, too.
func (o *Options) runSeed(ctx context.Context, x *experiment.Experiment, seed uint64, without []int) (*run.Result, error) {
	r, err := run.Run(ctx, run.Options{Experiment: x, Seed: seed, Quick: true, Program: o.Program, Revision: o.Revision,
		Out: filepath.Join(o.Out, fmt.Sprintf("soak-%d", seed)), SkippedFaults: without})
	if errors.Is(err, run.ErrInvalid) {
		err = nil
	}
	return r, err
}

// record adds a run to the summary and logs it.
func (s *Summary) record(x *experiment.Experiment, seed uint64, r *run.Result, log io.Writer) {
	s.Runs++
	s.Messages += r.Figures["messages"]
	s.Processes += float64(r.Relays)
	for i, f := range x.Faults {
		s.Faults[f.Kind]++
		for _, g := range x.Faults[:i] {
			if f.At.Lo-g.At.Lo < overlapSpan && g.At.Lo-f.At.Lo < overlapSpan {
				pair := []string{f.Kind, g.Kind}
				slices.Sort(pair)
				s.Overlaps[strings.Join(pair, "+")]++
			}
		}
	}
	if r.Invalid != "" {
		s.Invalid++
	}
	broken := r.Figures["broken_rules"]
	if broken > 0 {
		s.Broken++
		s.FailedSeeds = append(s.FailedSeeds, seed)
		for rule, n := range r.RuleCounts {
			s.Rules[rule] += n
		}
	}
	fmt.Fprintf(log, "seed %d: %d relays, %.0f messages, served %.3f, %.0f rules broken%s: %s\n", seed, r.Relays, r.Figures["messages"],
		r.Figures["served"], broken, map[bool]string{true: " (machine too loaded)"}[r.Invalid != ""], FaultList(x, nil))
	for i, b := range r.Violations {
		if i == 5 {
			break
		}
		fmt.Fprintf(log, "  rule %s at %.2f s by %s: %s\n", b.Rule, b.At.Seconds(), b.Relay, b.Detail)
	}
}

// FaultList lists the faults of an experiment, except those that are left out.
func FaultList(x *experiment.Experiment, without []int) string {
	var names []string
	for i, f := range x.Faults {
		if !slices.Contains(without, i) {
			names = append(names, fmt.Sprintf("%s@%.1f", f.Kind, f.At.Lo*x.Length.D().Seconds()))
		}
	}
	return strings.Join(names, " ")
}

// shrink leaves out one fault after another while the run still violates a rule, and logs the remaining ones.
func (o *Options) shrink(ctx context.Context, x *experiment.Experiment, seed uint64, first *run.Result) {
	var without []int
	for i := range x.Faults {
		if ctx.Err() != nil {
			return
		}
		fewer := append(slices.Clone(without), i)
		r, err := o.runSeed(ctx, x, seed, fewer)
		if err == nil && r != nil && r.Figures["broken_rules"] > 0 {
			without = fewer
		}
	}
	fmt.Fprintf(o.Log, "seed %d breaks with: %s\n  testbed soak --seed %d --processes %d --without %s\n", seed, FaultList(x, without), seed, first.Relays,
		strings.Trim(strings.ReplaceAll(fmt.Sprint(without), " ", ","), "[]"))
}

// RunOne runs a single seed without some of its faults, and logs the result.
func RunOne(ctx context.Context, o Options, seed uint64, without []int) (*run.Result, error) {
	x := o.draw(seed)
	r, err := o.runSeed(ctx, x, seed, without)
	if r != nil {
		s := &Summary{Faults: map[string]int{}, Overlaps: map[string]int{}, Rules: map[string]float64{}}
		s.record(x, seed, r, o.Log)
	}
	return r, err
}
