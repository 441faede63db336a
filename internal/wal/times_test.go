package wal

import (
	"fmt"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/clock/wallstep"
)

// wallSteps are steps of the wall clock in seconds.
var wallSteps = []int64{-3600, -5, 5, 3600}

// A step of the wall clock while the log runs, or between two processes, must change neither the time left of a message nor the age of
// a send.
func TestTimesSurviveWallClockSteps(t *testing.T) {
	const left, age, slack = 20 * time.Second, 3 * time.Second, 2 * time.Second
	for _, format := range []int{1, SegmentFormat} {
		for _, before := range append(wallSteps, 0) {
			for _, between := range append(wallSteps, 0) {
				t.Run(fmt.Sprintf("format %d, %+d s, %+d s", format, before, between), func(t *testing.T) {
					var wall wallstep.Clock
					defer wall.Use()()
					o := Options{Dir: t.TempDir(), Limit: ampleLimit, Format: format, Name: "n3"}
					l, _, err := OpenWith(o)
					must(t, err)
					first, second := message(1), message(2)
					first.Deadline = clock.Now().Add(left)
					must(t, l.Accept(first))
					wall.Step(before)
					second.Deadline = clock.Now().Add(left)
					must(t, l.Accept(second))
					must(t, l.RecordSends(Send{first, Attempt{Host: "s-1", At: clock.Now().Add(-age)}}))
					wall.Step(between)
					for restart := range 3 { // the last restart reads what a compaction wrote
						l, found, err := OpenWith(o)
						must(t, err)
						if len(found.Messages) != 2 || len(found.Messages[0].MayRun) != 1 {
							t.Fatalf("restart %d: found %+v", restart, found.Messages)
						}
						for _, m := range found.Messages {
							if got := clock.Until(m.Deadline); got < left-slack || got > left {
								t.Errorf("restart %d: message %d has %v left of %v", restart, m.ID, got, left)
							}
						}
						if got := clock.Since(found.Messages[0].MayRun[0].At); got < age || got > age+slack {
							t.Errorf("restart %d: a send made %v ago is %v old", restart, age, got)
						}
						if latest := found.Latest(); latest.After(clock.Now()) {
							t.Errorf("restart %d: the newest time is %v ahead", restart, clock.Until(latest))
						}
						if restart == 1 {
							must(t, l.compact())
						}
						must(t, l.Close())
						wall.Step(between)
					}
				})
			}
		}
	}
}
