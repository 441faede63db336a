package relay

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// An answer which says that a message is over is withheld while the log may still hold the message: the next process would send it.
// It is given once the log has the end, or can no longer hold the message; a client that has left by then hands its message in anew,
// and what is sent under the old id counts for nothing.

// withholdLimit is how long an answer is withheld at most. By the platform's protocol clients have left after 400 ms.
const withholdLimit = 420 * time.Millisecond

// withheldAnswer is an answer that waits for the log.
type withheldAnswer struct {
	in        *submission
	answer    answer
	until     time.Time
	abandoned bool // its client has left; the id is still not to be taken on
}

// answerOnceRecorded answers a hand-in whose message is over, at once if no later process can find the message open.
func (r *Relay) answerOnceRecorded(in *submission, a answer) {
	if r.logUpToDate() {
		in.reply <- a
		return
	}
	r.withheld = append(r.withheld, withheldAnswer{in: in, answer: a, until: clock.Now().Add(withholdLimit)})
	time.AfterFunc(withholdLimit, func() { r.post(wakeLoop{}) })
}

// logUpToDate tells whether the log is well and has all that was noted.
func (r *Relay) logUpToDate() bool { return r.wal.Failure() == nil && r.record(nil) == nil }

// joinWithheld joinWithheld the answer to a hand-in under the id of a message whose answer is withheld; false if there is none.
func (r *Relay) joinWithheld(in *submission) bool {
	i := slices.IndexFunc(r.withheld, func(w withheldAnswer) bool { return w.in.m.Trace == in.m.Trace })
	if i >= 0 {
		r.answerOnceRecorded(in, r.withheld[i].answer)
	}
	return i >= 0
}

// releaseWithheld gives the answers that need no longer be withheld, and gives up those whose clients have left.
func (r *Relay) releaseWithheld() {
	if len(r.withheld) == 0 {
		return
	}
	recorded, now := r.logUpToDate(), clock.Now()
	r.withheld = slices.DeleteFunc(r.withheld, func(w withheldAnswer) bool {
		if recorded && !w.abandoned {
			w.in.reply <- w.answer
		}
		return recorded
	})
	for i := range r.withheld {
		w := &r.withheld[i]
		if !w.abandoned && !now.Before(w.until) {
			w.abandoned = true
			w.in.reply <- answer{} // to nobody
		}
	}
}
