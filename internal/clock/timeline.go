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

// maxReadSkew is more than two clocks differ by because they are not read in the same moment.
const maxReadSkew = time.Millisecond

const maxReadAttempts = 5

// Machine is a reading of what all processes of a machine share.
type Machine struct {
	Boot      string        `json:",omitempty"` // the id of this boot; empty: it can't be read
	Monotonic time.Duration // of the machine's monotonic clock
}

// ReadMachine reads the machine's monotonic clock. ok is false where that is not possible.
func ReadMachine() (m Machine, ok bool) {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading) != nil {
		return Machine{}, false
	}
	m = Machine{Boot: bootID(), Monotonic: time.Duration(reading.Nano())}
	return m, m.Monotonic > 0
}

// bootID is read once: it stays for as long as the process.
var bootID = sync.OnceValue(func() string {
	id, err := os.ReadFile(bootIDPath)
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(id))
})

// readClocks reads the machine's clock and this process's as near to one moment as can be had.
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

// Follows tells whether m was read after earlier, and without a boot between the two, so that the clock ran on.
func (m Machine) Follows(earlier Machine) bool {
	return m.Boot == earlier.Boot && m.Monotonic >= earlier.Monotonic && earlier.Monotonic > 0
}

// Anchor says which moment of the machine's monotonic clock bears which time on a timeline.
type Anchor struct {
	Machine
	Time time.Time
}

// Timeline converts between the times of a process and those that outlast it. The zero Timeline changes nothing.
type Timeline struct {
	anchor Anchor
	local  time.Time // a moment of this process
	stamp  time.Time // the same one on the timeline
}

// NewTimeline begins a timeline, which starts out from the wall clock.
func NewTimeline() Timeline {
	m, local, ok := readClocks()
	t := Timeline{local: local, stamp: local.Round(0).UTC()}
	if ok {
		t.anchor = Anchor{Machine: m, Time: t.stamp}
	}
	return t
}

// ResumeTimeline goes on with the timeline of an earlier process. ok is false where nothing tells how much time has passed
// since: the machine was booted anew, or its monotonic clock can't be read. The wall clock is all there is to go by then.
func ResumeTimeline(a Anchor) (t Timeline, ok bool) {
	m, local, readable := readClocks()
	if !readable || !m.Follows(a.Machine) {
		return Timeline{local: local, stamp: local.Round(0).UTC()}, false
	}
	stamp := a.Time.Add(m.Monotonic - a.Monotonic)
	if wall := local.Round(0).UTC(); stamp.Sub(wall).Abs() < maxReadSkew {
		stamp = wall // the clock has not been stepped
	}
	return Timeline{anchor: a, local: local, stamp: stamp}, true
}

// Anchor is what another process needs to go on with this timeline; ok is false if there is nothing it could go by.
func (t Timeline) Anchor() (a Anchor, ok bool) { return t.anchor, t.anchor.Monotonic > 0 }

// Stepped is by how much the wall clock has moved away from the timeline, as of when this process took it up.
func (t Timeline) Stepped() time.Duration { return t.local.Round(0).Sub(t.stamp) }

// Stamp is the time on the timeline of a moment of this process.
func (t Timeline) Stamp(at time.Time) time.Time {
	if t.local.IsZero() || at.IsZero() {
		return at
	}
	return t.stamp.Add(at.Sub(t.local))
}

// Local is the moment of this process that bears a time on the timeline.
func (t Timeline) Local(stamp time.Time) time.Time {
	if t.local.IsZero() || stamp.IsZero() {
		return stamp
	}
	return t.local.Add(stamp.Sub(t.stamp))
}
