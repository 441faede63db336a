package scale

import (
	"context"
	"math"
	"math/rand/v2"
	"runtime"
)

// Rig is a slope that checks the runner: figures computed from each law with 3% of noise, and memory that is really allocated.
func Rig() Slope {
	drawn := []struct {
		Figure
		Fit
	}{
		{Figure{"constant_us", "us", "drawn: does not grow"}, Fit{Constant, 40, 0}},
		{Figure{"linear_ms", "ms", "drawn: grows with the size"}, Fit{Linear, 5, 0.02}},
		{Figure{"linearithmic_us", "us", "drawn: grows with the size times its logarithm"}, Fit{Linearithmic, 20, 0.01}},
		{Figure{"quadratic_us", "us", "drawn: grows with the size's square"}, Fit{Quadratic, 3, 0.0002}},
	}
	figures := []Figure{{"heap_bytes", "bytes", "measured: heap of 1 KB for each of the size"}}
	for _, d := range drawn {
		figures = append(figures, d.Figure)
	}
	return Slope{
		Name: "rig", About: "Drawn figures that follow known laws, and memory: a check of the runner and the fits.",
		Variable: "things", Sizes: []int{1000, 2000, 4000, 8000, 16000, 32000}, Small: []int{500, 1000, 2000, 4000, 8000},
		Seeds: []uint64{1, 2, 3}, Figures: figures,
		Cost: func(size int) Cost { return Cost{Memory: int64(size) << 10} },
		Measure: func(_ context.Context, size int, seed uint64, _ Env) (map[string]float64, error) {
			rng := rand.New(rand.NewPCG(seed, uint64(size)))
			before := heapInUse()
			things := make([][]byte, size)
			for i := range things {
				things[i] = make([]byte, 1<<10)
			}
			measured := map[string]float64{"heap_bytes": math.Max(0, heapInUse()-before)}
			runtime.KeepAlive(things)
			for _, d := range drawn {
				measured[d.Name] = d.At(float64(size)) * (1 + 0.03*rng.NormFloat64())
			}
			return measured, nil
		},
	}
}

// heapInUse returns the size of the heap after a garbage collection, in bytes.
func heapInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
