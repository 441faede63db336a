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
	loads  []load
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
		j.expired, j.err = s.Due(j.due, dueBatch)
	}
	next, ok, err := s.NextDue()
	if j.nextDue = next; !ok || err != nil {
		j.nextDue = never
	}
}

// maintain ends messages that expire while in transit and starts the next job. The loop calls it after each step and
// periodically.
func (o *overflow) maintain() {
	if o == nil {
		return
	}
	now := clock.Now()
	for id, at := range o.shared {
		if now.Sub(at) > sharedFor {
			delete(o.shared, id)
		}
	}
	for _, all := range [][]*message{o.out, o.in} {
		o.expireMoving(all, now)
	}
	if o.job != nil {
		o.expireMoving(o.job.putMessages, now)
		o.expireMoving(o.job.removedMessages, now)
		return
	}
	if (o.worn || o.full) && now.Sub(o.tried) < storeRetry {
		return
	}
	if j := o.nextJob(now); j != nil {
		o.job = j
		o.start(j)
	}
}

// expireMoving reports the ends of messages in transit whose deadline has passed.
func (o *overflow) expireMoving(all []*message, now time.Time) {
	var ended []*message
	for _, m := range all {
		if m.ended || m.dropped || now.Before(m.Deadline.Add(-dueAhead)) {
			continue
		}
		m.ended = true
		o.relay.metrics.countEnd(m, outOfTime)
		o.relay.wal.SetFinal(m.Message, outOfTime)
		ended = append(ended, m)
		o.ended++
	}
	o.relay.tellEnds(ended)
}

// nextJob returns the next work for the store; nil if there is none.
func (o *overflow) nextJob(now time.Time) *storeJob {
	durable := o.relay.wal.Durable()
	j := &storeJob{}
	rest := o.out[:0:0]
	for _, m := range o.out {
		if len(j.put) >= batchStored || m.seq > durable {
			rest = append(rest, m)
			continue
		}
		j.putMessages, j.put = append(j.putMessages, m), append(j.put, owed.Entry{Ref: o.ref(m), Data: wal.Marshal(m.Message)})
	}
	o.out = rest
	rest = o.in[:0:0]
	for _, m := range o.in {
		if m.seq > durable {
			rest = append(rest, m)
			continue
		}
		j.removedMessages, j.remove = append(j.removedMessages, m), append(j.remove, o.ref(m))
	}
	o.in = rest
	j.removedRefs, o.gone = o.gone, nil
	j.remove = append(j.remove, j.removedRefs...)
	if !o.relay.stopping && now.After(o.hold) && o.relay.wal.FillRatio() < loadFill {
		j.loads = o.loads(batchStored)
	}
	if by := o.storedTime(now.Add(dueAhead)); o.next <= by && len(o.ending) < dueMost && !o.relay.noSends {
		j.due = by
	}
	if len(j.put)+len(j.remove)+len(j.loads) == 0 && j.due == 0 {
		return nil
	}
	return j
}

// jobFinished applies a job's results and returns the events that the module has to see.
func (o *overflow) jobFinished(evs []policy.Event, j *storeJob) []policy.Event {
	o.job, o.bytes = nil, j.bytes
	for _, l := range j.loads {
		o.loaded(l.dest)
	}
	o.noteDiskState(j)
	if o.worn || j.full {
		o.out = append(j.putMessages, o.out...)
		j.putMessages = nil
	}
	if o.worn {
		// It is unknown whether the writes were applied; applying them again is harmless.
		o.in, o.gone = append(j.removedMessages, o.in...), append(j.removedRefs, o.gone...)
		return evs
	}
	for _, m := range j.putMessages {
		if m.dropped || m.ended {
			m.move = entering // remove it from disk again; then it is over
			o.in = append(o.in, m)
			continue
		}
		m.move = staying
		o.movedOut++
		o.relay.wal.End(m.Message) // it is durable on disk
		m.ended = true
		o.relay.retire(m)
	}
	for _, ref := range j.removedRefs {
		o.stored(ref.Dest, -1)
	}
	for _, m := range j.removedMessages {
		o.stored(m.Dest, -1)
		m.move = staying
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
	o.next = j.nextDue
	o.relay.endExpired(j.expired)
	o.relay.acceptLoaded(j.loaded)
	return evs
}

// noteDiskState tracks whether the disk accepts writes.
func (o *overflow) noteDiskState(j *storeJob) {
	log := o.relay.log
	if j.err != nil {
		if o.tried = clock.Now(); !o.worn {
			log.Error("the backlog's disk fails: nothing new goes there", "err", j.err)
		}
		o.worn = true
		return
	}
	if o.worn {
		log.Info("the backlog's disk accepts writes again")
	}
	o.worn = false
	if j.full {
		if o.tried = clock.Now(); !o.full {
			log.Warn("the backlog is full: new messages beyond the window are refused", "messages", o.disk, "bytes", j.bytes)
		}
		o.full = true
	} else if len(j.put) > 0 && o.full {
		log.Info("the backlog has room again")
		o.full = false
	}
}

// loadedEvent tells the module about a message from the disk.
func (o *overflow) loadedEvent(m *message) policy.Event {
	o.relay.held++
	o.movedIn++
	o.enter(m)
	if m.ID <= o.oldest {
		return o.relay.resumedEvent(m, nil)
	}
	return o.relay.takenEvent(m)
}

// endExpired reports the ends of messages that expired on disk. They are removed once the platform accepts the notice.
func (r *Relay) endExpired(all []owed.Entry) {
	o := r.backlog
	var notices []notice
	for _, e := range all {
		if r.msgs[e.ID] != nil || o.ending[e.ID].ID != 0 {
			continue // in transit, or already reported
		}
		o.ending[e.ID] = e.Ref
		o.ended++
		if m, err := wal.Unmarshal(e.Data); err == nil {
			r.metrics.countEnd(&message{Message: m}, outOfTime)
		}
		notices = append(notices, newNotice(e.ID, e.Trace, outOfTime))
	}
	r.finals.add(notices...)
}

// acceptLoaded writes messages read from disk to the log again. If the log has no room, they stay on disk.
func (r *Relay) acceptLoaded(all []owed.Entry) {
	o := r.backlog
	var ms []*message
	var walMessages []*wal.Message
	for _, e := range all {
		if r.msgs[e.ID] != nil || o.ending[e.ID].ID != 0 {
			continue
		}
		m, err := wal.Unmarshal(e.Data)
		if err != nil {
			r.log.Error("cannot read a message of the backlog", "id", e.Trace, "err", err)
			o.ending[e.ID] = e.Ref
			r.finals.add(newNotice(e.ID, e.Trace, wal.Final{}))
			continue
		}
		m.Deadline = o.restoredTime(e.Deadline)
		ms, walMessages = append(ms, &message{Message: m, move: entering}), append(walMessages, m)
	}
	if len(walMessages) == 0 {
		return
	}
	if err := r.wal.Accept(walMessages...); err != nil {
		if !r.logFull {
			r.log.Warn("the backlog waits for the log", "err", err)
		}
		o.hold = clock.Now().Add(storeRetry)
		return
	}
	for _, m := range ms {
		m.seq = r.wal.Written()
		r.msgs[m.ID], r.byTrace[m.Trace] = m, m
	}
	o.in = append(o.in, ms...)
}
