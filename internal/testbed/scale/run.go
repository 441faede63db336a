package scale

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
)

// Limits bound what a measurement may use of the machine.
type Limits Cost

// MachineLimits returns limits of half of the machine's memory and 300 processes.
func MachineLimits() (Limits, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return Limits{}, fmt.Errorf("scale: %w", err)
	}
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "MemTotal:" && f[2] == "kB" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				return Limits{}, fmt.Errorf("scale: parse /proc/meminfo: %w", err)
			}
			return Limits{Memory: kb << 10 / 2, Processes: 300}, nil
		}
	}
	return Limits{}, errors.New("scale: /proc/meminfo has no MemTotal")
}

// Check returns an error if sizes, seeds or units are invalid or if a size would exceed the limits. It runs before anything
// starts.
func (l Limits) Check(s Slope, sizes []int, seeds []uint64) error {
	if err := checkSizes(sizes); err != nil {
		return fmt.Errorf("scale: %s: sizes: %w", s.Name, err)
	}
	if err := checkSeeds(seeds); err != nil {
		return fmt.Errorf("scale: %s: seeds: %w", s.Name, err)
	}
	for _, f := range s.Figures {
		if err := checkUnit(f.Name, f.Unit); err != nil {
			return fmt.Errorf("scale: %s: %s: %w", s.Name, f.Name, err)
		}
	}
	for _, n := range sizes {
		c := s.Cost(n)
		if c.Memory > l.Memory {
			return fmt.Errorf("scale: %s at %d needs %d MB of memory, the limit is %d MB, half of the machine's", s.Name, n,
				c.Memory>>20, l.Memory>>20)
		}
		if c.Processes > l.Processes {
			return fmt.Errorf("scale: %s at %d needs %d processes, the limit is %d", s.Name, n, c.Processes, l.Processes)
		}
	}
	return nil
}

// Run measures a slope at each size with each seed, within the machine's limits, and fits its laws. It measures all sizes with
// one seed before the next seed, so that a machine that slows down affects all sizes. Each measurement has its own scratch
// folder in env.Dir, or in the system's folder for temporary files. The caller sets the revision.
func Run(ctx context.Context, s Slope, sizes []int, seeds []uint64, env Env) (*Result, error) {
	limits, err := MachineLimits()
	if err != nil {
		return nil, err
	}
	return run(ctx, s, sizes, seeds, env, limits)
}

func run(ctx context.Context, s Slope, sizes []int, seeds []uint64, env Env, limits Limits) (*Result, error) {
	if err := limits.Check(s, sizes, seeds); err != nil {
		return nil, err
	}
	r := &Result{Slope: s.Name, About: s.About, Variable: s.Variable, Cores: runtime.NumCPU(), Go: runtime.Version(),
		Sizes: sizes, Seeds: seeds}
	for _, f := range s.Figures {
		r.Figures = append(r.Figures, FigureResult{Name: f.Name, Unit: f.Unit, About: f.About, Samples: make([][]float64, len(sizes))})
	}
	var err error
	if r.LoadBegin, err = loadAverage(); err != nil {
		return nil, err
	}
	for j, seed := range seeds {
		for i, n := range sizes {
			begin := time.Now()
			figures, err := measure(ctx, s, n, seed, env)
			if err != nil {
				return nil, fmt.Errorf("scale: %s at %d with seed %d: %w", s.Name, n, seed, err)
			}
			for k := range r.Figures {
				r.Figures[k].Samples[i] = append(r.Figures[k].Samples[i], figures[r.Figures[k].Name])
			}
			env.Log.Info("measured", "slope", s.Name, "play", j*len(sizes)+i+1, "of", len(sizes)*len(seeds), "size", n,
				"seed", seed, "took", time.Since(begin).Round(time.Millisecond))
		}
	}
	if r.LoadEnd, err = loadAverage(); err != nil {
		return nil, err
	}
	for k := range r.Figures {
		r.Figures[k].fitAndPredict(sizes)
	}
	return r, nil
}

// measure runs one measurement, after returning the memory of earlier ones to the system.
func measure(ctx context.Context, s Slope, size int, seed uint64, env Env) (figures map[string]float64, err error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	env.Dir, err = os.MkdirTemp(env.Dir, "slope-")
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(env.Dir)) }()
	runtime.GC()
	debug.FreeOSMemory()
	if figures, err = s.Measure(ctx, size, seed, env); err != nil {
		return nil, err
	}
	for _, f := range s.Figures {
		v, ok := figures[f.Name]
		if !ok || math.IsNaN(v) || math.IsInf(v, 0) {
			return nil, fmt.Errorf("%s is missing or not finite: %v", f.Name, v)
		}
	}
	return figures, nil
}

// loadAverage returns the machine's load average over the last minute.
func loadAverage() (float64, error) {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0, fmt.Errorf("scale: %w", err)
	}
	first, _, _ := strings.Cut(string(data), " ")
	v, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0, fmt.Errorf("scale: parse /proc/loadavg: %w", err)
	}
	return v, nil
}
