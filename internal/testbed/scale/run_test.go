package scale

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"strings"
	"testing"
)

// rigWithoutMemory is Rig without its memory figure, which is really measured and differs between runs.
func rigWithoutMemory() Slope {
	s := Rig()
	s.Figures = s.Figures[1:]
	return s
}

func testEnv(t *testing.T) Env { return Env{Dir: t.TempDir(), Log: slog.New(slog.DiscardHandler)} }

func TestRigFindsItsLaws(t *testing.T) {
	s := Rig()
	r, err := Run(t.Context(), s, s.Small, s.Seeds[:1], testEnv(t))
	if err != nil {
		t.Fatal(err)
	}
	for name, law := range map[string]Law{"heap_bytes": Linear, "constant_us": Constant, "linear_ms": Linear, "quadratic_us": Quadratic} {
		if g, ok := r.Figure(name); !ok || g.Fit.Law != law || !g.Used {
			t.Errorf("%s: %+v, want %s and used", name, g, law)
		}
	}
}

func TestRefusedBeforeAnythingStarts(t *testing.T) {
	for _, c := range []struct {
		change func(*Slope)
		sizes  []int
		seeds  []uint64
		want   string
	}{
		{func(s *Slope) {}, []int{1, 2, 3, 4}, []uint64{1}, "4 sizes are too few to fit a law, need 5"},
		{func(s *Slope) {}, []int{1, 2, 3, 4, 4}, []uint64{1}, "4 is not above the size before it"},
		{func(s *Slope) {}, []int{0, 1, 2, 3, 4}, []uint64{1}, "0 is not above the size before it"},
		{func(s *Slope) {}, []int{1, 2, 3, 4, 5}, nil, "no seeds given"},
		{func(s *Slope) {}, []int{1, 2, 3, 4, 5}, []uint64{2, 2}, "duplicate in [2 2]"},
		{func(s *Slope) { s.Figures[0].Unit = "bytes" }, []int{1, 2, 3, 4, 5}, []uint64{1}, `"bytes" is the wrong unit for constant_us, want us`},
		{func(s *Slope) { s.Cost = func(n int) Cost { return Cost{Memory: int64(n) << 20} } }, []int{1, 2, 3, 4, 65}, []uint64{1},
			"rig at 65 needs 65 MB of memory, the limit is 64 MB, half of the machine's"},
		{func(s *Slope) { s.Cost = func(n int) Cost { return Cost{Processes: n} } }, []int{1, 2, 3, 4, 301}, []uint64{1},
			"rig at 301 needs 301 processes, the limit is 300"},
	} {
		s := rigWithoutMemory()
		s.Measure = func(context.Context, int, uint64, Env) (map[string]float64, error) {
			t.Errorf("%s: the measurement was started", c.want)
			return nil, errors.New("started")
		}
		c.change(&s)
		if _, err := run(t.Context(), s, c.sizes, c.seeds, testEnv(t), Limits{64 << 20, 300}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
	if l, err := MachineLimits(); err != nil || l.Memory < 1<<20 || l.Processes != 300 {
		t.Errorf("machine limits: %+v, %v", l, err)
	}
}

func TestRunCleansUp(t *testing.T) {
	s, env := rigWithoutMemory(), testEnv(t)
	measure := s.Measure
	s.Measure = func(ctx context.Context, n int, seed uint64, e Env) (map[string]float64, error) {
		if e.Dir == env.Dir {
			t.Error("a measurement has no scratch folder of its own")
		}
		if left, err := os.ReadDir(e.Dir); err != nil || len(left) > 0 {
			t.Errorf("a new scratch folder has %v, %v", left, err)
		}
		if err := os.WriteFile(e.Dir+"/file", nil, 0o600); err != nil {
			t.Error(err)
		}
		if n == 8000 {
			return nil, errors.New("broken")
		}
		return measure(ctx, n, seed, e)
	}
	if _, err := Run(t.Context(), s, s.Small, s.Seeds, env); err == nil || !strings.Contains(err.Error(), "at 8000 with seed 1: broken") {
		t.Errorf("%v", err)
	}
	if left, err := os.ReadDir(env.Dir); err != nil || len(left) > 0 {
		t.Errorf("not removed: %v, %v", left, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Run(ctx, s, s.Small, s.Seeds, env); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want context.Canceled", err)
	}
	s.Measure = func(context.Context, int, uint64, Env) (map[string]float64, error) { return nil, nil }
	if _, err := Run(t.Context(), s, s.Small, s.Seeds, env); err == nil || !strings.Contains(err.Error(), "constant_us is missing or not finite") {
		t.Errorf("%v", err)
	}
}
