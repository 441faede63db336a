package relay

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// What a step decides is carried out once the log has it as durable as it is to be: at once where the process's end is all
// that it has to outlast, after a sync where the power's is. One sync serves every step that was written before it, and
// steps go on meanwhile.

const (
	// maxAnswerWait is how long a client waits for the disk. The platform's clients wait 400 ms for an answer, and the loop
	// may look at this 200 ms late.
	maxAnswerWait = 150 * time.Millisecond
	// maxNoticeWait is how long an end waits for the disk. One that is told and not on disk may be told again after a loss of
	// power, or the message may then end otherwise; one that is not told at all is late for certain.
	maxNoticeWait = time.Second
	// maxCallWait is how long a call may wait for the disk before the module is asked anew.
	maxCallWait = 50 * time.Millisecond
)

// pendingStep is what a step owes once a write is durable.
type pendingStep struct {
	seq       uint64 // of the write
	since     time.Time
	waiting   []*handIn
	answers   map[uint32]answer
	ended     []*message
	calls     []*call
	unwritten bool // the calls are not in the log yet
}

// finishWhenDurable carries out what a step owes, or keeps it until its write is durable.
func (r *Relay) finishWhenDurable(p pendingStep) {
	p.since, p.seq = clock.Now(), r.wal.Written()
	if p.unwritten {
		p.seq++ // what the new file begins with
	}
	if len(r.promises) == 0 && p.seq <= r.wal.Durable() {
		r.finishStep(p)
		return
	}
	p.ended = r.notifyOverdue(p.ended)
	if len(p.waiting)+len(p.ended)+len(p.calls) > 0 {
		r.promises = append(r.promises, p)
	}
}

// recordEnds records the ends of messages that were decided on, and tells them.
func (r *Relay) recordEnds(ended []*message) {
	if len(ended) > 0 {
		err := r.record(nil)
		r.finishWhenDurable(pendingStep{ended: ended, unwritten: err != nil})
	}
}

// notifyOverdue tells the ends of messages whose time is up, which nothing can send any more, and returns the others.
func (r *Relay) notifyOverdue(ended []*message) []*message {
	now := clock.Now()
	return slices.DeleteFunc(ended, func(m *message) bool {
		if now.Before(m.Deadline) {
			return false
		}
		r.notify(m, false)
		return true
	})
}

// markWritten has what waits for a write go on once all that was noted has been written, be it in a compaction, which is no write
// of its own. With power a sync counts, which the next write brings.
func (r *Relay) markWritten() {
	waits := slices.ContainsFunc(r.promises, func(p pendingStep) bool { return p.unwritten })
	if !waits || r.cfg.Power || r.wal.Failure() != nil || r.record(nil) != nil {
		return
	}
	for i := range r.promises {
		r.promises[i].seq = min(r.promises[i].seq, r.wal.Written())
	}
}

// finishDurableSteps carries out what has become durable.
func (r *Relay) finishDurableSteps() {
	for durable := r.wal.Durable(); len(r.promises) > 0 && r.promises[0].seq <= durable; {
		p := r.promises[0]
		r.promises = slices.Delete(r.promises, 0, 1)
		r.finishStep(p)
	}
}

func (r *Relay) finishStep(p pendingStep) {
	for _, in := range p.waiting {
		in.reply <- p.answers[in.as.ID]
	}
	for _, m := range p.ended {
		r.notify(m, true)
	}
	delayed := p.unwritten || clock.Since(p.since) > maxCallWait
	var calls []*call
	for _, c := range p.calls {
		if c.anyEnded() || delayed && !r.sendAllowed(c) {
			r.abortCalls([]*call{c}, policy.Moot)
			continue
		}
		calls = append(calls, c)
	}
	if p.unwritten && len(calls) > 0 {
		switch err := r.record(calls); {
		case errors.Is(err, wal.ErrWorn):
			r.finishWhenDurable(pendingStep{calls: calls, unwritten: true})
		case err != nil:
			r.abortCalls(calls, policy.Moot)
		default:
			r.finishWhenDurable(pendingStep{calls: calls})
		}
		return
	}
	for _, c := range calls {
		r.startCall(c)
	}
}

