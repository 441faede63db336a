//go:build testbed

package clock

import (
	"time"

	"onyxroad.dev/onyxroad/internal/clock/wallshift"
	"onyxroad.dev/onyxroad/internal/faultfile"
)

// The wall clock is off by what the testbed's file says; the monotonic one runs on.
func init() {
	if f := faultfile.FromEnv(); f != nil {
		SetSource(func() time.Time { return wallshift.Shift(time.Now(), f.Current().WallSeconds) })
	}
}
