//go:build testbed

package clock

import (
	"time"

	"onyxroad.dev/onyxroad/internal/clock/wallshift"
	"onyxroad.dev/onyxroad/internal/faultfile"
)

// The wall clock is offset by the value in the testbed's fault file; the monotonic clock is not affected.
func init() {
	if f := faultfile.FromEnv(); f != nil {
		SetSource(func() time.Time { return wallshift.Shift(time.Now(), f.Current().WallSeconds) })
	}
}
