package run

import (
	"fmt"
	"math"
	"slices"
)

// Comparison compares a figure between two revisions, each run once with every seed.
type Comparison struct {
	Name                   string
	Base, With             string // revisions
	BaseValues, WithValues []float64
	Higher                 int     // number of seeds for which With's value is higher
	P                      float64 // two-sided p-value: probability of such a difference between equal revisions
}

// Compare compares the values of a figure, where the values of one seed have the same index. The seed determines most of a
// figure, so the paired differences are tested, with the exact Wilcoxon signed-rank test, which does not assume any
// distribution.
func Compare(name, base, with string, a, b []float64) Comparison {
	c := Comparison{Name: name, Base: base, With: with, P: signedRankTest(a, b)}
	for i := range a {
		if b[i] > a[i] {
			c.Higher++
		}
	}
	c.BaseValues, c.WithValues = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return c
}

// Significant reports whether the difference is significant at the 5% level.
func (c Comparison) Significant() bool { return c.P < 0.05 }

func (c Comparison) String() string {
	verdict := "within noise"
	if c.Significant() {
		verdict = "significant"
	}
	return fmt.Sprintf("%-18s %s %.3f (%.3f to %.3f)   %s %.3f (%.3f to %.3f)   higher on %d of %d seeds, p %.3f, %s", c.Name, c.Base,
		median(c.BaseValues), c.BaseValues[0], c.BaseValues[len(c.BaseValues)-1], c.With, median(c.WithValues), c.WithValues[0], c.WithValues[len(c.WithValues)-1], c.Higher, len(c.BaseValues), c.P, verdict)
}

// median returns the median of sorted values.
func median(v []float64) float64 { return (v[(len(v)-1)/2] + v[len(v)/2]) / 2 }

// signedRankTest returns the two-sided p-value of paired differences: the share of all assignments of signs for which the sum of
// the positive ranks is at least as far from its mean. Pairs without a difference are ignored, and ties share their mean rank.
func signedRankTest(a, b []float64) float64 {
	var diffs []float64
	for i := range a {
		if d := b[i] - a[i]; d != 0 {
			diffs = append(diffs, d)
		}
	}
	sizes := make([]float64, len(diffs))
	for i, d := range diffs {
		sizes[i] = math.Abs(d)
	}
	slices.Sort(sizes)
	// ways[s] counts the sign assignments whose positive ranks, doubled so that mean ranks of ties stay integers, sum to s.
	ways, sum := []float64{1}, 0
	for _, d := range diffs {
		lo, _ := slices.BinarySearch(sizes, math.Abs(d))
		hi := lo
		for hi < len(sizes) && sizes[hi] == math.Abs(d) {
			hi++
		}
		rank := lo + hi + 1
		if d > 0 {
			sum += rank
		}
		next := make([]float64, len(ways)+rank)
		for s, n := range ways {
			next[s] += n
			next[s+rank] += n
		}
		ways = next
	}
	mean := float64(len(ways)-1) / 2
	extreme, total := 0.0, 0.0
	for s, n := range ways {
		total += n
		if math.Abs(float64(s)-mean) >= math.Abs(float64(sum)-mean) {
			extreme += n
		}
	}
	return extreme / total
}
