package run

import (
	"fmt"
	"math"
	"slices"
)

// Comparison is a figure of two revisions, each played several times.
type Comparison struct {
	Name       string
	Base, With string // revisions
	A, B       []float64
	P          float64 // chance of ranks at least as far apart if the two were alike; two-sided
}

// Compare compares a figure's values by the rank test of Mann and Whitney, exactly: it asks nothing of how plays scatter.
func Compare(name, base, with string, a, b []float64) Comparison {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return Comparison{name, base, with, a, b, rankTest(a, b)}
}

// Clear tells whether the difference stands out of noise.
func (c Comparison) Clear() bool { return c.P < 0.05 }

func (c Comparison) String() string {
	verdict := "within noise"
	if c.Clear() {
		verdict = "stands out"
	}
	return fmt.Sprintf("%-18s %s %.3f (%.3f to %.3f)   %s %.3f (%.3f to %.3f)   p %.3f, %s", c.Name, c.Base, median(c.A), c.A[0],
		c.A[len(c.A)-1], c.With, median(c.B), c.B[0], c.B[len(c.B)-1], c.P, verdict)
}

// median of sorted values.
func median(v []float64) float64 { return (v[(len(v)-1)/2] + v[len(v)/2]) / 2 }

// rankTest is the two-sided p of the difference between two samples: of all ways to deal the ranks out, the share in which
// the first sample's sum lies at least as far from its mean. Ties share the mean of their ranks.
func rankTest(a, b []float64) float64 {
	all := slices.Concat(a, b)
	sorted := slices.Sorted(slices.Values(all))
	ranks := make([]int, len(all)) // doubled, so that ties stay whole
	for i, x := range all {
		lo, _ := slices.BinarySearch(sorted, x)
		hi := lo
		for hi < len(sorted) && sorted[hi] == x {
			hi++
		}
		ranks[i] = lo + hi + 1
	}
	sum := 0
	for _, r := range ranks[:len(a)] {
		sum += r
	}
	// ways[k][s] counts the ways to choose k of the ranks that add up to s.
	total := 0
	for _, r := range ranks {
		total += r
	}
	ways := make([][]float64, len(a)+1)
	for k := range ways {
		ways[k] = make([]float64, total+1)
	}
	ways[0][0] = 1
	for _, r := range ranks {
		for k := len(a); k > 0; k-- {
			for s := total; s >= r; s-- {
				ways[k][s] += ways[k-1][s-r]
			}
		}
	}
	mean := float64(total) * float64(len(a)) / float64(len(all))
	far, every := 0.0, 0.0
	for s, n := range ways[len(a)] {
		every += n
		if math.Abs(float64(s)-mean) >= math.Abs(float64(sum)-mean)-1e-9 {
			far += n
		}
	}
	return far / every
}
