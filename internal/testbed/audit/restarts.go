package audit

import (
	"net/http"
	"time"
)

// movedMost is by how much a restart may be wrong about a message's time: the way from its client, and of the log's line.
const movedMost = time.Second

// refused checks that what was refused, and may so be handed in anew, is not sent.
func (j *judge) refused() {
	for _, h := range j.l.Submissions {
		if h.Status != http.StatusTooManyRequests && h.Status != http.StatusServiceUnavailable {
			continue
		}
		for _, c := range j.calls[h.Trace] {
			if c.FirstByte > h.Answered+slack && !j.emptied(c.Relay, h.Answered, c.FirstByte) &&
				!j.neverTaken(h.Trace, c.Relay, h.Answered, c.FirstByte) {
				j.broken(SentAgain, c.FirstByte, c.Relay, "%s: refused with %d at %v, and sent", h.Trace, h.Status, h.Answered)
				break
			}
		}
	}
}

// moved checks what restarts told of the time that messages have left.
func (j *judge) moved() {
	for _, x := range j.l.Recoveries {
		h := j.l.Find(x.Trace)
		if h == nil {
			continue
		}
		off := x.Remaining - (h.Deadline - x.At)
		for _, r := range j.l.Resubmissions { // taken for a new message where the first never came, or its client had left
			if o := x.Remaining - (r.Deadline - x.At); r.Trace == x.Trace && r.Sent < x.At && o.Abs() < off.Abs() {
				off = o
			}
		}
		if off.Abs() > movedMost {
			j.broken(Moved, x.At, x.Relay, "%s: a restart takes it to have %v left, off by %v", x.Trace, x.Remaining, off)
		}
	}
}
