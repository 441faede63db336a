package relay

import (
	"errors"
	"time"

	"onyxroad.dev/onyxroad/internal/backlog/owed"
	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// storeJob is one round of writes and reads at the backlog's store. Writes are durable before anything is read.
type storeJob struct {
	put    []owed.Entry
	remove []owed.Ref
	loads  []loadRequest
	due    int64 // read entries that expire by then; 0: none

	putMessages, removedMessages []*message // messages whose entries are put and removed
	removedRefs                  []owed.Ref

	full    bool // there was no room for put
	err     error
	loaded  []owed.Entry
	expired []owed.Entry
	nextDue int64
	bytes   int64
}

// run does the job's writes and reads.
func (j *storeJob) run(s owed.Store) {
	defer func() { j.bytes = s.DiskBytes() }()
	if len(j.put)+len(j.remove) > 0 {
		err := s.Apply(j.put, j.remove)
		if errors.Is(err, owed.ErrFull) {
			j.full = true
			err = nil
			if len(j.remove) > 0 {
				err = s.Apply(nil, j.remove)
			}
		}
		if err != nil {
			j.err = err
			return
		}
	}
	for _, l := range j.loads {
		all, err := s.First(l.dest, l.n)
		if err != nil {
			j.err = err
			break
		}
		j.loaded = append(j.loaded, all...)
	}
	if j.due > 0 && j.err == nil {
		j.expired, j.err = s.Due(j.due, expiryBatch)
	}
	next, ok, err := s.NextDue()
	if j.nextDue = next; !ok || err != nil {
		j.nextDue = noDeadline
	}
}

// maintain ends messages that expire while in transit and starts the next job. The loop calls it after each step and
// periodically.
func (o *backlogQueue) maintain() {
	if o == nil {
		return
	}
	now := clock.Now()
	for id, at := range o.sharedIDs {
		if now.Sub(at) > sharedIDLifetime {
			delete(o.sharedIDs, id)
		}
	}
	for _, all := range [][]*message{o.outgoing, o.incoming} {
		o.expireMoving(all, now)
	}
	if o.job != nil {
		o.expireMoving(o.job.putMessages, now)
		o.expireMoving(o.job.removedMessages, now)
		return
	}
	if (o.failing || o.full) && now.Sub(o.failedAt) < storeRetryInterval {
		return
	}
	if j := o.nextJob(now); j != nil {
		o.job = j
		o.startJob(j)
	}
}

// expireMoving reports the ends of messages in transit whose deadline has passed.
func (o *backlogQueue) expireMoving(all []*message, now time.Time) {
	var ended []*message
	for _, m := range all {
		if m.ended || m.dropped || now.Before(m.Deadline.Add(-expiryLead)) {
			continue
		}
		m.ended = true
		o.relay.metrics.countEnd(m, expiredFinal)
		o.relay.wal.SetFinal(m.Message, expiredFinal)
		ended = append(ended, m)
		o.ended++
	}
	o.relay.recordEnds(ended)
}

// nextJob returns the next work for the store; nil if there is none.
func (o *backlogQueue) nextJob(now time.Time) *storeJob {
	durable := o.relay.wal.Durable()
	j := &storeJob{}
	rest := o.outgoing[:0:0]
	for _, m := range o.outgoing {
		if len(j.put) >= jobBatch || m.seq > durable {
			rest = append(rest, m)
			continue
		}
		j.putMessages, j.put = append(j.putMessages, m), append(j.put, owed.Entry{Ref: o.ref(m), Data: wal.Marshal(m.Message)})
	}
	o.outgoing = rest
	rest = o.incoming[:0:0]
	for _, m := range o.incoming {
		if m.seq > durable {
			rest = append(rest, m)
			continue
		}
		j.removedMessages, j.remove = append(j.removedMessages, m), append(j.remove, o.ref(m))
	}
	o.incoming = rest
	j.removedRefs, o.removals = o.removals, nil
	j.remove = append(j.remove, j.removedRefs...)
	if !o.relay.stopping && now.After(o.loadAfter) && o.relay.wal.FillRatio() < loadFill {
		j.loads = o.nextLoads(jobBatch)
	}
	if by := o.storedTime(now.Add(expiryLead)); o.nextDeadline <= by && len(o.unconfirmed) < maxUnconfirmedExpiries && !o.relay.noSends {
		j.due = by
	}
	if len(j.put)+len(j.remove)+len(j.loads) == 0 && j.due == 0 {
		return nil
	}
	return j
}

// jobFinished applies a job's results and returns the events that the module has to see.
func (o *backlogQueue) jobFinished(evs []policy.Event, j *storeJob) []policy.Event {
	o.job, o.diskBytes = nil, j.bytes
	for _, l := range j.loads {
		o.finishLoad(l.dest)
	}
	o.noteDiskState(j)
	if o.failing || j.full {
		o.outgoing = append(j.putMessages, o.outgoing...)
		j.putMessages = nil
	}
	if o.failing {
		// It is unknown whether the writes were applied; applying them again is harmless.
		o.incoming, o.removals = append(j.removedMessages, o.incoming...), append(j.removedRefs, o.removals...)
		return evs
	}
	for _, m := range j.putMessages {
		if m.dropped || m.ended {
			m.move = movingToMemory // remove it from disk again; then it is over
			o.incoming = append(o.incoming, m)
			continue
		}
		m.move = notMoving
		o.movedOut++
		o.relay.wal.End(m.Message) // it is durable on disk
		m.ended = true
		o.relay.retire(m)
	}
	for _, ref := range j.removedRefs {
		o.addOnDisk(ref.Dest, -1)
	}
	for _, m := range j.removedMessages {
		o.addOnDisk(m.Dest, -1)
		m.move = notMoving
		switch {
		case m.dropped:
			m.ended = true
			o.relay.release(m)
		case m.ended && m.confirmed:
			o.relay.complete(m, wal.CompletionOf(*m.Final))
		case m.ended:
		case !o.relay.noSends:
			evs = append(evs, o.loadedEvent(m))
		}
	}
	o.nextDeadline = j.nextDue
	o.relay.endExpired(j.expired)
	o.relay.acceptLoaded(j.loaded)
	return evs
}

// noteDiskState tracks whether the disk accepts writes.
func (o *backlogQueue) noteDiskState(j *storeJob) {
	log := o.relay.log
	if j.err != nil {
		if o.failedAt = clock.Now(); !o.failing {
			log.Error("the backlog's disk fails: nothing new goes there", "err", j.err)
		}
		o.failing = true
		return
	}
	if o.failing {
		log.Info("the backlog's disk accepts writes again")
	}
	o.failing = false
	if j.full {
		if o.failedAt = clock.Now(); !o.full {
			log.Warn("the backlog is full: new messages beyond the window are refused", "messages", o.onDisk, "bytes", j.bytes)
		}
		o.full = true
	} else if len(j.put) > 0 && o.full {
		log.Info("the backlog has room again")
		o.full = false
	}
}

// loadedEvent tells the module about a message from the disk.
func (o *backlogQueue) loadedEvent(m *message) policy.Event {
	o.relay.held++
	o.movedIn++
	o.add(m)
	if m.ID <= o.maxRecoveredID {
		return o.relay.resumedEvent(m, nil)
	}
	return o.relay.acceptedEvent(m)
}

// endExpired reports the ends of messages that expired on disk. They are removed once the platform accepts the notice.
func (r *Relay) endExpired(all []owed.Entry) {
	o := r.backlog
	var notices []notice
	for _, e := range all {
		if r.msgs[e.ID] != nil || o.unconfirmed[e.ID].ID != 0 {
			continue // in transit, or already reported
		}
		o.unconfirmed[e.ID] = e.Ref
		o.ended++
		if m, err := wal.Unmarshal(e.Data); err == nil {
			r.metrics.countEnd(&message{Message: m}, expiredFinal)
		}
		notices = append(notices, newNotice(e.ID, e.Trace, expiredFinal))
	}
	r.notices.add(notices...)
}

// acceptLoaded writes messages read from disk to the log again. If the log has no room, they stay on disk.
func (r *Relay) acceptLoaded(all []owed.Entry) {
	o := r.backlog
	var ms []*message
	var walMessages []*wal.Message
	for _, e := range all {
		if r.msgs[e.ID] != nil || o.unconfirmed[e.ID].ID != 0 {
			continue
		}
		m, err := wal.Unmarshal(e.Data)
		if err != nil {
			r.log.Error("cannot read a message of the backlog", "id", e.Trace, "err", err)
			o.unconfirmed[e.ID] = e.Ref
			r.notices.add(newNotice(e.ID, e.Trace, wal.Final{}))
			continue
		}
		m.Deadline = o.restoredTime(e.Deadline)
		ms, walMessages = append(ms, &message{Message: m, move: movingToMemory}), append(walMessages, m)
	}
	if len(walMessages) == 0 {
		return
	}
	if err := r.wal.Accept(walMessages...); err != nil {
		if !r.logFull {
			r.log.Warn("the backlog waits for the log", "err", err)
		}
		o.loadAfter = clock.Now().Add(storeRetryInterval)
		return
	}
	for _, m := range ms {
		m.seq = r.wal.Written()
		r.msgs[m.ID], r.byTrace[m.Trace] = m, m
	}
	o.incoming = append(o.incoming, ms...)
}
