package audit

import (
	"net/http"
	"time"
)

// deadlineTolerance is by how much a restart may be wrong about a message's time: the way from its client, and of the log's line.
const deadlineTolerance = time.Second

// checkRefused checks that what was checkRefused, and may so be handed in anew, is not sent.
func (a *auditor) checkRefused() {
	for _, h := range a.ledger.HandIns {
		if h.Status != http.StatusTooManyRequests && h.Status != http.StatusServiceUnavailable {
			continue
		}
		for _, c := range a.calls[h.Trace] {
			if c.FirstByte > h.Answered+limitTolerance && !a.lostState(c.Relay, h.Answered, c.FirstByte) &&
				!a.neverAccepted(h.Trace, c.Relay, h.Answered, c.FirstByte) {
				a.report(RuleRefusedSent, c.FirstByte, c.Relay, "%s: refused with %d at %v, and sent", h.Trace, h.Status, h.Answered)
				break
			}
		}
	}
}

// checkDeadlines checks what restarts told of the time that messages have left.
func (a *auditor) checkDeadlines() {
	for _, x := range a.ledger.Recovered {
		h := a.ledger.Find(x.Trace)
		if h == nil {
			continue
		}
		off := x.Left - (h.Deadline - x.At)
		for _, r := range a.ledger.Resubmissions { // taken for a new message where the first never came, or its client had left
			if o := x.Left - (r.Deadline - x.At); r.Trace == x.Trace && r.Sent < x.At && o.Abs() < off.Abs() {
				off = o
			}
		}
		if off.Abs() > deadlineTolerance {
			a.report(RuleDeadlineMoved, x.At, x.Relay, "%s: a restart takes it to have %v left, off by %v", x.Trace, x.Left, off)
		}
	}
}
