package audit

import (
	"net/http"
	"time"
)

// deadlineTolerance is the allowed error of the remaining time that a restart logs: it covers the delay from the client and
// that of the log line.
const deadlineTolerance = time.Second

// checkRefused checks that refused messages, which their clients may submit again, are not sent.
func (a *auditor) checkRefused() {
	for _, h := range a.ledger.Submissions {
		if h.Status != http.StatusTooManyRequests && h.Status != http.StatusServiceUnavailable {
			continue
		}
		for _, c := range a.calls[h.Trace] {
			if c.FirstByte > h.Answered+limitTolerance && !a.lostState(c.Relay, h.Answered, c.FirstByte) &&
				!a.neverAccepted(h.Trace, c.Relay, h.Answered, c.FirstByte) {
				a.report(RuleRefusedSent, c.FirstByte, c.Relay, "%s: sent after it was refused with %d at %v", h.Trace, h.Status, h.Answered)
				break
			}
		}
	}
}

// checkDeadlines checks the remaining time that restarts log for the messages that they recover.
func (a *auditor) checkDeadlines() {
	for _, x := range a.ledger.Recoveries {
		h := a.ledger.Find(x.Trace)
		if h == nil {
			continue
		}
		deviation := x.Remaining - (h.Deadline - x.At)
		for _, r := range a.ledger.Resubmissions { // the relay accepts it as new if the first never arrived or its client had left
			if o := x.Remaining - (r.Deadline - x.At); r.Trace == x.Trace && r.Sent < x.At && o.Abs() < deviation.Abs() {
				deviation = o
			}
		}
		if deviation.Abs() > deadlineTolerance {
			a.report(RuleDeadlineMoved, x.At, x.Relay, "%s: a restart computed %v as the remaining time, off by %v", x.Trace, x.Remaining, deviation)
		}
	}
}