// anyEnded tells whether a message of a call has ended since the call was decided on.
func (c *call) anyEnded() bool {
	return slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.m.ended })
}

// sendAllowed tells whether a call that was held up may still be made.
func (r *Relay) sendAllowed(c *call) bool {
	if c.anyEnded() {
		return false // of which the module may not have heard yet
	}
	var ids []uint32
	for _, a := range c.attempts {
		ids = append(ids, a.m.ID)
	}
	return !r.noSends && clock.Now().Before(c.deadline) && r.sender.MayStill(c.route, r.now(), ids...)
}

// maintainLog has the log go on after the disk has failed it, and ends the waits of those who have waited too long.
func (r *Relay) maintainLog() {
	if failing := !r.wal.Tend(); failing != r.worn {
		r.worn = failing
		if failing {
			r.log.Error("the disk fails the log: nothing new is taken on until a new file is there", "err", r.wal.Failure())
		} else {
			r.log.Info("the log goes on in a new file")
		}
	}
	r.markWritten()
	r.finishDurableSteps()
	r.releaseWithheld()
	now := clock.Now()
	for i := range r.promises {
		p := &r.promises[i]
		p.ended = r.notifyOverdue(p.ended)
		if now.Sub(p.since) < maxAnswerWait {
			continue
		}
		for _, in := range p.waiting {
			r.answerOverdue(in, p.answers[in.as.ID])
		}
		p.waiting = nil
		if p.unwritten || now.Sub(p.since) < maxNoticeWait {
			continue
		}
		for _, m := range p.ended {
			r.notify(m, true) // written, and not synced yet
		}
		p.ended = nil
	}
}

// answerOverdue answers a client that has waited too long for the disk. A message that is not on it is not taken on.
func (r *Relay) answerOverdue(in *handIn, a answer) {
	switch {
	case a.status == http.StatusAccepted && in.as.seq <= r.wal.Durable():
		in.reply <- a
	case a.status == http.StatusAccepted:
		r.deny(in, r.rejectOverdue(in.as))
	case r.cfg.Power:
		// Its end is not synced, and after a loss of power the message might be sent: no promise that it has no effect.
		r.deny(in, answer{status: http.StatusInternalServerError})
	default:
		r.deny(in, a)
	}
}

// rejectOverdue ends a message that is not on the disk in time, and is what its client is told.
func (r *Relay) rejectOverdue(m *message) answer {
	rejected := answer{status: 503, again: policy.RetryAdvice}
	if m.Withdrawn || !r.wal.Owes(m.Message) {
		return rejected // a second client of the same message
	}
	if m.Final != nil {
		// Ended meanwhile, with a notice that waits too: this answer is its end.
		for i := range r.promises {
			p := &r.promises[i]
			p.ended = slices.DeleteFunc(p.ended, func(x *message) bool { return x == m })
		}
		r.letGo(m)
		return finalAnswer(*m.Final)
	}
	r.figures.of(m.Class).deferred.Add(1)
	m.refused = true
	if m.move != notMoving {
		m.told = true
		r.owed.cancelTransfer(m)
		return rejected
	}
	r.done(m)
	m.told = true
	r.later = append(r.later, policy.Event{Kind: policy.Withdrawn, ID: m.ID})
	r.letGo(m)
	r.scheduleStep()
	return rejected
}

// joinPending has a client that hands in a message which is not durable yet wait with the first.
func (r *Relay) joinPending(in *handIn, old *message) bool {
	if old.seq <= r.wal.Durable() || old.ended {
		return false
	}
	in.as, old.shared = old, true
	return true
}

