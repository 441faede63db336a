package run

import (
	"math"
	"testing"
)

func TestRankTest(t *testing.T) {
	for _, c := range []struct {
		a, b []float64
		p    float64
	}{
		{[]float64{1, 2, 3}, []float64{4, 5, 6}, 0.1}, // 2 of 20 ways
		{[]float64{1, 2, 3, 4, 5}, []float64{6, 7, 8, 9, 10}, 2.0 / 252},
		{[]float64{1, 4}, []float64{2, 3}, 1},
		{[]float64{5, 5, 5}, []float64{5, 5, 5}, 1},
		{[]float64{1, 1, 2}, []float64{2, 3, 3}, 0.2}, // ties share ranks: 1.5, 1.5, 3.5 against 3.5, 5.5, 5.5
	} {
		if p := rankTest(c.a, c.b); math.Abs(p-c.p) > 1e-9 {
			t.Errorf("%v against %v: p %v, want %v", c.a, c.b, p, c.p)
		}
	}
}
