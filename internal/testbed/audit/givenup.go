package audit

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

const (
	// minUntried is the least number of unattempted messages recovered by restarts for their share to be meaningful.
	minUntried = 6
	// earlyMargin is how long before its deadline a message must end to count as given up early.
	earlyMargin = 500 * time.Millisecond
)

// checkGivenUp checks that messages which a restart recovers unattempted, with half of their time left, are attempted.
func (a *auditor) checkGivenUp() {
	untried, givenUp := 0, 0
	var last Violation
	for _, h := range a.ledger.Submissions {
		recovered := a.recoveredAt(h)
		calls, notices := a.calls[h.Trace], a.notices[h.Trace]
		if recovered == ledger.Never || len(calls) > 0 && calls[0].FirstByte < recovered || len(notices) > 0 && notices[0].At < recovered {
			continue
		}
		if h.Deadline-recovered < (h.Deadline-h.Answered)/2 || a.attempted(h) {
			continue
		}
		untried++
		if len(calls) == 0 && len(notices) > 0 && notices[0].At < h.Deadline-earlyMargin {
			givenUp++
			last = Violation{Rule: RuleGivenUp, At: notices[0].At, Relay: a.plan.Relays[h.Relay].Name}
		}
	}
	if untried >= minUntried && 2*givenUp > untried {
		a.report(RuleGivenUp, last.At, 0, "%d of %d unattempted messages that restarts recovered were given up without a call", givenUp, untried)
	}
}

// attempted reports whether the relay's own log has attempts for a recovered message. Refused connections reach no endpoint,
// so the endpoints' records do not show them.
func (a *auditor) attempted(h *ledger.Submission) bool {
	return slices.ContainsFunc(a.ledger.Recoveries, func(x ledger.Recovery) bool {
		return x.Relay == h.Relay && x.Trace == h.Trace && x.Attempts > 0
	})
}

// recoveredAt returns when the process became ready that recovered a message accepted by an earlier process, or Never.
func (a *auditor) recoveredAt(h *ledger.Submission) time.Duration {
	if h.Answered == ledger.Never || h.Status >= 300 {
		return ledger.Never
	}
	for _, x := range a.lives[h.Relay] {
		if x.Start > h.Answered && x.Ready != ledger.Never && !x.Replacement && !x.EmptyState {
			return x.Ready
		}
	}
	return ledger.Never
}
