// Package scale measures growth laws: how one figure of a running part grows with one size. A slope measures its figures
// at five sizes or more, fits a law to each, and proves the law by prediction: fitted without the largest size, it has to
// tell what was measured there. What capacity says of sizes that nobody can play rests on laws that passed.
package scale

import (
	"context"
	"log/slog"
)

// Slope is one experiment: a size that varies, and the figures that are measured at each size.
type Slope struct {
	Name     string // of the command's argument and of the result's file
	About    string // one line: what runs, and what is left out
	Variable string // what the size counts: "destinations listed"
	Sizes    []int  // by default, five or more, rising
	Small    []int  // for a check of the rig in CI: five or more, a few seconds in all
	Seeds    []uint64
	Figures  []Figure
	// Cost tells what a size takes of the machine, so that what would pass its limits is refused before anything starts.
	Cost func(size int) Cost
	// Measure measures every figure once, in the unit that Figures gives it, by name. Processor time is counted, not
	// taken from the clock. It ends all that it starts.
	Measure func(ctx context.Context, size int, seed uint64, env Env) (map[string]float64, error)
}

// Figure is one thing that is measured.
type Figure struct {
	Name  string // "step_us"
	Unit  string // "us", "bytes", "ms", "cores", "bytes/s": see Units
	About string
}

// Cost is what a play takes of the machine.
type Cost struct {
	Memory    int64 // bytes, of all its processes
	Processes int   // beside the testbed's own
}

// Env is what a measurement may use.
type Env struct {
	Build string // folder with the programs, for those that start processes
	Dir   string // scratch folder of its own, empty, which is removed afterwards
	Log   *slog.Logger
}
