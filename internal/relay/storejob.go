package relay

import (
	"errors"
	"math"
	"time"

	"onyxroad.dev/onyxroad/internal/backlog/storage"
	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// storeJob is one round of writes and reads at the backlog's store. Writes are durable before anything is read.
type storeJob struct {
	put    []storage.Entry
	remove []storage.Ref
	loads  []loadRequest
	due    int64       // read entries that expire by then; 0: none
	after  storage.Ref // and come after this one in the order of deadlines

	putMessages, removedMessages []*message // messages whose entries are put and removed
	removedRefs                  []storage.Ref

	full    bool // there was no room for put
	err     error
	loaded  []storage.Entry
	expired []storage.Entry
	nextDue int64
	bytes   int64
}

// run does the job's writes and reads.
func (j *storeJob) run(s storage.Store) {
	defer func() { j.bytes = s.DiskBytes() }()
	if len(j.put)+len(j.remove) > 0 {
		err := s.Apply(j.put, j.remove)
		if errors.Is(err, storage.ErrFull) {
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
		all, err := s.First(l.dest, l.n, l.except)
		if err != nil {
			j.err = err
			break
		}
		j.loaded = append(j.loaded, all...)
	}
	if j.due > 0 && j.err == nil {
		j.expired, j.err = s.Due(j.after, j.due, expiryBatch)
	}
	if n := len(j.expired); n > 0 {
		j.after = j.expired[n-1].Ref
	}
	next, ok, err := s.NextDue(j.after)
	if j.nextDue = next; !ok || err != nil {
		j.nextDue = noDeadline
	}
}

// maintain ends messages that expire while in transit and starts the next job. The loop calls it after each step and
// periodically.
func (q *backlogQueue) maintain() {
	if q == nil {
		return
	}
	now := clock.Now()
	for id, at := range q.sharedIDs {
		if now.Sub(at) > sharedIDLifetime {
			delete(q.sharedIDs, id)
		}
	}
	for _, all := range [][]*message{q.outgoing, q.incoming} {
		q.expireMoving(all, now)
	}
	if q.job != nil {
		q.expireMoving(q.job.putMessages, now)
		q.expireMoving(q.job.removedMessages, now)
		return
	}
	if (q.failing || q.full) && now.Sub(q.failedAt) < storeRetryInterval {
		return
	}
	if j := q.nextJob(now); j != nil {
		q.job = j
		q.startJob(j)
	}
}

// expireMoving reports the ends of messages in transit whose deadline has passed.
func (q *backlogQueue) expireMoving(all []*message, now time.Time) {
	var ended []*message
	for _, m := range all {
		if m.ended || m.dropped || now.Before(m.Deadline.Add(-expiryLead)) {
			continue
		}
		m.ended = true
		q.relay.metrics.countEnd(m, expiredFinal)
		q.relay.wal.SetFinal(m.Message, expiredFinal)
		ended = append(ended, m)
		q.ended++
	}
	q.relay.recordEnds(ended)
}

// nextJob returns the next work for the store; nil if there is none.
func (q *backlogQueue) nextJob(now time.Time) *storeJob {
	durable := q.relay.wal.Durable()
	j := &storeJob{}
	rest := q.outgoing[:0:0]
	for _, m := range q.outgoing {
		if len(j.put) >= jobBatch || m.seq > durable {
			rest = append(rest, m)
			continue
		}
		ref := q.ref(m)
		q.readDueFrom(ref)
		j.putMessages, j.put = append(j.putMessages, m), append(j.put, storage.Entry{Ref: ref, Data: wal.Marshal(m.Message)})
	}
	q.outgoing = rest
	rest = q.incoming[:0:0]
	for _, m := range q.incoming {
		if m.seq > durable {
			rest = append(rest, m)
			continue
		}
		j.removedMessages, j.remove = append(j.removedMessages, m), append(j.remove, q.ref(m))
	}
	q.incoming = rest
	j.removedRefs, q.removals = q.removals, nil
	j.remove = append(j.remove, j.removedRefs...)
	if !q.relay.stopping && now.After(q.loadAfter) && q.relay.wal.FillRatio(0) < loadFill {
		j.loads = q.nextLoads(jobBatch)
	}
	if by := q.storedTime(now.Add(expiryLead)); q.nextDeadline <= by && len(q.unconfirmed) < maxUnconfirmedExpiries && !q.relay.noSends {
		j.due = by
	}
	if len(j.put)+len(j.remove)+len(j.loads) == 0 && j.due == 0 {
		return nil
	}
	j.after = q.dueRead
	return j
}

// readDueFrom has the messages that are due read again from a message on.
func (q *backlogQueue) readDueFrom(ref storage.Ref) {
	if ref.Deadline < q.dueRead.Deadline || ref.Deadline == q.dueRead.Deadline && ref.ID <= q.dueRead.ID {
		q.dueRead = storage.Ref{Deadline: ref.Deadline - 1, ID: math.MaxUint32}
	}
}

// jobFinished applies a job's results and returns the events that the module has to see.
func (q *backlogQueue) jobFinished(evs []policy.Event, j *storeJob) []policy.Event {
	q.job, q.diskBytes = nil, j.bytes
	for _, l := range j.loads {
		q.finishLoad(l.dest)
	}
	q.noteDiskState(j)
	if q.failing || j.full {
		q.outgoing = append(j.putMessages, q.outgoing...)
		j.putMessages = nil
	}
	if q.failing {
		// It is unknown whether the writes were applied; applying them again is harmless.
		q.incoming, q.removals = append(j.removedMessages, q.incoming...), append(j.removedRefs, q.removals...)
		return evs
	}
	for _, m := range j.putMessages {
		if m.dropped || m.ended {
			m.move = movingToMemory // remove it from disk again; then it is over
			q.incoming = append(q.incoming, m)
			continue
		}
		m.move = notMoving
		q.movedOut++
		q.relay.wal.End(m.Message) // it is durable on disk
		m.ended = true
		q.relay.retire(m)
	}
	for _, ref := range j.removedRefs {
		q.addOnDisk(ref.Dest, -1)
		delete(q.leaving, ref.ID)
	}
	for _, m := range j.removedMessages {
		q.addOnDisk(m.Dest, -1)
		m.move = notMoving
		switch {
		case m.dropped:
			m.ended = true
			q.relay.release(m)
		case m.ended && m.confirmed:
			q.relay.complete(m, wal.CompletionOf(*m.Final))
		case m.ended:
		case !q.relay.noSends:
			evs = append(evs, q.loadedEvent(m))
		}
	}
	q.nextDeadline, q.dueRead = j.nextDue, j.after
	q.relay.endExpired(j.expired)
	q.relay.acceptLoaded(j.loaded)
	return evs
}

// noteDiskState tracks whether the disk accepts writes.
func (q *backlogQueue) noteDiskState(j *storeJob) {
	log := q.relay.log
	if j.err != nil {
		if q.failedAt = clock.Now(); !q.failing {
			log.Error("the backlog's disk fails: nothing new goes there", "err", j.err)
		}
		q.failing = true
		return
	}
	if q.failing {
		log.Info("the backlog's disk accepts writes again")
	}
	q.failing = false
	if j.full {
		if q.failedAt = clock.Now(); !q.full {
			log.Warn("the backlog is full: new messages beyond the window are refused", "messages", q.onDisk, "bytes", j.bytes)
		}
		q.full = true
	} else if len(j.put) > 0 && q.full {
		log.Info("the backlog has room again")
		q.full = false
	}
}

// loadedEvent tells the module about a message from the disk.
func (q *backlogQueue) loadedEvent(m *message) policy.Event {
	q.relay.held++
	q.movedIn++
	q.add(m)
	if m.ID <= q.maxRecoveredID {
		return q.relay.resumedEvent(m, nil)
	}
	return q.relay.acceptedEvent(m)
}

// endExpired reports the ends of messages that expired on disk. They are removed once the platform accepts the notice.
func (r *Relay) endExpired(all []storage.Entry) {
	q := r.backlog
	var notices []notice
	for _, e := range all {
		if r.msgs[e.ID] != nil || q.unconfirmed[e.ID].ID != 0 || q.isOver(e.Ref) {
			continue // in transit, or already reported
		}
		q.awaitConfirmation(e.Ref)
		q.ended++
		if m, err := wal.Unmarshal(e.Data); err == nil {
			r.metrics.countEnd(&message{Message: m}, expiredFinal)
		}
		notices = append(notices, newNotice(e.ID, e.Trace, expiredFinal))
	}
	r.notices.add(notices...)
}

// acceptLoaded writes messages read from disk to the log again. If the log has no room, they stay on disk.
func (r *Relay) acceptLoaded(all []storage.Entry) {
	q := r.backlog
	var ms []*message
	var walMessages []*wal.Message
	for _, e := range all {
		if r.msgs[e.ID] != nil || q.unconfirmed[e.ID].ID != 0 || q.isOver(e.Ref) {
			continue
		}
		m, err := wal.Unmarshal(e.Data)
		if err != nil {
			r.log.Error("cannot read a message of the backlog", "id", e.Trace, "err", err)
			q.awaitConfirmation(e.Ref)
			r.notices.add(newNotice(e.ID, e.Trace, wal.Final{}))
			continue
		}
		m.Deadline = q.restoredTime(e.Deadline)
		ms, walMessages = append(ms, &message{Message: m, move: movingToMemory}), append(walMessages, m)
	}
	if len(walMessages) == 0 {
		return
	}
	if err := r.wal.Accept(walMessages...); err != nil {
		if !r.logFull {
			r.log.Warn("the backlog waits for the log", "err", err)
		}
		q.loadAfter = clock.Now().Add(storeRetryInterval)
		return
	}
	for _, m := range ms {
		m.seq = r.wal.Written()
		r.msgs[m.ID], r.byTrace[m.Trace] = m, m
	}
	q.incoming = append(q.incoming, ms...)
}
