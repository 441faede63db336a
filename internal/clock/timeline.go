package clock

import (
	"math"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const bootIDPath = "/proc/sys/kernel/random/boot_id"

// maxReadSkew is more than two clocks differ because they are not read at the same instant.
const maxReadSkew = time.Millisecond

const maxReadAttempts = 5

// Machine is a reading of the monotonic clock that all processes of a machine share.
type Machine struct {
	Boot      string        `json:",omitempty"` // boot id; empty if it can't be read
	Monotonic time.Duration // time on the monotonic clock
}

// ReadMachine reads the machine's monotonic clock. ok is false if that is not possible.
func ReadMachine() (m Machine, ok bool) {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading) != nil {
		return Machine{}, false
	}
	m = Machine{Boot: bootID(), Monotonic: time.Duration(reading.Nano())}
	return m, m.Monotonic > 0
}

// bootID reads the boot id once: it does not change during a process.
var bootID = sync.OnceValue(func() string {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
})

// readClocks reads the machine's clock and this process's clock as close to the same instant as possible.
func readClocks() (m Machine, local time.Time, ok bool) {
	smallestSkew := time.Duration(math.MaxInt64)
	for range maxReadAttempts {
		before := Now()
		reading, readable := ReadMachine()
		after := Now()
		if skew := after.Sub(before); skew < smallestSkew {
			m, local, ok, smallestSkew = reading, before, readable, skew
		}
		if smallestSkew < maxReadSkew/10 {
			break
		}
	}
	return m, local, ok
}

// Follows reports whether m was read after earlier and without a reboot in between, so that the clock kept running.
func (m Machine) Follows(earlier Machine) bool {
	return m.Boot == earlier.Boot && m.Monotonic >= earlier.Monotonic && earlier.Monotonic > 0
}

// Anchor ties a reading of the machine's monotonic clock to a time on a timeline.
type Anchor struct {
	Machine
	Time time.Time
}

// Timeline converts between times of this process and times that outlast it. The zero Timeline converts nothing.
type Timeline struct {
	anchor Anchor
	local  time.Time // a time of this process
	stamp  time.Time // the same instant on the timeline
}

// NewTimeline begins a timeline that starts at the wall clock's time.
func NewTimeline() Timeline {
	m, local, ok := readClocks()
	t := Timeline{local: local, stamp: local.Round(0).UTC()}
	if ok {
		t.anchor = Anchor{Machine: m, Time: t.stamp}
	}
	return t
}

// ResumeTimeline continues the timeline of an earlier process. ok is false if it is unknown how much time has passed since, because the
// machine has rebooted or its monotonic clock can't be read. Only the wall clock is left then.
func ResumeTimeline(a Anchor) (t Timeline, ok bool) {
	m, local, readable := readClocks()
	if !readable || !m.Follows(a.Machine) {
		return Timeline{local: local, stamp: local.Round(0).UTC()}, false
	}
	stamp := a.Time.Add(m.Monotonic - a.Monotonic)
	if wall := local.Round(0).UTC(); stamp.Sub(wall).Abs() < maxReadSkew {
		stamp = wall // the wall clock has not been stepped
	}
	return Timeline{anchor: a, local: local, stamp: stamp}, true
}

// Anchor returns what another process needs to resume this timeline; ok is false if it can't be resumed.
func (t Timeline) Anchor() (a Anchor, ok bool) { return t.anchor, t.anchor.Monotonic > 0 }

// Stepped returns by how much the wall clock differed from the timeline when this process began or resumed it.
func (t Timeline) Stepped() time.Duration { return t.local.Round(0).Sub(t.stamp) }

// Stamp converts a time of this process to the timeline.
func (t Timeline) Stamp(at time.Time) time.Time {
	if t.local.IsZero() || at.IsZero() {
		return at
	}
	return t.stamp.Add(at.Sub(t.local))
}

// Local converts a time on the timeline to one of this process.
func (t Timeline) Local(stamp time.Time) time.Time {
	if t.local.IsZero() || stamp.IsZero() {
		return stamp
	}
	return t.local.Add(stamp.Sub(t.stamp))
}
