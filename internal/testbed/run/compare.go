package run

import (
	"fmt"
	"math"
	"slices"
)

// Comparison is a figure of two revisions, each played once on every seed.
type Comparison struct {
	Name       string
	Base, With string // revisions
	A, B       []float64
	Better     int     // seeds on which With's figure is the greater one
	P          float64 // chance of ranks at least as far apart if the two were alike; two-sided
}

// Compare compares a figure's values, those of a seed at the same place. The seed decides on most of a figure, so that it is
// the differences that are judged: by the signed-rank test of Wilcoxon, exactly, which asks nothing of how plays scatter.
func Compare(name, base, with string, a, b []float64) Comparison {
	c := Comparison{Name: name, Base: base, With: with, P: rankTest(a, b)}
	for i := range a {
		if b[i] > a[i] {
			c.Better++
		}
	}
	c.A, c.B = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return c
}

// Clear tells whether the difference stands out of noise.
func (c Comparison) Clear() bool { return c.P < 0.05 }

func (c Comparison) String() string {
	verdict := "within noise"
	if c.Clear() {
		verdict = "stands out"
	}
	return fmt.Sprintf("%-18s %s %.3f (%.3f to %.3f)   %s %.3f (%.3f to %.3f)   higher on %d of %d seeds, p %.3f, %s", c.Name, c.Base,
		median(c.A), c.A[0], c.A[len(c.A)-1], c.With, median(c.B), c.B[0], c.B[len(c.B)-1], c.Better, len(c.A), c.P, verdict)
}

// median of sorted values.
func median(v []float64) float64 { return (v[(len(v)-1)/2] + v[len(v)/2]) / 2 }

// rankTest is the two-sided p of paired differences: of all ways to deal out their signs, the share in which the ranks of
// the positive ones add up to as little or as much. Pairs that are alike count for nothing, ties share their mean rank.
func rankTest(a, b []float64) float64 {
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
	// ways[s] counts the deals whose positive ranks, doubled so that ties stay whole, add up to s.
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
	far, every := 0.0, 0.0
	for s, n := range ways {
		every += n
		if math.Abs(float64(s)-mean) >= math.Abs(float64(sum)-mean) {
			far += n
		}
	}
	return far / every
}
