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

// A step's decisions are carried out once they are durable in the log. If the log only has to survive the process, that
// is at once; if it has to survive a loss of power (Config.Power), it is after a sync. One sync covers every step
// written before it, and the loop goes on with further steps meanwhile.

const (
	// maxAnswerWait is how long a client's answer waits for the disk. The platform's clients wait 400 ms for an answer,
	// and the loop may check this 200 ms late.
	maxAnswerWait = 150 * time.Millisecond
	// maxNoticeWait is how long a final notice waits for the disk. If a notice is sent before its record is on disk, a
	// loss of power may cause a second one, perhaps with another result; a notice that is held back longer is certainly
	// late.
	maxNoticeWait = time.Second
	// maxCallWait is how long a call may wait for the disk before the module has to confirm it.
	maxCallWait = 50 * time.Millisecond
)

// pendingStep holds the answers, notices and calls of a step that wait until a write is durable.
type pendingStep struct {
	seq       uint64 // of the write
	since     time.Time
	waiting   []*submission
	answers   map[uint32]answer
	ended     []*message
	calls     []*call
	unwritten bool // the step's records, and so its calls, are not in the log yet
}

// finishWhenDurable finishes a step at once if its write is durable, and otherwise keeps it until then.
func (r *Relay) finishWhenDurable(p pendingStep) {
	p.since, p.seq = clock.Now(), r.wal.Written()
	if p.unwritten {
		p.seq++ // the write that starts the next file of the log
	}
	if len(r.pendingSteps) == 0 && p.seq <= r.wal.Durable() {
		r.finishStep(p)
		return
	}
	p.ended = r.notifyOverdue(p.ended)
	if len(p.waiting)+len(p.ended)+len(p.calls) > 0 {
		r.pendingSteps = append(r.pendingSteps, p)
	}
}

// recordEnds writes the ends of messages to the log and sends their notices once they are durable.
func (r *Relay) recordEnds(ended []*message) {
	if len(ended) > 0 {
		err := r.record(nil)
		r.finishWhenDurable(pendingStep{ended: ended, unwritten: err != nil})
	}
}

// notifyOverdue sends the notices of the messages that have passed their deadlines, which nothing can send any more, and
// returns the other messages.
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

// markWritten updates unwritten steps once the log has written all records. That may happen in a compaction, which
// has no sequence number of its own. With Config.Power only a sync counts, and the next write brings one.
func (r *Relay) markWritten() {
	waits := slices.ContainsFunc(r.pendingSteps, func(p pendingStep) bool { return p.unwritten })
	if !waits || r.cfg.Power || r.wal.Failure() != nil || r.record(nil) != nil {
		return
	}
	for i := range r.pendingSteps {
		r.pendingSteps[i].seq = min(r.pendingSteps[i].seq, r.wal.Written())
	}
}

// finishDurableSteps finishes the steps whose writes have become durable.
func (r *Relay) finishDurableSteps() {
	for durable := r.wal.Durable(); len(r.pendingSteps) > 0 && r.pendingSteps[0].seq <= durable; {
		p := r.pendingSteps[0]
		r.pendingSteps = slices.Delete(r.pendingSteps, 0, 1)
		r.finishStep(p)
	}
}

// finishStep gives the answers and notices of a durable step and starts its calls. Calls whose messages have
// ended, and delayed calls that the module no longer allows, are aborted.
func (r *Relay) finishStep(p pendingStep) {
	for _, in := range p.waiting {
		if in.hasLeft() {
			r.nextEvents = r.withdrawLeft(r.nextEvents, in)
			r.scheduleStep()
		}
		in.reply <- p.answers[in.msg.ID]
	}
	for _, m := range p.ended {
		r.notify(m, true)
	}
	delayed := p.unwritten || clock.Since(p.since) > maxCallWait
	var calls []*call
	for _, c := range p.calls {
		if c.anyEnded() || delayed && !r.sendAllowed(c) {
			r.abortCalls([]*call{c}, policy.NotRun)
			continue
		}
		calls = append(calls, c)
	}
	if p.unwritten && len(calls) > 0 {
		switch err := r.record(calls); {
		case errors.Is(err, wal.ErrNeedsNewFile):
			r.finishWhenDurable(pendingStep{calls: calls, unwritten: true})
		case err != nil:
			r.abortCalls(calls, policy.NotRun)
		default:
			r.finishWhenDurable(pendingStep{calls: calls})
		}
		return
	}
	for _, c := range calls {
		r.startCall(c)
	}
}

