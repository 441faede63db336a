package relay

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"

	"golang.org/x/time/rate"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// A trace id that comes again is answered by what became of it. A message that has ended, whoever hands its id in, is never taken
// on anew: by the platform's rules nothing may be sent for it any more.

// resubmission is what became of an id that comes again.
type resubmission int

// The ways, in the order of resubmissionNames.
const (
	resubmittedPending resubmission = iota
	resubmittedDelivered
	resubmittedRefused
	resubmittedFailed
	resubmissionWays
)

var resubmissionNames = [resubmissionWays]string{"pending", "delivered", "refused", "failed"}

// resubmissions counts ids that came again. The loop counts, the second address reads.
type resubmissions struct {
	counts     [resubmissionWays]atomic.Int64
	remembered atomic.Int64 // ends in the log
	evicted    atomic.Int64 // ends that it has forgotten before their time
	inform     rate.Sometimes
}

// String is the counters in the form of the second address.
func (s *resubmissions) String() string {
	var b strings.Builder
	for way, name := range resubmissionNames {
		fmt.Fprintf(&b, "\nrelay.resubmitted.%s:%d|c", name, s.counts[way].Load())
	}
	fmt.Fprintf(&b, "\nrelay.completions:%d|g\nrelay.completions_evicted:%d|c", s.remembered.Load(), s.evicted.Load())
	return b.String()
}

// completionAnswer is what the id of a message that has ended is answered, and how that is counted.
func completionAnswer(how wal.Completion) (answer, resubmission) {
	switch how {
	case wal.Delivered:
		return answer{status: http.StatusAccepted}, resubmittedDelivered
	case wal.Refused:
		return finalAnswer(wal.Final{Deferred: true, Again: policy.MinRetryAfter}), resubmittedRefused
	}
	return finalAnswer(wal.Final{}), resubmittedFailed
}

// ended is the answer to a hand-in under the id of a message that has ended; false if none is remembered.
func (r *Relay) ended(m *wal.Message) (answer, bool) {
	if how, ok := r.wal.Completed(m.Trace); ok {
		a, way := completionAnswer(how)
		r.resubmittedAs(m, way, a)
		return a, true
	}
	return answer{}, false
}

// resubmittedAs notes that an id came again, and what it was answered.
func (r *Relay) resubmittedAs(m *wal.Message, way resubmission, a answer) {
	r.resubmitted.counts[way].Add(1)
	r.changed(&message{Message: m}, stateNew, stateGone, reasonResubmitted, slog.String("ended_as", resubmissionNames[way]),
		slog.Int("status", a.status))
	if way != resubmittedPending {
		r.resubmitted.inform.Do(func() {
			r.log.Info("the id of a request that has ended came again", "trace", m.Trace, "ended_as", resubmissionNames[way], "status", a.status)
		})
	}
}

// turnAway remembers that a request is not taken on. It is answered at the end of the step, once the log has been told.
func (r *Relay) turnAway(in *handIn, a answer, why reason) {
	how := wal.Failed
	if a.status == http.StatusServiceUnavailable {
		how = wal.Refused
	}
	if a.status >= http.StatusInternalServerError {
		r.figures.turned(in.m.Class, a)
	}
	r.changed(&message{Message: in.m}, stateNew, stateGone, why, slog.Int("status", a.status))
	r.wal.TurnAway(in.m.Trace, in.m.Deadline, how)
	r.turnedAway = append(r.turnedAway, turnedAway{in, a})
}

// turnedAway is a request that is not taken on, with its answer.
type turnedAway struct {
	in     *handIn
	answer answer
}

// answerTurnedAway answers the requests that were not taken on in this step. Nothing of them was, so that an answer waits for no
// disk that fails.
func (r *Relay) answerTurnedAway() {
	for _, t := range r.turnedAway {
		t.in.reply <- t.answer
	}
	r.turnedAway = r.turnedAway[:0]
}
