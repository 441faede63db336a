package relay

import (
	"log/slog"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// This file applies a step's input, such as submissions, outcomes and ends, to the log and to the module.

// step passes a batch of events to the module and carries out its decisions.
func (r *Relay) step(batch []any) {
	now := r.now()
	if !r.wakeAt.IsZero() && !clock.Now().Before(r.wakeAt) {
		r.wakeAt = time.Time{}
	}
	evs := append([]policy.Event(nil), r.nextEvents...)
	r.nextEvents = r.nextEvents[:0]
	if r.successor != nil {
		r.forwardStep(batch)
		return
	}
	var checks []sendCheck
	var handoverRequests []handoverRequest
	var submissions []*submission
	for _, e := range batch {
		switch e := e.(type) {
		case *submission:
			submissions = append(submissions, e)
		case withdrawal:
			evs = r.withdraw(evs, e.id)
		case clientLeft:
			evs = r.withdrawLeft(evs, e.in)
		case *callFinished:
			evs = r.finishCall(evs, e)
		case attemptTimeout:
			evs = r.finishAttempt(evs, e.a, e.a.timeoutResult())
		case List:
			evs = append(evs, r.applyList(e))
		case sendCheck:
			checks = append(checks, e)
		case noticesConfirmed:
			for _, id := range e.ids {
				switch m := r.msgs[id]; {
				case r.backlog.confirm(id):
				case m != nil && m.move != notMoving:
					m.confirmed = true
				case m != nil:
					r.logTransition(m, stateTold, stateGone, reasonConfirmed)
					r.complete(m, wal.CompletionOf(*m.Final))
				}
			}
		case forwardedOutcome:
			evs = r.applyForwardedOutcome(evs, e)
		case predecessorGone:
			evs = r.endPredecessorAttempts(evs)
		case handoverRequest:
			handoverRequests = append(handoverRequests, e)
		case *storeJob:
			evs = r.backlog.jobFinished(evs, e)
		case stopIntake:
			r.stopping = true
		case stopSending:
			r.noSends = true
		}
	}
	evs = r.exclusionEvents(evs)
	r.forgetWithdrawn()
	waiting := r.accept(submissions)
	if !r.noSends {
		for _, in := range waiting {
			switch m := in.msg; {
			case m.Message != in.m: // a duplicate of one in this step, or of one that is not durable yet
			case r.backlog.moveNewToDisk(m):
			case m.Attempts > 0:
				r.backlog.add(m)
				evs = append(evs, r.resumedEvent(m, nil))
			default:
				r.backlog.add(m)
				evs = append(evs, r.acceptedEvent(m))
			}
		}
		r.execute(r.sender.Step(now, evs), waiting)
	} else {
		r.execute(nil, waiting)
	}
	for _, c := range checks {
		c.reply <- r.sendAllowed(c.call)
	}
	if r.stopping && !r.drainSignalled && len(r.pendingSteps) == 0 && (r.allFinished() || r.noSends && r.callsOut == 0) {
		r.drainSignalled = true
		close(r.drained)
	}
	if r.backlog != nil && !r.noSends {
		r.backlog.evictExcess()
		r.backlog.maintain()
	}
	r.answerRejected()
	r.releaseWithheld()
	r.chargeMemory()
	r.updateGauges()
	for _, h := range handoverRequests {
		r.handOver(h.link)
	}
}

// allFinished reports whether every message has ended and every outcome has arrived.
func (r *Relay) allFinished() bool {
	for _, m := range r.msgs {
		if m.outstanding > 0 || !m.Withdrawn && m.move == notMoving {
			return false
		}
	}
	return true
}

// withdraw ends a message whose client has disconnected before the answer.
func (r *Relay) withdraw(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	switch {
	case m == nil:
		r.backlog.withdraw(id)
		return evs
	case m.shared || m.ended:
		return evs
	case m.move != notMoving:
		m.counted = true
		r.backlog.cancelTransfer(m)
		return evs
	}
	r.logTransition(m, stateHeld, stateGone, reasonWithdrawn)
	r.markDone(m)
	m.counted = true // its client submits it again, and that submission is counted
	r.release(m)
	return append(evs, policy.Event{Kind: policy.Withdrawn, ID: id})
}

// release ends a message that is no longer owed. One that may have run is kept for as long as its client may submit it
// again under the same id, so that it does not become a new message.
func (r *Relay) release(m *message) {
	if m.Final != nil || m.refused {
		r.complete(m, wal.CompletionOf(m.clientFinal()))
		return
	}
	if len(m.MayRun) == 0 {
		r.wal.End(m.Message)
		r.retire(m)
		return
	}
	r.wal.Withdraw(m.Message)
	r.withdrawn = append(r.withdrawn, m)
}

// complete ends a message whose outcome is known to its client, the platform or an endpoint. The log remembers its id,
// because nothing may be sent for it again.
func (r *Relay) complete(m *message, how wal.Completion) {
	r.wal.Complete(m.Message, how)
	r.retire(m)
}

// completeDelivered ends a message that turned out to be delivered, and every message that replaced it.
func (r *Relay) completeDelivered(evs []policy.Event, m *message) []policy.Event {
	for ; m != nil; m = m.continuation {
		if m.markCounted() {
			r.metrics.forClass(m.Class).answered.Add(1)
		}
		if !m.ended {
			evs = append(evs, policy.Event{Kind: policy.Withdrawn, ID: m.ID})
		}
		r.markDone(m)
		r.complete(m, wal.Delivered)
	}
	return evs
}

// forgetWithdrawn drops withdrawn messages once their deadline has passed, once they are known not to have run, or once
// they have been replaced by messages that carry their attempts.
func (r *Relay) forgetWithdrawn() {
	now := clock.Now()
	r.withdrawn = slices.DeleteFunc(r.withdrawn, func(m *message) bool {
		if m.continuation == nil && len(m.MayRun) > 0 && now.Before(m.Deadline) {
			return false
		}
		if m.continuation == nil && len(m.MayRun) > 0 {
			r.complete(m, wal.Failed)
			return true
		}
		r.wal.End(m.Message)
		r.retire(m)
		return true
	})
}

// finishCall records the end of a call.
func (r *Relay) finishCall(evs []policy.Event, e *callFinished) []policy.Event {
	r.callsOut--
	delete(r.inFlight, e.c)
	for i, a := range e.c.attempts {
		evs = r.finishAttempt(evs, a, e.results[i])
	}
	return evs
}

// finishAttempt records the outcome of an attempt in the log and for the module.
func (r *Relay) finishAttempt(evs []policy.Event, a *attempt, res result) []policy.Event {
	m := a.m
	ok := res.outcome == policy.OK
	if a.settled {
		// The attempt timed out and its call went on for other messages. A delivery still ends the message.
		if ok {
			evs = r.completeDelivered(evs, m)
		}
		return evs
	}
	to := stateHeld
	if ok {
		to = stateDelivered
	} else if res.gone {
		to = stateGone
	}
	r.logTransition(m, stateOut, to, outcomeReasons[res.outcome], slog.String("endpoint", a.route), slog.Int("attempt", a.n),
		a.writtenAttr(), slog.Duration("took", res.took), slog.Duration("wait", res.wait))
	a.settled = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.outstanding--
	switch res.outcome {
	case policy.Full, policy.ConnectFailed, policy.NotRun:
		r.wal.NeverRan(m.Message, a.n)
	}
	if ok && m.markCounted() {
		r.metrics.forClass(m.Class).answered.Add(1)
	}
	if ok || res.gone {
		how := wal.Failed
		if ok {
			how = wal.Delivered
		}
		r.markDone(m)
		r.wal.Complete(m.Message, how)
		evs = r.completeDelivered(evs, m.continuation)
	}
	r.retire(m)
	return append(evs, policy.Event{
		Kind: policy.Finished, ID: m.ID, Attempt: a.n, Route: a.route, Outcome: res.outcome, Took: res.took,
		MessageEnded: ok || res.gone, RetryAfter: res.wait, Report: res.report,
	})
}

// markDone records that the module has finished with a message.
func (r *Relay) markDone(m *message) {
	if !m.ended {
		m.ended = true
		r.revokeCalls(m)
		r.held--
		r.backlog.remove(m)
	}
}

// clientFinal returns the final outcome that the client was told.
func (m *message) clientFinal() wal.Final {
	if m.Final != nil {
		return *m.Final
	}
	return wal.Final{Deferred: m.refused, Again: policy.MinRetryAfter}
}

// revokeCalls cancels all calls that carry a message, except those whose requests are being written. The other messages
// of a cancelled call are sent again.
func (r *Relay) revokeCalls(m *message) {
	for c := range r.inFlight {
		if slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.m == m }) {
			c.revoke()
		}
	}
}

// timeoutResult is the result of an attempt that times out before its call does. If the call was not made yet, it is
// cancelled and its other messages are sent again.
func (a *attempt) timeoutResult() result {
	if a.call != nil && a.revoke() {
		return result{outcome: policy.ConnectFailed}
	}
	return result{outcome: policy.Timeout, took: clock.Since(a.sent)}
}

// retire forgets a message once it has no attempts in progress and the log owes nothing for it.
func (r *Relay) retire(m *message) {
	if m.outstanding == 0 && m.ended && !r.wal.IsLive(m.Message) {
		delete(r.msgs, m.ID)
		r.connectionMemory.release(m)
		if r.byTrace[m.Trace] == m {
			delete(r.byTrace, m.Trace)
		}
	}
}
