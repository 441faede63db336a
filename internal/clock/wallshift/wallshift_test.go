package wallshift

import (
	"testing"
	"time"
)

func TestShiftMovesOnlyTheWallClock(t *testing.T) {
	for _, seconds := range []int64{-3600, -5, 5, 3600} {
		now := time.Now()
		shifted := Shift(now, seconds)
		if shifted.Sub(now) != 0 {
			t.Errorf("%d s: the monotonic clock moved by %v", seconds, shifted.Sub(now))
		}
		if moved := shifted.Round(0).Sub(now.Round(0)); moved != time.Duration(seconds)*time.Second {
			t.Errorf("%d s: the wall clock moved by %v", seconds, moved)
		}
	}
}
