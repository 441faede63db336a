// Package scale measures how figures of a running component grow with one size. A slope measures its figures at five or more
// sizes, fits a growth law to each, and tests the law by prediction: fitted without the largest size, it has to predict the
// measurement there. Package capacity extrapolates laws that pass to sizes that are too large to run.
package scale

import (
	"context"
	"log/slog"
)

// Slope is one experiment: a size that varies, and the figures that are measured at each size.
type Slope struct {
	Name     string // the command's argument and the name of the result's file
	About    string // one line: what runs, and what is left out
	Variable string // what the size counts: "destinations listed"
	Sizes    []int  // default sizes: five or more, rising
	Small    []int  // sizes for a quick check in CI: five or more, a few seconds in total
	Seeds    []uint64
	Figures  []Figure
	// Cost estimates what a size uses of the machine, so that sizes beyond its limits are refused before anything starts.
	Cost func(size int) Cost
	// Measure measures every figure once and returns the values by name, in the units that Figures gives. Processor time comes
	// from the system's accounting, not from the clock. Measure stops everything that it starts.
	Measure func(ctx context.Context, size int, seed uint64, env Env) (map[string]float64, error)
}

// Figure describes a measured quantity.
type Figure struct {
	Name  string // "step_us"
	Unit  string // "us", "bytes", "ms", "cores", "bytes/s": see Units
	About string
}

// Cost is what a measurement uses of the machine.
type Cost struct {
	Memory    int64 // bytes, over all its processes
	Processes int   // without the testbed itself
}

// Env is the environment of a measurement.
type Env struct {
	Build string // folder with the programs, for measurements that start processes
	Dir   string // empty scratch folder, removed afterwards
	Log   *slog.Logger
}
