package relay

import (
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
)

// An answer which says that a message is over is withheld while the log may still hold the message: the next process would send it.
// It is given once the log has the end, or can no longer hold the message; a client that has left by then hands its message in anew,
// and what is sent under the old id counts for nothing.

// abandonAfter is how long an answer is withheld at most. By the platform's protocol clients have left after 400 ms.
const abandonAfter = 420 * time.Millisecond

// withheldAnswer is an answer that waits for the log.
type withheldAnswer struct {
	in     *handIn
	answer answer
	until  time.Time
	over   bool // its client has left; the id is still not to be taken on
}

// deny answers a hand-in whose message is over, at once if no later process can find the message open.
func (r *Relay) deny(in *handIn, a answer) {
	if r.recorded() {
		in.reply <- a
		return
	}
	r.withheld = append(r.withheld, withheldAnswer{in: in, answer: a, until: clock.Now().Add(abandonAfter)})
	time.AfterFunc(abandonAfter, func() { r.post(nudge{}) })
}

// recorded tells whether the log is well and has all that was noted.
func (r *Relay) recorded() bool { return r.wal.Failure() == nil && r.record(nil) == nil }

// withholds withholds the answer to a hand-in under the id of a message whose answer is withheld; false if there is none.
func (r *Relay) withholds(in *handIn) bool {
	i := slices.IndexFunc(r.withheld, func(w withheldAnswer) bool { return w.in.m.Trace == in.m.Trace })
	if i >= 0 {
		r.deny(in, r.withheld[i].answer)
	}
	return i >= 0
}

// releaseWithheld gives the answers that need no longer be withheld, and gives up those whose clients have left.
func (r *Relay) releaseWithheld() {
	if len(r.withheld) == 0 {
		return
	}
	recorded, now := r.recorded(), clock.Now()
	r.withheld = slices.DeleteFunc(r.withheld, func(w withheldAnswer) bool {
		if recorded && !w.over {
			w.in.reply <- w.answer
		}
		return recorded
	})
	for i := range r.withheld {
		w := &r.withheld[i]
		if !w.over && !now.Before(w.until) {
			w.over = true
			w.in.reply <- answer{} // to nobody
		}
	}
}
