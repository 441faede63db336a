package relay

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"

	"onyxroad.dev/onyxroad/internal/wal"
)

// What becomes of a hand-in: a new message, one that is known by its trace id, or a request that is turned away.

// accept puts new messages in the log and returns the hand-ins that are answered when this step is decided. The
// others have their answers.
func (r *Relay) accept(ins []*handIn) (waiting []*handIn) {
	var ms []*wal.Message
	for _, in := range ins {
		old := r.traces[in.m.Trace]
		if r.resubmit(in, old) {
			if in.as != nil {
				waiting = append(waiting, in)
			}
			continue
		}
		if a, why := r.admission(in.m); a.status != 0 {
			r.turnAway(in, a, why)
			continue
		}
		in.as = r.newMessage(in.m, old)
		waiting, ms = append(waiting, in), append(ms, in.m)
	}
	if len(ms) == 0 {
		return waiting
	}
	err := r.wal.Accept(ms...)
	for _, in := range waiting {
		in.as.fresh = false
	}
	if err != nil {
		return r.refuseAll(waiting, err)
	}
	for _, in := range waiting {
		if in.as.Message == in.m {
			r.changed(in.as, stateNew, stateHeld, reasonAccepted)
			in.as.seq = r.wal.Written()
		}
	}
	r.full = false
	return waiting
}

// refuseAll refuses new messages that the log has not taken, and returns the hand-ins of messages that are held. A full disk is no
// reason to die: what is held goes on.
func (r *Relay) refuseAll(waiting []*handIn, cause error) (held []*handIn) {
	if !r.full {
		r.log.Warn("refusing new messages", "err", cause)
	}
	r.full = true
	for _, in := range waiting {
		if in.as.Message != in.m && in.as.seq > 0 {
			held = append(held, in)
			continue
		}
		r.refuse(in, cause)
	}
	for _, m := range r.left {
		if m.next != nil && r.msgs[m.next.ID] == nil {
			m.next, r.traces[m.Trace] = nil, m
		}
	}
	return held
}

// refuse refuses a hand-in whose message the log has not taken, or may hold all the same.
func (r *Relay) refuse(in *handIn, cause error) {
	a := backlogUnavailable()
	if m := in.as; m.Message == in.m {
		r.held--
		r.figures.turned(m.Class, a)
		r.changed(m, stateNew, stateGone, reasonLog, slog.Int("status", a.status))
		delete(r.msgs, m.ID)
		delete(r.traces, m.Trace)
	}
	r.wal.TurnAway(in.m.Trace, in.m.Deadline, wal.Refused)
	if errors.Is(cause, wal.ErrUnclear) {
		r.deny(in, a)
		return
	}
	in.reply <- a
}

// resubmit takes a hand-in under an id that is known, old being the message that has it; false if it is a new message. It is
// answered, or waits with a message that is not answered yet.
func (r *Relay) resubmit(in *handIn, old *message) bool {
	if old != nil && old.fresh {
		in.as, old.shared = old, true
		return true
	}
	if r.withholds(in) {
		return true
	}
	if a, ok := r.ended(in.m); ok {
		in.reply <- a
		return true
	}
	if old == nil {
		a, ok := r.owed.lookup(in.m.Trace)
		if ok {
			in.reply <- a
		}
		return ok
	}
	if old.Withdrawn && (old.out == 0 || r.cfg.MayDuplicate) {
		return false // it goes on as another
	}
	if r.joinPending(in, old) {
		return true
	}
	a := r.again(old)
	r.resubmittedAs(in.m, resubmittedPending, a)
	if old.Withdrawn {
		r.complete(old, wal.Failed) // by this answer
	}
	in.reply <- a
	return true
}

// admission is the answer to a new message that is not taken on, and why; the zero answer if it may be.
func (r *Relay) admission(m *wal.Message) (answer, reason) {
	switch {
	case len(r.cells) > 0 && !r.cells[m.Dest]:
		return bad("no such destination: %d", m.Dest), reasonNoDest
	case r.owed.refuses(m.Dest), r.cfg.Settings.MaxHeld > 0 && r.held >= r.cfg.Settings.MaxHeld:
		return backlogUnavailable(), reasonNoRoom
	}
	return answer{}, ""
}

// newMessage begins a message. It goes on from old, a withdrawn one under the same id, if there is one: that may have run.
func (r *Relay) newMessage(w *wal.Message, old *message) *message {
	r.lastID++
	w.ID = r.lastID
	if r.owed != nil {
		w.Rank = r.rankOf(w)
	}
	m := &message{Message: w, fresh: true}
	if old != nil {
		m.Attempts, m.MayRun, m.sends = old.Attempts, slices.Clone(old.MayRun), old.sends
		old.next = m
	}
	r.msgs[m.ID], r.traces[m.Trace] = m, m
	r.held++
	return m
}

// again is the answer to a hand-in under the id of a message that is known: the end that this one has, if any.
func (r *Relay) again(m *message) answer {
	switch {
	case m.Withdrawn: // its call is still out, and may not have company
		return answer{status: http.StatusInternalServerError}
	case m.Final == nil: // under way, or delivered
		m.shared = true
		return answer{status: http.StatusAccepted}
	}
	return finalAnswer(*m.Final)
}

// finalAnswer is what a client is told of a message that is not delivered.
func finalAnswer(f wal.Final) answer {
	if f.Deferred {
		return answer{status: http.StatusServiceUnavailable, again: f.Again}
	}
	return answer{status: http.StatusInternalServerError}
}