// waitDurable waits until nothing waits for the disk; false if that takes too long.
func (r *Relay) waitDurable(timeout time.Duration) bool {
	for end := clock.Now().Add(timeout); len(r.promises) > 0; time.Sleep(time.Millisecond) {
		if r.maintainLog(); clock.Now().After(end) {
			return false
		}
	}
	return true
}

// scheduleStep has the module told of what is kept for the next step, and not by its own wake, which must not be lost.
func (r *Relay) scheduleStep() { time.AfterFunc(r.cfg.Tick, func() { r.post(nudge{}) }) }

// logOptions is how the log is kept.
func (r *Relay) logOptions() wal.Options {
	o := wal.Options{Dir: r.cfg.StateDir, Limit: int64(r.cfg.Limits.DiskMB*1e6) - stateReserve, Told: func() {
		select {
		case r.synced <- struct{}{}:
		default:
		}
	}}
	o.FS = r.cfg.Disk
	if r.cfg.Segments {
		o.Format, o.Power, o.Name = wal.Format, r.cfg.Power, r.cfg.Name
	}
	if r.cfg.MemoriesEvery > 0 {
		o.Limit -= 2 * maxMemoriesSize(r.cfg)
	}
	if r.cfg.Backlog != nil {
		// A relay that knows nothing of the backlog would leave what lies there: the folder is not its own.
		o.Name, o.Also = backlogOwnerName(r.cfg.Name), r.cfg.Name
	}
	return o
}

// backlogOwnerName is the name of a relay's state folder while it may owe messages that lie elsewhere.
func backlogOwnerName(name string) string { return name + " with a backlog" }

// closeLog closes the log. With nothing left on disk the folder is again that of a relay without a backlog.
func (r *Relay) closeLog() error {
	err := r.owed.close()
	if r.owed != nil && err == nil && r.heir == nil && r.owed.onDisk == 0 {
		err = r.wal.Rename(r.cfg.Name)
	}
	return errors.Join(err, r.wal.Close())
}

// adjustForClockSetBack sets messages that were found right where the clock stands before what the log has seen: how long they have been
// out is not known, so that no time is left that may have passed.
func (r *Relay) adjustForClockSetBack(found wal.Recovery, latest time.Time) {
	r.behind = max(0, latest.Sub(clock.Now()))
	if r.behind == 0 {
		return
	}
	r.log.Warn("the clock stands before what the log has seen", "by", r.behind)
	for _, m := range found.Messages {
		m.Deadline = m.Deadline.Add(-r.behind)
	}
}

// checkClock looks at what the wall clock has done since the log's times began, and bounds the time that a message can have
// left by that of its class.
func (r *Relay) checkClock(found wal.Recovery) {
	if resumed, stepped := r.wal.Timeline(); resumed && stepped != 0 {
		r.log.Warn("the wall clock has been stepped", "by", stepped)
	} else if !resumed && len(found.Messages) > 0 {
		r.log.Warn("how much time has passed since the last process is told by the wall clock alone")
	}
	now := clock.Now()
	for _, m := range found.Messages {
		if m.Class < 0 || m.Class >= len(r.cfg.Settings.Classes) {
			continue
		}
		if most := now.Add(r.cfg.maxLifetime(m.Class)); m.Deadline.After(most) {
			m.Deadline = most
		}
	}
}

// restoreState reads what a process before knew of partners, and looks at the clock.
func (r *Relay) restoreState(found wal.Recovery) {
	r.checkClock(found)
	latest := found.Latest()
	if r.cfg.MemoriesEvery > 0 {
		m, err := readMemories(r.cfg.StateDir)
		if err != nil && !errors.Is(err, errNoMemories) {
			r.log.Warn("what was known of partners is lost", "err", err)
		}
		r.recalled = m
		if saved := r.wal.Local(m.Saved); saved.After(latest) {
			latest = saved
		}
	}
	r.adjustForClockSetBack(found, latest)
}
