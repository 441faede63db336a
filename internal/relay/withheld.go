package relay

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// An answer that declares a message over is withheld while the log may still hold the message, because the next process
// would send it. The answer is given once the log has recorded the end or can no longer hold the message. A client that
// has disconnected by then submits its message again, and sends under the old id do not count.

// withholdLimit is the longest time that an answer is withheld. By the platform's protocol clients disconnect after 400
// ms.
const withholdLimit = 420 * time.Millisecond

// withheldAnswer is an answer that waits for the log.
type withheldAnswer struct {
	in        *submission
	answer    answer
	until     time.Time
	abandoned bool // its client has disconnected; the id must still not be accepted
}

// answerOnceRecorded answers a submission whose message is over: at once if no later process can find the message open,
// otherwise once the log has recorded the end.
func (r *Relay) answerOnceRecorded(in *submission, a answer) {
	if r.logUpToDate() {
		in.reply <- a
		return
	}
	r.withheld = append(r.withheld, withheldAnswer{in: in, answer: a, until: clock.Now().Add(withholdLimit)})
	time.AfterFunc(withholdLimit, func() { r.post(wakeLoop{}) })
}

// logUpToDate reports whether the log works and has recorded everything.
func (r *Relay) logUpToDate() bool { return r.wal.Failure() == nil && r.record(nil) == nil }

// joinWithheld withholds the answer to a submission under an id whose answer is already withheld. It returns false if
// there is none.
func (r *Relay) joinWithheld(in *submission) bool {
	i := slices.IndexFunc(r.withheld, func(w withheldAnswer) bool { return w.in.m.Trace == in.m.Trace })
	if i >= 0 {
		r.answerOnceRecorded(in, r.withheld[i].answer)
	}
	return i >= 0
}

// releaseWithheld gives the answers that no longer need to be withheld, and abandons those whose clients have
// disconnected.
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
			w.in.reply <- answer{} // nobody is waiting for it
		}
	}
}
