package relay

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// execute carries out the module's decisions: first in the log, in one write, then on the sockets.
func (r *Relay) execute(acts []policy.Action, waiting []*submission) {
	answers := make(map[uint32]answer, len(waiting))
	for _, in := range waiting {
		answers[in.msg.ID] = answer{status: http.StatusAccepted}
	}
	var calls []*call
	var ended []*message
	for _, a := range acts {
		m := r.msgs[a.ID]
		switch a.Kind {
		case policy.Send:
			if m == nil {
				r.log.Error("send of a message that is not held", "id", a.ID) // losing a slot is better than a crash
				continue
			}
			calls = r.addSend(calls, m, a)
		case policy.Refuse, policy.Fail:
			if m == nil || m.ended {
				continue
			}
			r.markDone(m)
			final := wal.Final{Deferred: a.Kind == policy.Refuse, Again: a.Delay}
			r.logTransition(m, stateHeld, stateEnded, endReason(final), slog.Duration("left", clock.Until(m.Deadline)))
			r.metrics.countEnd(m, final)
			if _, ok := answers[a.ID]; ok {
				answers[a.ID] = finalAnswer(final)
				r.complete(m, wal.CompletionOf(final))
				continue
			}
			r.wal.SetFinal(m.Message, final)
			ended = append(ended, m)
		case policy.Wake:
			r.wakeAt = clock.Now().Add(a.Delay) // the module has one wake-up, the last that it requested
		case policy.CloseIdle:
			r.hosts.closeIdle(a.Route)
		}
	}
	attachSubmitters(calls, waiting)
	p := pendingStep{waiting: waiting, answers: answers, ended: ended, calls: calls}
	// A send must not leave before the log has it: a restart would repeat it. An end must not be reported before the
	// log has it: a restart would send the message.
	err := r.record(calls)
	if err != nil && !errors.Is(err, wal.ErrNeedsNewFile) {
		r.log.Warn("log not written", "calls", len(calls), "err", err)
		r.abortCalls(calls, policy.ConnectFailed)
		p.calls = nil
		err = r.record(nil) // the other entries may fit without the sends
	}
	if err != nil {
		p.unwritten = true
		p.waiting = r.answerAccepted(p)
	}
	r.finishWhenDurable(p)
}

// answerAccepted answers the clients whose messages are durable in the log although the step's decisions are not, and
// returns the others.
func (r *Relay) answerAccepted(p pendingStep) (waiting []*submission) {
	durable := r.wal.Durable()
	return slices.DeleteFunc(p.waiting, func(in *submission) bool {
		a := p.answers[in.msg.ID]
		if a.status != http.StatusAccepted || in.msg.seq > durable {
			return false
		}
		in.reply <- a
		return true
	})
}

// addSend adds a send to the call that the module has assigned it to, or starts a new call.
func (r *Relay) addSend(calls []*call, m *message, a policy.Action) []*call {
	t := r.routes[a.Route]
	var c *call
	size := maxItemSize(m)
	for _, x := range calls {
		// A bundle's body is limited too: many small messages must not get a large one rejected.
		if x.number == a.Call && x.size+size <= maxBodyBytes {
			c = x
		}
	}
	if c == nil {
		c = &call{number: a.Call, route: a.Route, addr: t.addr, zone: t.Zone, sent: clock.Now()}
		calls = append(calls, c)
	}
	until := r.started.Add(a.TimeoutAt)
	c.size += size
	c.attempts = append(c.attempts, &attempt{call: c, m: m, n: m.sends, deadline: until})
	r.backlog.markSent(m)
	m.sends++
	m.outstanding++
	if len(c.attempts) == 1 || until.After(c.deadline) == r.cfg.MayDuplicate {
		c.deadline = until // the latest where duplicates are allowed, as a call then outlasts one message's time-out; else the earliest
	}
	return calls
}

// record writes the sends of calls, and everything else that this step has added to the log, in one write.
func (r *Relay) record(calls []*call) error {
	var sends []wal.Send
	for _, c := range calls {
		for _, a := range c.attempts {
			sends = append(sends, wal.Send{
				Message: a.m.Message, Attempt: wal.Attempt{N: a.n, Host: c.route, Zone: c.zone, At: c.sent},
			})
		}
	}
	if len(sends) == 0 {
		return r.wal.Flush()
	}
	return r.wal.RecordSends(sends...)
}

// abortCalls ends calls that will not be made, with an outcome that says that they never ran.
func (r *Relay) abortCalls(calls []*call, as policy.Outcome) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.nextEvents = r.finishAttempt(r.nextEvents, a, result{outcome: as})
		}
	}
	r.scheduleStep()
}

// startCall makes a call on a goroutine of its own.
func (r *Relay) startCall(c *call) {
	r.checkSends(c)
	for _, a := range c.attempts {
		r.logTransition(a.m, stateHeld, stateOut, reasonSend, slog.String("endpoint", c.route), slog.Int("attempt", a.n))
	}
	r.callsOut++
	r.inFlight[c] = struct{}{}
	for _, a := range c.attempts {
		if a.deadline.Before(c.deadline) {
			a.timer = time.AfterFunc(clock.Until(a.deadline), func() { r.post(attemptTimeout{a}) })
		}
	}
	r.callWG.Add(1)
	go func() {
		defer r.callWG.Done()
		results := r.hosts.do(r.callCtx, c, func() bool { return r.stillAllowed(c) })
		r.reportLeaves(c)
		r.post(&callFinished{c, results})
	}()
}

// stillAllowed asks the loop whether a delayed call may still be sent.
func (r *Relay) stillAllowed(c *call) bool {
	reply := make(chan bool, 1)
	if !r.post(sendCheck{c, reply}) {
		return false
	}
	select {
	case ok := <-reply:
		return ok
	case <-r.loopDone:
		return false
	}
}

// notify queues the final notice of a message. recorded tells whether the log has the message's end.
func (r *Relay) notify(m *message, recorded bool) {
	r.guard.CheckEnd(m.Trace, m.notified, recorded, clock.Until(m.Deadline))
	m.notified = true
	r.logTransition(m, stateEnded, stateTold, reasonNotice, slog.Bool("recorded", recorded))
	r.notices.add(newNotice(m.ID, m.Trace, *m.Final))
}

func newNotice(id uint32, trace string, f wal.Final) notice {
	n := notice{id: id, ID: trace, Status: "undeliverable"}
	if f.Deferred {
		n.Status, n.AgainMS = "deferred", f.Again.Milliseconds()
	}
	return n
}
