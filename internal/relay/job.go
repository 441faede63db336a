package relay

import (
	"errors"
	"time"

	"onyxroad.dev/onyxroad/internal/backlog/owed"
	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// job is one round at the store. What is removed and put is durable before anything is read.
type job struct {
	put    []owed.Entry
	remove []owed.Ref
	loads  []loadRequest
	due    int64 // 0: nothing

	out, in []*message // whose entries are put and removed
	gone    []owed.Ref

	full   bool // no room for what was to be put
	err    error
	loaded []owed.Entry
	ends   []owed.Entry
	next   int64
	bytes  int64
}

// run does a job's reading and writing.
func (j *job) run(s owed.Store) {
	defer func() { j.bytes = s.Disk() }()
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
		j.ends, j.err = s.Due(j.due, expiryBatch)
	}
	next, ok, err := s.NextDue()
	if j.next = next; !ok || err != nil {
		j.next = noDeadline
	}
}

// tend ends what is on its way for too long, and has the next job begin. The loop calls it after each step and now and then.
func (o *backlogQueue) tend() {
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
		o.expire(all, now)
	}
	if o.job != nil {
		o.expire(o.job.out, now)
		o.expire(o.job.in, now)
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

// expire tells the ends of messages whose time is up on their way.
func (o *backlogQueue) expire(all []*message, now time.Time) {
	var ended []*message
	for _, m := range all {
		if m.ended || m.dropped || now.Before(m.Deadline.Add(-expiryLead)) {
			continue
		}
		m.ended = true
		o.relay.figures.ended(m, expiredFinal)
		o.relay.wal.Decide(m.Message, expiredFinal)
		ended = append(ended, m)
		o.ended++
	}
	o.relay.recordEnds(ended)
}

// nextJob is what is to be done at the store; nil if nothing is.
func (o *backlogQueue) nextJob(now time.Time) *job {
	durable := o.relay.wal.Durable()
	j := &job{}
	rest := o.outgoing[:0:0]
	for _, m := range o.outgoing {
		if len(j.put) >= jobBatch || m.seq > durable {
			rest = append(rest, m)
			continue
		}
		j.out, j.put = append(j.out, m), append(j.put, owed.Entry{Ref: o.ref(m), Data: wal.Marshal(m.Message)})
	}
	o.outgoing = rest
	rest = o.incoming[:0:0]
	for _, m := range o.incoming {
		if m.seq > durable {
			rest = append(rest, m)
			continue
		}
		j.in, j.remove = append(j.in, m), append(j.remove, o.ref(m))
	}
	o.incoming = rest
	j.gone, o.removals = o.removals, nil
	j.remove = append(j.remove, j.gone...)
	if !o.relay.stopping && now.After(o.loadAfter) && o.relay.wal.Fill() < loadFill {
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

// finished takes a job's end, and returns what the module has to hear of it.
func (o *backlogQueue) finished(evs []policy.Event, j *job) []policy.Event {
	o.job, o.diskBytes = nil, j.bytes
	for _, l := range j.loads {
		o.finishLoad(l.dest)
	}
	o.state(j)
	if o.failing || j.full {
		o.outgoing = append(j.out, o.outgoing...)
		j.out = nil
	}
	if o.failing {
		// Whether it was applied is not known: applied once more it does no harm.
		o.incoming, o.removals = append(j.in, o.incoming...), append(j.gone, o.removals...)
		return evs
	}
	for _, m := range j.out {
		if m.dropped || m.ended {
			m.move = movingToMemory // off the disk again, and over then
			o.incoming = append(o.incoming, m)
			continue
		}
		m.move = notMoving
		o.movedOut++
		o.relay.wal.End(m.Message) // it lies on disk
		m.ended = true
		o.relay.retire(m)
	}
	for _, ref := range j.gone {
		o.addOnDisk(ref.Dest, -1)
	}
	for _, m := range j.in {
		o.addOnDisk(m.Dest, -1)
		m.move = notMoving
		switch {
		case m.dropped:
			m.ended = true
			o.relay.letGo(m)
		case m.ended && m.confirmed:
			o.relay.complete(m, wal.CompletionOf(*m.Final))
		case m.ended:
		case !o.relay.noSends:
			evs = append(evs, o.given(m))
		}
	}
	o.nextDeadline = j.next
	o.relay.end(j.ends)
	o.relay.take(j.loaded)
	return evs
}

// state notes whether the disk takes what it is given.
func (o *backlogQueue) state(j *job) {
	log := o.relay.log
	if j.err != nil {
		if o.failedAt = clock.Now(); !o.failing {
			log.Error("the backlog's disk fails: nothing new goes there", "err", j.err)
		}
		o.failing = true
		return
	}
	if o.failing {
		log.Info("the backlog goes on")
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

// given tells the module of a message from the disk.
func (o *backlogQueue) given(m *message) policy.Event {
	o.relay.held++
	o.movedIn++
	o.add(m)
	if m.ID <= o.maxRecoveredID {
		return o.relay.resumed(m, nil)
	}
	return o.relay.taken(m)
}

// end tells the ends of messages whose time is up on disk. They leave it once the platform has taken that.
func (r *Relay) end(all []owed.Entry) {
	o := r.owed
	var news []notice
	for _, e := range all {
		if r.msgs[e.ID] != nil || o.unconfirmed[e.ID].ID != 0 {
			continue // on its way, or told
		}
		o.unconfirmed[e.ID] = e.Ref
		o.ended++
		if m, err := wal.Unmarshal(e.Data); err == nil {
			r.figures.ended(&message{Message: m}, expiredFinal)
		}
		news = append(news, newNotice(e.ID, e.Trace, expiredFinal))
	}
	r.finals.add(news...)
}

// take has messages that were read from disk stand in the log again. Where that has no room they stay where they are.
func (r *Relay) take(all []owed.Entry) {
	o := r.owed
	var ms []*message
	var news []*wal.Message
	for _, e := range all {
		if r.msgs[e.ID] != nil || o.unconfirmed[e.ID].ID != 0 {
			continue
		}
		m, err := wal.Unmarshal(e.Data)
		if err != nil {
			r.log.Error("a message of the backlog can't be read", "id", e.Trace, "err", err)
			o.unconfirmed[e.ID] = e.Ref
			r.finals.add(newNotice(e.ID, e.Trace, wal.Final{}))
			continue
		}
		m.Deadline = o.restoredTime(e.Deadline)
		ms, news = append(ms, &message{Message: m, move: movingToMemory}), append(news, m)
	}
	if len(news) == 0 {
		return
	}
	if err := r.wal.Accept(news...); err != nil {
		if !r.full {
			r.log.Warn("the backlog waits for the log", "err", err)
		}
		o.loadAfter = clock.Now().Add(storeRetryInterval)
		return
	}
	for _, m := range ms {
		m.seq = r.wal.Written()
		r.msgs[m.ID], r.traces[m.Trace] = m, m
	}
	o.incoming = append(o.incoming, ms...)
}
