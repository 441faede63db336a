// Package clock is the one way by which a relay reads time.
//
// Within a process every span is measured between two readings of Now, which carry the monotonic clock: a step of the
// wall clock changes none of them. What outlasts the process is kept on a Timeline, which goes by the machine's monotonic
// clock until the machine is booted anew, and so is not moved by such a step either.
//
// Tests and builds with the tag testbed put another source in the place of the system's clock, see SetSource.
package clock

import (
	"sync/atomic"
	"time"
)

// source is nil for the system's clock.
var source atomic.Pointer[func() time.Time]

// Now is the present moment, by the wall clock and by the monotonic one.
func Now() time.Time {
	if read := source.Load(); read != nil {
		return (*read)()
	}
	return time.Now()
}

// Since is the time that has passed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time that is left until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// SetSource has Now read another clock until restore is called. It is for tests and for the testbed's builds alone. The readings
// have to carry the monotonic clock.
func SetSource(read func() time.Time) (restore func()) {
	before := source.Swap(&read)
	return func() { source.Store(before) }
}
