package relay

import (
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// Whether a call that is still out has run is told by its outcome, not by its place in the log.
func TestACallThatIsOutIsNotTakenToHaveRun(t *testing.T) {
	r := newTestRelay(t)
	for _, c := range []struct {
		out  int // -1: none
		ran  bool
		zone int
	}{{-1, true, 0}, {0, true, 1}, {1, true, 0}} {
		m := &message{Message: &wal.Message{Attempts: 2, MayRun: []wal.Attempt{{N: 0, Zone: 0, At: time.Now()}, {N: 1, Zone: 1, At: time.Now()}}}}
		var out *policy.Out
		if c.out >= 0 {
			out = &policy.Out{Attempt: c.out}
		}
		if got := r.resumed(m, out).Resumed; got.Ran != c.ran || got.RanZone != c.zone || len(m.MayRun) != 2 {
			t.Errorf("out %d: %+v", c.out, got)
		}
	}
	m := &message{Message: &wal.Message{Attempts: 1, MayRun: []wal.Attempt{{N: 0, At: time.Now()}}}}
	if r.resumed(m, &policy.Out{Attempt: 0}).Resumed.Ran {
		t.Error("the one call, which is out, is taken to have run")
	}
}
