//go:build testbed

package clock

import (
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"onyxroad.dev/onyxroad/internal/clock/wallshift"
)

// StepEnv names a file that holds by how many whole seconds the wall clock is off. The testbed rewrites it to have the wall
// clock of a running process step.
const StepEnv = "IVYGAUGE_TESTBED_CLOCK"

// stepPoll is how often the file is read.
const stepPoll = 20 * time.Millisecond

func init() {
	if path := os.Getenv(StepEnv); path != "" {
		SetSource(stepped(path))
	}
}

// stepped is the system's clock with its wall reading off by what a file says.
func stepped(path string) func() time.Time {
	var seconds, readAt atomic.Int64
	began := time.Now()
	readAt.Store(-int64(stepPoll))
	return func() time.Time {
		now := time.Now()
		since := int64(now.Sub(began))
		if last := readAt.Load(); since-last >= int64(stepPoll) && readAt.CompareAndSwap(last, since) {
			if text, err := os.ReadFile(path); err == nil {
				if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil {
					seconds.Store(n)
				}
			}
		}
		return wallshift.Shift(now, seconds.Load())
	}
}
