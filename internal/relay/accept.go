package relay

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"

	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// This file decides what a submission is: a new message, one that is known by its trace id, or a rejected request.

// accept writes new messages to the log and returns the submissions that are answered once this step is decided. The
// others are answered without the module.
func (r *Relay) accept(ins []*submission) (waiting []*submission) {
	var ms []*wal.Message
	pending := int64(0) // bytes of memory for the new messages, which are not charged yet
	for _, in := range r.dropLeft(ins) {
		old := r.byTrace[in.m.Trace]
		if r.resubmit(in, old) {
			if in.msg != nil {
				waiting = append(waiting, in)
			}
			continue
		}
		if in.unread || !r.hasRoom(in, pending-in.chargedBody()) {
			r.refuseForRoom(in)
			continue
		}
		if a, reason := r.checkAdmission(in.m); a.status != 0 {
			r.reject(in, a, reason)
			continue
		}
		pending += messageCost(len(in.m.Body))
		in.msg = r.newMessage(in.m, old)
		r.connectionMemory.hold(in)
		waiting, ms = append(waiting, in), append(ms, in.m)
	}
	if len(ms) == 0 {
		return waiting
	}
	err := r.wal.Accept(ms...)
	for _, in := range waiting {
		in.msg.unlogged = false
	}
	if err != nil {
		return r.refuseAll(waiting, err)
	}
	for _, in := range waiting {
		if in.msg.Message == in.m {
			r.logTransition(in.msg, stateNew, stateHeld, reasonAccepted)
			in.msg.seq = r.wal.Written()
		}
	}
	r.logFull = false
	return waiting
}

// refuseForRoom refuses a request that there was no room for. Its id gets the same answer if it comes again. The log remembers the
// refusals of regular clients over a restart, but not those of a crowd, which must not fill it.
func (r *Relay) refuseForRoom(in *submission) {
	a := backlogUnavailable()
	if !r.refusedForRoom.contains(in.m.Trace) && r.loggedRefusals.Allow() {
		r.refusedForRoom.add(in.m.Trace)
		r.reject(in, a, reasonNoMemory)
		return
	}
	r.metrics.countRejected(in.m.Class, a)
	r.logTransition(&message{Message: in.m}, stateNew, stateGone, reasonNoMemory, slog.Int("status", a.status))
	r.refusedForRoom.add(in.m.Trace)
	in.reply <- a
}

// refuseAll refuses new messages that the log has not accepted, and returns the submissions of messages that are already
// held. A full disk must not end the process: the messages it holds are still delivered.
func (r *Relay) refuseAll(waiting []*submission, cause error) (held []*submission) {
	if !r.logFull {
		r.log.Warn("refusing new messages", "err", cause)
	}
	r.logFull = true
	for _, in := range waiting {
		if in.msg.Message != in.m && in.msg.seq > 0 {
			held = append(held, in)
			continue
		}
		r.refuse(in, cause)
	}
	for _, m := range r.withdrawn {
		if m.continuation != nil && r.msgs[m.continuation.ID] == nil {
			m.continuation, r.byTrace[m.Trace] = nil, m
		}
	}
	return held
}

// refuse refuses a submission whose message the log has not accepted, or may hold nevertheless.
func (r *Relay) refuse(in *submission, cause error) {
	a := backlogUnavailable()
	if m := in.msg; m.Message == in.m {
		r.held--
		r.metrics.countRejected(m.Class, a)
		r.logTransition(m, stateNew, stateGone, reasonLog, slog.Int("status", a.status))
		delete(r.msgs, m.ID)
		delete(r.byTrace, m.Trace)
		r.connectionMemory.release(m)
	}
	r.wal.RememberRejection(in.m.Trace, in.m.Deadline, wal.Refused)
	if errors.Is(cause, wal.ErrIndeterminate) {
		r.answerOnceRecorded(in, a)
		return
	}
	in.reply <- a
}

// resubmit handles a submission under a known id; old is the message that has it. It is answered, or waits with a message
// that is not answered yet. It returns false if the submission is a new message.
func (r *Relay) resubmit(in *submission, old *message) bool {
	if old != nil && old.unlogged {
		in.msg, old.shared = old, true
		return true
	}
	if r.joinWithheld(in) {
		return true
	}
	if a, ok := r.completedAnswer(in.m); ok {
		in.reply <- a
		return true
	}
	if old == nil {
		a, ok := r.backlog.lookup(in.m.Trace)
		if ok {
			in.reply <- a
		}
		return ok
	}
	if old.Withdrawn && (old.outstanding == 0 || r.cfg.MayDuplicate) {
		return false // a new message replaces it
	}
	if old.dropped {
		old.dropped, old.counted = false, false // it has a client again
	}
	if r.joinPending(in, old) {
		return true
	}
	a := r.repeatAnswer(old)
	r.noteResubmission(in.m, resubmittedPending, a)
	if old.Withdrawn {
		r.complete(old, wal.Failed) // ended by this answer
	}
	in.reply <- a
	return true
}

// hasRoom reports whether there is room for a new message, in memory and in the log. pending is the memory of those that were accepted in
// the same step. Large messages leave room for small ones in both, and a connection leaves room for others.
func (r *Relay) hasRoom(in *submission, pending int64) bool {
	body := len(in.m.Body)
	if body > policy.SmallRequestBytes && r.wal.FillRatio(pending) > policy.LargeLogShare {
		return false
	}
	return r.budget.admits(body, pending) && r.budget.admitsFrom(r.connectionMemory.held(in), body, pending)
}

// checkAdmission returns the answer to a new message that is not accepted, and why; a zero answer if it may be.
func (r *Relay) checkAdmission(m *wal.Message) (answer, stateReason) {
	switch {
	case r.refusedForRoom.contains(m.Trace):
		return backlogUnavailable(), reasonRefused
	case len(r.knownDests) > 0 && !r.knownDests[m.Dest]:
		return badRequest("no such destination: %d", m.Dest), reasonNoDest
	case r.backlog.refuses(m.Dest), r.cfg.Settings.MaxHeld > 0 && r.held >= r.cfg.Settings.MaxHeld:
		return backlogUnavailable(), reasonNoRoom
	}
	return answer{}, ""
}

// newMessage creates a message. It continues old, a withdrawn message under the same id that may have run, if there is
// one.
func (r *Relay) newMessage(w *wal.Message, old *message) *message {
	r.lastID++
	w.ID = r.lastID
	if r.backlog != nil {
		w.Rank = r.rankOf(w)
	}
	m := &message{Message: w, unlogged: true}
	if old != nil {
		m.Attempts, m.MayRun, m.sends = old.Attempts, slices.Clone(old.MayRun), old.sends
		old.continuation = m
	}
	r.msgs[m.ID], r.byTrace[m.Trace] = m, m
	r.held++
	return m
}

// repeatAnswer is the answer to a submission under the id of a known message: that message's end, if it has one.
func (r *Relay) repeatAnswer(m *message) answer {
	switch {
	case m.Withdrawn: // its call is still in progress, and no second one is allowed
		return answer{status: http.StatusInternalServerError}
	case m.Final == nil: // in progress, or delivered
		m.shared = true
		return answer{status: http.StatusAccepted}
	}
	return finalAnswer(*m.Final)
}

// finalAnswer is the answer to a client whose message is not delivered.
func finalAnswer(f wal.Final) answer {
	if f.Deferred {
		return answer{status: http.StatusServiceUnavailable, retryAfter: f.Again}
	}
	return answer{status: http.StatusInternalServerError}
}
