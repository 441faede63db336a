// Package clock is how a relay reads the time.
//
// Within a process, durations are measured between two results of Now, which carry a monotonic reading: a step of the wall clock
// does not change them. Times that outlast the process are kept on a Timeline, which follows the machine's monotonic clock until the
// machine reboots and so is not moved by such a step either.
//
// Tests and builds with the tag testbed replace the system clock, see SetSource.
package clock

import (
	"sync/atomic"
	"time"
)

// source is nil for the system clock.
var source atomic.Pointer[func() time.Time]

// Now returns the current time, with wall clock and monotonic readings.
func Now() time.Time {
	if read := source.Load(); read != nil {
		return (*read)()
	}
	return time.Now()
}

// Since returns the time elapsed since t.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// SetSource makes Now use another clock until restore is called. Only tests and testbed builds use it. The times that read returns must
// have a monotonic reading.
func SetSource(read func() time.Time) (restore func()) {
	before := source.Swap(&read)
	return func() { source.Store(before) }
}
