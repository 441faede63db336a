package relay

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// A trace id that is submitted again is answered with its message's outcome. The id of an ended message is never accepted
// as a new message, whoever submits it: the platform's rules forbid any further send for it.

// resubmission is the outcome of the message whose id is submitted again.
type resubmission int

// The outcomes, in the order of resubmissionNames.
const (
	resubmittedPending resubmission = iota
	resubmittedDelivered
	resubmittedRefused
	resubmittedFailed
	resubmissionCount
)

var resubmissionNames = [resubmissionCount]string{"pending", "delivered", "refused", "failed"}

// resubmissions counts the ids that were submitted again. The loop writes the counters and the admin API reads them.
type resubmissions struct {
	counts       [resubmissionCount]atomic.Int64
	remembered   [wal.PriorityCount]atomic.Int64 // outcomes that the log remembers, by their priority
	evicted      [wal.PriorityCount]atomic.Int64 // outcomes that the log forgot for lack of room
	archiveBytes atomic.Int64                    // on disk
	archiveFails bool                            // the archive of outcomes could last not be written
	logLimit     rate.Sometimes
	evictedLimit rate.Sometimes
}

func newResubmissions() resubmissions {
	return resubmissions{
		logLimit:     rate.Sometimes{First: 1, Interval: time.Second},
		evictedLimit: rate.Sometimes{First: 1, Interval: time.Second},
	}
}

// String formats the counters for /api/telemetry.
func (r *resubmissions) String() string {
	var b strings.Builder
	for outcome, name := range resubmissionNames {
		fmt.Fprintf(&b, "\nrelay.resubmitted.%s:%d|c", name, r.counts[outcome].Load())
	}
	var remembered, evicted int64 // of messages
	for p := range wal.PriorityCount {
		if p != wal.RejectedPriority {
			remembered += r.remembered[p].Load()
			evicted += r.evicted[p].Load()
		}
		fmt.Fprintf(&b, "\nrelay.completions.%v:%d|g\nrelay.completions_evicted.%v:%d|c", p, r.remembered[p].Load(), p, r.evicted[p].Load())
	}
	fmt.Fprintf(&b, "\nrelay.completions:%d|g\nrelay.completions_evicted:%d|c\nrelay.completions_bytes:%d|g", remembered, evicted,
		r.archiveBytes.Load())
	return b.String()
}

// updateCompletionMetrics publishes which ends the log remembers, and logs that it forgets some whose messages must not run again.
func (r *Relay) updateCompletionMetrics() {
	stats := r.wal.CompletionStats()
	forgotten := false
	for p := range wal.PriorityCount {
		r.resubmitted.remembered[p].Store(int64(stats.Remembered[p]))
		before := r.resubmitted.evicted[p].Swap(stats.Evicted[p])
		forgotten = forgotten || p >= wal.KeyedPriority && stats.Evicted[p] > before
	}
	r.resubmitted.archiveBytes.Store(stats.ArchiveBytes)
	if fails := stats.ArchiveError != nil; fails != r.resubmitted.archiveFails {
		r.resubmitted.archiveFails = fails
		if fails {
			r.log.Error("cannot archive ended requests: they are kept in the log for now", "err", stats.ArchiveError)
		} else {
			r.log.Info("ended requests are archived again")
		}
	}
	if forgotten {
		r.resubmitted.evictedLimit.Do(func() {
			r.log.Warn("no room to remember all ended requests: the oldest are forgotten, and would be sent again if their ids came again",
				"forgotten_unsafe", stats.Evicted[wal.UnsafePriority], "forgotten_keyed", stats.Evicted[wal.KeyedPriority])
		})
	}
}

// completionPriority returns the priority with which the ends of a class's messages are remembered.
func (r *Relay) completionPriority(class int) wal.Priority {
	if class < 0 || class >= len(r.cfg.Settings.Classes) {
		return wal.UnsafePriority
	}
	switch r.cfg.Settings.Classes[class].Effect {
	case policy.Safe:
		return wal.RepeatablePriority
	case policy.Keyed:
		return wal.KeyedPriority
	}
	return wal.UnsafePriority
}

// completionAnswer returns the answer for the id of an ended message, and how to count it.
func completionAnswer(how wal.Completion) (answer, resubmission) {
	switch how {
	case wal.Delivered:
		return answer{status: http.StatusAccepted}, resubmittedDelivered
	case wal.Refused:
		return finalAnswer(wal.Final{Deferred: true, Again: policy.MinRetryAfter}), resubmittedRefused
	}
	return finalAnswer(wal.Final{}), resubmittedFailed
}

// completedAnswer answers a submission under the id of an ended message. It returns false if no such end is remembered.
func (r *Relay) completedAnswer(m *wal.Message) (answer, bool) {
	if how, ok := r.wal.Completed(m.Trace); ok {
		a, outcome := completionAnswer(how)
		r.noteResubmission(m, outcome, a)
		return a, true
	}
	return answer{}, false
}

// noteResubmission counts and logs that an id was submitted again, and its answer.
func (r *Relay) noteResubmission(m *wal.Message, outcome resubmission, a answer) {
	r.resubmitted.counts[outcome].Add(1)
	r.logTransition(&message{Message: m}, stateNew, stateGone, reasonResubmitted, slog.String("ended_as", resubmissionNames[outcome]),
		slog.Int("status", a.status))
	if outcome != resubmittedPending {
		r.resubmitted.logLimit.Do(func() {
			r.log.Info("the id of a request that has ended came again", "trace", m.Trace, "ended_as", resubmissionNames[outcome], "status", a.status)
		})
	}
}

// reject records that a request is not accepted. It is answered at the end of the step, once the log has been told.
func (r *Relay) reject(in *submission, a answer, reason stateReason) {
	how := wal.Failed
	if a.status == http.StatusServiceUnavailable {
		how = wal.Refused
	}
	if a.status >= http.StatusInternalServerError {
		r.metrics.countRejected(in.m.Class, a)
	}
	r.logTransition(&message{Message: in.m}, stateNew, stateGone, reason, slog.Int("status", a.status))
	r.wal.RememberRejection(in.m.Trace, in.m.Deadline, how)
	r.rejected = append(r.rejected, rejection{in, a})
}

// rejection is a request that is not accepted, with its answer.
type rejection struct {
	in     *submission
	answer answer
}

// answerRejected answers the requests rejected in this step. The log holds no message of theirs, so the answers need not
// wait for a failing disk.
func (r *Relay) answerRejected() {
	for _, t := range r.rejected {
		t.in.reply <- t.answer
	}
	r.rejected = r.rejected[:0]
}
