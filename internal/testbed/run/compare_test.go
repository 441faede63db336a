package run

import (
	"math"
	"testing"
)

func TestSignedRankTest(t *testing.T) {
	for _, c := range []struct {
		a, b []float64
		p    float64
	}{
		{[]float64{1, 2, 3}, []float64{4, 5, 6}, 0.25}, // 2 of 8 sign assignments
		{[]float64{1, 2, 3, 4, 5, 6}, []float64{2, 4, 6, 8, 10, 12}, 2.0 / 64},
		{[]float64{1, 4}, []float64{2, 3}, 1},
		{[]float64{5, 5, 5}, []float64{5, 5, 5}, 1},
		{[]float64{1, 1, 2}, []float64{2, 3, 1}, 0.75}, // ties share ranks: 1.5, 3, 1.5
	} {
		if p := signedRankTest(c.a, c.b); math.Abs(p-c.p) > 1e-9 {
			t.Errorf("%v against %v: p %v, want %v", c.a, c.b, p, c.p)
		}
	}
}
