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
	resubmissionCount
)

var resubmissionNames = [resubmissionCount]string{"pending", "delivered", "refused", "failed"}

// resubmissions counts ids that came again. The loop counts, the second address reads.
type resubmissions struct {
	counts     [resubmissionCount]atomic.Int64
	remembered atomic.Int64 // ends in the log
	evicted    atomic.Int64 // ends that it has forgotten before their time
	logLimit   rate.Sometimes
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
		return finalAnswer(wal.Final{Deferred: true, Again: policy.RetryAdvice}), resubmittedRefused
	}
	return finalAnswer(wal.Final{}), resubmittedFailed
}

// completedAnswer is the answer to a hand-in under the id of a message that has completedAnswer; false if none is remembered.
func (r *Relay) completedAnswer(m *wal.Message) (answer, bool) {
	if how, ok := r.wal.Completed(m.Trace); ok {
		a, way := completionAnswer(how)
		r.noteResubmission(m, way, a)
		return a, true
	}
	return answer{}, false
}

// noteResubmission notes that an id came again, and what it was answered.
func (r *Relay) noteResubmission(m *wal.Message, way resubmission, a answer) {
	r.resubmitted.counts[way].Add(1)
	r.logTransition(&message{Message: m}, stateNew, stateGone, reasonResubmitted, slog.String("ended_as", resubmissionNames[way]),
		slog.Int("status", a.status))
	if way != resubmittedPending {
		r.resubmitted.logLimit.Do(func() {
			r.log.Info("the id of a request that has ended came again", "trace", m.Trace, "ended_as", resubmissionNames[way], "status", a.status)
		})
	}
}

// reject remembers that a request is not taken on. It is answered at the end of the step, once the log has been told.
func (r *Relay) reject(in *submission, a answer, why stateReason) {
	how := wal.Failed
	if a.status == http.StatusServiceUnavailable {
		how = wal.Refused
	}
	if a.status >= http.StatusInternalServerError {
		r.metrics.countRejected(in.m.Class, a)
	}
	r.logTransition(&message{Message: in.m}, stateNew, stateGone, why, slog.Int("status", a.status))
	r.wal.TurnAway(in.m.Trace, in.m.Deadline, how)
	r.rejected = append(r.rejected, rejection{in, a})
}

// rejection is a request that is not taken on, with its answer.
type rejection struct {
	in     *submission
	answer answer
}

// answerRejected answers the requests that were not taken on in this step. Nothing of them was, so that an answer waits for no
// disk that fails.
func (r *Relay) answerRejected() {
	for _, t := range r.rejected {
		t.in.reply <- t.answer
	}
	r.rejected = r.rejected[:0]
}
