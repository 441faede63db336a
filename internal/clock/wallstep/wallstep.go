// Package wallstep lets a test step the wall clock while the monotonic clock runs on.
package wallstep

import (
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/clock/wallshift"
)

// Clock is the system clock with a wall clock that a test can step.
type Clock struct{ seconds atomic.Int64 }

// Use makes package clock read c until restore is called.
func (c *Clock) Use() (restore func()) {
	return clock.SetSource(func() time.Time { return wallshift.Shift(time.Now(), c.seconds.Load()) })
}

// Step moves the wall clock by whole seconds.
func (c *Clock) Step(seconds int64) { c.seconds.Add(seconds) }
