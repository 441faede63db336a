package audit

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

const (
	// minUntried is how many untried messages restarts have to find for their share to mean something.
	minUntried = 6
	// earlyMargin is how long before its time an end counts as given up early.
	earlyMargin = 500 * time.Millisecond
)

// checkGivenUp checks that what restarts find untried, with half of its time left, is tried.
func (a *auditor) checkGivenUp() {
	untried, givenUp := 0, 0
	var last Violation
	for _, h := range a.ledger.HandIns {
		ready := a.recoveredAt(h)
		calls, notices := a.calls[h.Trace], a.notices[h.Trace]
		if ready == ledger.Never || len(calls) > 0 && calls[0].FirstByte < ready || len(notices) > 0 && notices[0].At < ready {
			continue
		}
		if h.Deadline-ready < (h.Deadline-h.Answered)/2 || a.attempted(h) {
			continue
		}
		untried++
		if len(calls) == 0 && len(notices) > 0 && notices[0].At < h.Deadline-earlyMargin {
			givenUp++
			last = Violation{Rule: RuleGivenUp, At: notices[0].At, Relay: a.plan.Relays[h.Relay].Name}
		}
	}
	if untried >= minUntried && 2*givenUp > untried {
		a.report(RuleGivenUp, last.At, 0, "%d of %d messages that restarts found untried were given up with no call", givenUp, untried)
	}
}

// attempted tells whether a restart found a message of which its relay has attempts on record: connections that are refused reach no
// endpoint's books.
func (a *auditor) attempted(h *ledger.HandIn) bool {
	return slices.ContainsFunc(a.ledger.Recovered, func(x ledger.Recovered) bool {
		return x.Relay == h.Relay && x.Trace == h.Trace && x.Attempts > 0
	})
}

// recoveredAt is when the process was ready that found a message which another had taken on; Never if none did.
func (a *auditor) recoveredAt(h *ledger.HandIn) time.Duration {
	if h.Answered == ledger.Never || h.Status >= 300 {
		return ledger.Never
	}
	for _, x := range a.lives[h.Relay] {
		if x.Start > h.Answered && x.Ready != ledger.Never && !x.Replaces && !x.Emptied {
			return x.Ready
		}
	}
	return ledger.Never
}
