package relay

import (
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// A trace id that comes again is answered by what became of it. A message that has ended, whoever hands its id in, is never taken
// on anew: by the platform's rules nothing may be sent for it any more.

// turnedAwayMost bounds how many ids of requests are kept in memory that were turned away before they were taken on.
const turnedAwayMost = 4096

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
		return finalAnswer(wal.Final{Deferred: true, Again: policy.RetryAdvice}), resubmittedRefused
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
	if a, ok := r.turnedAway.find(m.Trace); ok {
		way := resubmittedRefused
		if a.status != http.StatusServiceUnavailable {
			way = resubmittedFailed
		}
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

// turnAway answers a request that is not taken on, and remembers that.
func (r *Relay) turnAway(in *handIn, a answer, why reason) {
	if a.status >= http.StatusInternalServerError {
		r.figures.turned(in.m.Class, a)
	}
	r.changed(&message{Message: in.m}, stateNew, stateGone, why, slog.Int("status", a.status))
	r.turnedAway.add(in.m.Trace, a, in.m.Deadline)
	in.reply <- a
}

// refusals are the answers to requests that were turned away, by trace id. Nothing of them was taken on, so that they need not
// outlast the process.
type refusals struct {
	answers map[string]refusal
	order   []string // the oldest first
}

type refusal struct {
	answer answer
	until  time.Time // the request's deadline
}

func (f *refusals) find(trace string) (answer, bool) {
	known, ok := f.answers[trace]
	return known.answer, ok
}

// add remembers an answer until the request's time is up, as far as there is room.
func (f *refusals) add(trace string, a answer, until time.Time) {
	if f.answers == nil {
		f.answers = map[string]refusal{}
	}
	if _, known := f.answers[trace]; !known {
		f.order = append(f.order, trace)
	}
	f.answers[trace] = refusal{a, until}
	now := clock.Now()
	for len(f.order) > turnedAwayMost || len(f.order) > 0 && f.answers[f.order[0]].until.Before(now) {
		delete(f.answers, f.order[0])
		f.order = f.order[1:]
	}
}
