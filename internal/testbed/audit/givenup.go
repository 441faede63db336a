package audit

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/ledger"
)

const (
	// fewUntried is how many untried messages restarts have to find for their share to mean something.
	fewUntried = 6
	// endEarly is how long before its time an end counts as given up early.
	endEarly = 500 * time.Millisecond
)

// givenUp checks that what restarts find untried, with half of its time left, is tried.
func (j *judge) givenUp() {
	found, lost := 0, 0
	var last Breach
	for _, h := range j.l.Submissions {
		ready := j.outlived(h)
		calls, notices := j.calls[h.Trace], j.notices[h.Trace]
		if ready == ledger.Never || len(calls) > 0 && calls[0].FirstByte < ready || len(notices) > 0 && notices[0].At < ready {
			continue
		}
		if h.Deadline-ready < (h.Deadline-h.Answered)/2 || j.tried(h) {
			continue
		}
		found++
		if len(calls) == 0 && len(notices) > 0 && notices[0].At < h.Deadline-endEarly {
			lost++
			last = Breach{Rule: GivenUp, At: notices[0].At, Relay: j.plan.Relays[h.Relay].Name}
		}
	}
	if found >= fewUntried && 2*lost > found {
		j.broken(GivenUp, last.At, 0, "%d of %d messages that restarts found untried were given up with no call", lost, found)
	}
}

// tried tells whether a restart found a message of which its relay has attempts on record: connections that are refused reach no
// endpoint's books.
func (j *judge) tried(h *ledger.Submission) bool {
	return slices.ContainsFunc(j.l.Recoveries, func(x ledger.Recovery) bool {
		return x.Relay == h.Relay && x.Trace == h.Trace && x.Attempts > 0
	})
}

// outlived is when the process was ready that found a message which another had taken on; Never if none did.
func (j *judge) outlived(h *ledger.Submission) time.Duration {
	if h.Answered == ledger.Never || h.Status >= 300 {
		return ledger.Never
	}
	for _, x := range j.lives[h.Relay] {
		if x.Start > h.Answered && x.Ready != ledger.Never && !x.Replacement && !x.EmptyState {
			return x.Ready
		}
	}
	return ledger.Never
}