// anyEnded reports whether a message of the call has ended since the module decided on the call.
func (c *call) anyEnded() bool {
	return slices.ContainsFunc(c.attempts, func(a *attempt) bool { return a.m.ended })
}

// sendAllowed reports whether a delayed call may still be made.
func (r *Relay) sendAllowed(c *call) bool {
	if c.anyEnded() {
		return false // the module may not know of the end yet
	}
	var ids []uint32
	for _, a := range c.attempts {
		ids = append(ids, a.m.ID)
	}
	return !r.noSends && clock.Now().Before(c.deadline) && r.listedAsCalled(c) && r.sender.StillAllowed(c.route, r.now(), ids...)
}

// listedAsCalled reports whether the list still has a call's endpoint at the address, in the zone and for the destination
// for which the call was decided.
func (r *Relay) listedAsCalled(c *call) bool {
	t, ok := r.routes[c.route]
	return ok && t.addr == c.addr && t.Zone == c.zone && t.Destination == c.attempts[0].m.Dest
}

// maintainLog lets the log recover from a failure of the disk, finishes durable steps, and ends the waits of answers and
// notices that have waited too long.
func (r *Relay) maintainLog() {
	if failing := !r.wal.TryRecover(); failing != r.logFailed {
		r.logFailed = failing
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
	for i := range r.pendingSteps {
		p := &r.pendingSteps[i]
		p.ended = r.notifyOverdue(p.ended)
		if now.Sub(p.since) < maxAnswerWait {
			continue
		}
		for _, in := range p.waiting {
			r.answerOverdue(in, p.answers[in.msg.ID])
		}
		p.waiting = nil
		if p.unwritten || now.Sub(p.since) < maxNoticeWait {
			continue
		}
		for _, m := range p.ended {
			r.notify(m, true) // written but not yet synced
		}
		p.ended = nil
	}
}

// answerOverdue answers a client that has waited too long for the disk. A message that is not durable is refused.
func (r *Relay) answerOverdue(in *submission, a answer) {
	switch {
	case a.status == http.StatusAccepted && in.msg.seq <= r.wal.Durable():
		in.reply <- a
	case a.status == http.StatusAccepted:
		r.answerOnceRecorded(in, r.rejectOverdue(in.msg))
	case r.cfg.Power:
		// The message's end is not synced, and after a loss of power the message might be sent, so the answer must not
		// promise that it has no effect.
		r.answerOnceRecorded(in, answer{status: http.StatusInternalServerError})
	default:
		r.answerOnceRecorded(in, a)
	}
}

// rejectOverdue ends a message that did not become durable in time, and returns the answer for its client.
func (r *Relay) rejectOverdue(m *message) answer {
	rejected := answer{status: 503, retryAfter: policy.MinRetryAfter}
	if m.Withdrawn || !r.wal.IsLive(m.Message) {
		return rejected // already rejected for another client that submitted the same message
	}
	if m.Final != nil {
		// It has ended meanwhile, and its notice waits as well: this answer takes the notice's place.
		for i := range r.pendingSteps {
			p := &r.pendingSteps[i]
			p.ended = slices.DeleteFunc(p.ended, func(x *message) bool { return x == m })
		}
		r.release(m)
		return finalAnswer(*m.Final)
	}
	r.metrics.forClass(m.Class).deferred.Add(1)
	m.refused = true
	if m.move != notMoving {
		m.counted = true
		r.backlog.cancelTransfer(m)
		return rejected
	}
	r.markDone(m)
	m.counted = true
	r.nextEvents = append(r.nextEvents, policy.Event{Kind: policy.Withdrawn, ID: m.ID})
	r.release(m)
	r.scheduleStep()
	return rejected
}

// joinPending makes a request for a message that another client has submitted, and that is not durable yet, wait for the
// same write. It returns false if the message is durable or has ended.
func (r *Relay) joinPending(in *submission, old *message) bool {
	if old.seq <= r.wal.Durable() || old.ended {
		return false
	}
	in.msg, old.shared = old, true
	return true
}

// waitDurable waits until no step waits for the disk. It returns false on a time-out.
func (r *Relay) waitDurable(timeout time.Duration) bool {
	for end := clock.Now().Add(timeout); len(r.pendingSteps) > 0; time.Sleep(time.Millisecond) {
		if r.maintainLog(); clock.Now().After(end) {
			return false
		}
	}
	return true
}

// scheduleStep triggers a step after one tick, for events that are kept for the next step. It leaves wakeAt, the
// module's own wake-up, alone.
func (r *Relay) scheduleStep() { time.AfterFunc(r.cfg.Tick, func() { r.post(wakeLoop{}) }) }

// logOptions returns the options of the write-ahead log.
func (r *Relay) logOptions() wal.Options {
	o := wal.Options{Dir: r.cfg.StateDir, Limit: int64(r.cfg.Limits.DiskMB*1e6) - stateReserve, Notify: func() {
		select {
		case r.syncDone <- struct{}{}:
		default:
		}
	}}
	o.FS, o.PriorityOf = r.cfg.Disk, r.completionPriority
	if r.cfg.Segments {
		o.Format, o.SyncWrites, o.Name = wal.SegmentFormat, r.cfg.Power, r.cfg.Name
	}
	if r.cfg.MemoriesEvery > 0 {
		o.Limit -= 2 * maxMemoriesSize(r.cfg)
	}
	if r.cfg.Backlog != nil {
		// A relay without a backlog would ignore the messages in it. The name makes it refuse the folder.
		o.Name, o.PreviousName = backlogOwnerName(r.cfg.Name), r.cfg.Name
	}
	return o
}

// backlogOwnerName is the owner's name in a relay's log while the backlog may hold messages.
func backlogOwnerName(name string) string { return name + " with a backlog" }

// closeLog closes the backlog and the log. If the backlog is empty, it renames the log's owner, so that a relay without a
// backlog can use the folder.
func (r *Relay) closeLog() error {
	err := r.backlog.close()
	if r.backlog != nil && err == nil && r.successor == nil && r.backlog.onDisk == 0 {
		err = r.wal.Rename(r.cfg.Name)
	}
	return errors.Join(err, r.wal.Close())
}

// adjustForClockSetBack moves the deadlines of recovered messages if the wall clock is behind the latest time in the
// log. How much time has passed is then unknown, so messages lose the difference rather than get time that may have
// passed.
func (r *Relay) adjustForClockSetBack(found wal.Recovery, latest time.Time) {
	r.clockBehind = max(0, latest.Sub(clock.Now()))
	if r.clockBehind == 0 {
		return
	}
	r.log.Warn("the clock stands before what the log has seen", "by", r.clockBehind)
	for _, m := range found.Messages {
		m.Deadline = m.Deadline.Add(-r.clockBehind)
	}
}

// checkClock logs steps of the wall clock since the log's timeline began, and limits the remaining time of each message
// to the maximum of its class.
func (r *Relay) checkClock(found wal.Recovery) {
	if resumed, stepped := r.wal.Timeline(); resumed && stepped != 0 {
		r.log.Warn("the wall clock has been stepped", "by", stepped)
	} else if !resumed && len(found.Messages) > 0 {
		r.log.Warn("the time since the last process is known from the wall clock only")
	}
	now := clock.Now()
	for _, m := range found.Messages {
		if m.Class < 0 || m.Class >= len(r.cfg.Settings.Classes) {
			continue
		}
		if latest := now.Add(r.cfg.maxLifetime(m.Class)); m.Deadline.After(latest) {
			m.Deadline = latest
		}
	}
}

// restoreState checks the clock and reads the state of partners that an earlier process saved.
func (r *Relay) restoreState(found wal.Recovery) {
	r.checkClock(found)
	latest := found.Latest()
	if r.cfg.MemoriesEvery > 0 {
		m, err := readMemories(r.cfg.StateDir)
		if err != nil && !errors.Is(err, errNoMemories) {
			r.log.Warn("cannot read the saved state of partners", "err", err)
		}
		r.loadedMemories = m
		if saved := r.wal.Local(m.Saved); saved.After(latest) {
			latest = saved
		}
	}
	r.adjustForClockSetBack(found, latest)
}
