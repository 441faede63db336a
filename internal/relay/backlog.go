package relay

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/backlog/owed"
	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// The backlog: what is owed beyond the window lies on disk, untried. A message is in the log or on disk at all times, for a
// moment in both, and which of the two counts is told by the log:
//
//	taken on            in the log; its client has its answer
//	leaving             in the log and, once the store says so, on disk; then it ends in the log, with no notice
//	on disk             the loop knows its destination's count alone
//	entering            read, and taken on in the log anew under its number; it leaves the disk, and only then the module has it
//
// So nothing that the module may have sent is ever on disk, and a restart that finds a message in both has the log's. The
// loop decides what moves (see window); one goroutine at a time does the reading and writing (see job), so that no step
// waits for the disk.

const (
	jobBatch               = 512                    // messages that a job puts, and that it reads
	expiryLead             = 100 * time.Millisecond // an end on disk is told so long before its time at most
	expiryBatch            = 2048                   // ends that a job reads
	maxUnconfirmedExpiries = 16 * expiryBatch       // ends told and not yet taken, from which on none are read
	storeRetryInterval     = 250 * time.Millisecond // pause after the disk failed
	sharedIDLifetime       = 2 * time.Second        // a client that leaves has left by then

	// Of the log's room for what is live: above the one messages leave for the disk, above the other none come back.
	evictFill = 0.6
	loadFill  = 0.5
)

// expiredFinal is the end of a message whose time is up on disk, or on its way.
var expiredFinal = wal.Final{Deferred: policy.Unsent == policy.Refuse, Again: policy.RetryAdvice}

// Backlog says how a relay keeps one.
type Backlog struct {
	Open   func() (owed.Store, owed.Found, error)
	Window int     // messages in memory that were never sent
	Share  float64 // of these, for each destination
}

// transfer is where a message is on its way to.
type transfer int

const (
	notMoving      transfer = iota
	movingToDisk            // for the disk
	movingToMemory          // from there
)

// backlogQueue is the loop's side of the backlog.
type backlogQueue struct {
	*window
	Backlog
	relay          *Relay
	store          owed.Store
	maxRecoveredID uint32 // numbers up to this were on disk when the process began
	clockOffset    time.Duration

	outgoing     []*message          // leaving, and not with a job
	incoming     []*message          // in the log again, and still on disk
	removals     []owed.Ref          // over, and still on disk
	unconfirmed  map[uint32]owed.Ref // their ends were told, and not yet taken
	sharedIDs    map[uint32]time.Time
	job          *job // under way
	startJob     func(*job)
	jobs         sync.WaitGroup
	nextDeadline int64 // soonest deadline on disk, as of the last look; never: none
	full         bool  // there was no room at the last try
	failing      bool  // the disk failed at the last try
	failedAt     time.Time
	loadAfter    time.Time // nothing is read before: the log had no room
	diskBytes    int64

	movedOut, movedIn, ended, refused int64
}

// openBacklog opens the store. What the log has does not count on disk.
func (r *Relay) openBacklog(found wal.Recovery) error {
	b := r.cfg.Backlog
	if b == nil {
		return nil
	}
	store, contents, err := b.Open()
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	o := &backlogQueue{
		window: newWindow(b.Window, b.Share, r.cfg.Settings.MaxHeld), Backlog: *b, relay: r, store: store,
		unconfirmed: map[uint32]owed.Ref{}, sharedIDs: map[uint32]time.Time{}, maxRecoveredID: contents.MaxID, nextDeadline: 0,
	}
	if contents.Lost || contents.Rebuilt || len(contents.Aside) > 0 {
		r.log.Error("the backlog was damaged", "messages", contents.Messages, "lost", contents.Lost, "aside", contents.Aside)
	}
	o.startJob = func(j *job) {
		o.jobs.Go(func() {
			j.run(o.store)
			r.post(j)
		})
	}
	if store.Len() > 0 {
		var duplicates []owed.Ref
		for _, m := range found.Messages {
			e, ok, err := store.Get(m.ID)
			if err != nil {
				return errors.Join(fmt.Errorf("relay: backlog: %w", err), store.Close())
			}
			if ok && e.Trace == m.Trace {
				duplicates = append(duplicates, e.Ref)
			}
		}
		if len(duplicates) > 0 {
			if err := store.Apply(nil, duplicates); err != nil {
				return errors.Join(fmt.Errorf("relay: backlog: %w", err), store.Close())
			}
		}
	}
	if o.clockOffset, err = r.loadClockOffset(); err != nil {
		return errors.Join(err, store.Close())
	}
	for dest, n := range store.Dests() {
		o.addOnDisk(dest, n)
	}
	o.diskBytes = store.Disk()
	if o.onDisk > 0 {
		r.log.Info("recovered the backlog", "messages", o.onDisk, "destinations", len(o.dests), "bytes", o.diskBytes)
	}
	r.owed, r.lastID = o, max(r.lastID, contents.MaxID)
	return nil
}

// clockOffsetFile is the file that tells how far the clock was set back since the first message came to the disk, in nanoseconds.
const clockOffsetFile = "backlog.clock"

// loadClockOffset is how far: no message gets time from a clock that was set back over a restart.
func (r *Relay) loadClockOffset() (time.Duration, error) {
	fs := r.cfg.Disk
	if fs == nil {
		fs = disk.Dir(r.cfg.StateDir)
	}
	ns := int64(0)
	data, err := fs.ReadFile(clockOffsetFile)
	if err == nil {
		ns, err = strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	} else if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	if err == nil && r.behind > 0 {
		ns += int64(r.behind)
		err = disk.Replace(fs, clockOffsetFile, fmt.Appendln(nil, ns))
	}
	if err != nil {
		return 0, fmt.Errorf("relay: backlog: %s: %w", clockOffsetFile, err)
	}
	return time.Duration(ns), nil
}

// rankOf is what orders a message among those of its destination: its deadline, and where its class keeps order, whatever
// comes first.
func (r *Relay) rankOf(m *wal.Message) int64 {
	if m.Order == "" || !r.cfg.Settings.Classes[m.Class].Ordered {
		return r.wal.Stamp(m.Deadline).UnixNano()
	}
	longest := time.Duration(0)
	for i, c := range r.cfg.Settings.Classes {
		if c.Ordered {
			longest = max(longest, r.cfg.maxLifetime(i))
		}
	}
	return r.wal.Stamp(clock.Now().Add(longest)).UnixNano()
}

// storedTime is a time as it stands on disk: on the log's timeline, as it was before the clock was set back over a boot, if it
// was. restoredTime is the way back.
func (o *backlogQueue) storedTime(at time.Time) int64 {
	return o.relay.wal.Stamp(at).Add(o.clockOffset).UnixNano()
}

func (o *backlogQueue) restoredTime(ns int64) time.Time {
	return o.relay.wal.Local(time.Unix(0, ns).Add(-o.clockOffset))
}

// ref names a message on disk.
func (o *backlogQueue) ref(m *message) owed.Ref {
	return owed.Ref{ID: m.ID, Trace: m.Trace, Dest: m.Dest, Rank: m.rank(), Deadline: o.storedTime(m.Deadline)}
}

// lookup is the answer to a hand-in of a message that lies on disk already; false if none does. Its client is not the only
// one any more.
func (o *backlogQueue) lookup(trace string) (answer, bool) {
	if o == nil || o.onDisk == 0 {
		return answer{}, false
	}
	ref, ok, err := o.store.Find(trace)
	switch {
	case err != nil:
		o.relay.log.Warn("backlog not read", "err", err)
		return backlogUnavailable(), true // whether it is there is not known
	case !ok:
		return answer{}, false
	case o.unconfirmed[ref.ID].ID != 0:
		return finalAnswer(expiredFinal), true
	}
	o.sharedIDs[ref.ID] = clock.Now()
	return answer{status: http.StatusAccepted}, true
}

// refuses tells whether a new message would have to go to a disk that takes nothing, or is far behind.
func (o *backlogQueue) refuses(dest int) bool {
	if o == nil || o.admits(dest) && o.held-o.sent < o.maxUnsent {
		return false
	}
	if !o.full && !o.failing && len(o.outgoing) < 4*o.maxUnsent {
		return false
	}
	o.refused++
	return true
}

// add, leave and sends book what becomes of a message at the module; see window.
func (o *backlogQueue) add(m *message) {
	if o != nil {
		o.window.add(m)
	}
}

func (o *backlogQueue) remove(m *message) {
	if o != nil {
		o.window.remove(m)
	}
}

func (o *backlogQueue) markSent(m *message) {
	if o != nil {
		o.window.markSent(m)
	}
}

// divert has a new message go to the disk in place of the module, if the window does not admit it.
func (o *backlogQueue) divert(m *message) bool {
	if o == nil || m.Attempts > 0 || !storable(m.Dest) || o.admits(m.Dest) {
		return false
	}
	o.relay.held--
	o.moveToDisk(m)
	return true
}

// moveToDisk has a message that the module does not have leave for the disk.
func (o *backlogQueue) moveToDisk(m *message) {
	m.move = movingToDisk
	o.addOnDisk(m.Dest, 1)
	o.outgoing = append(o.outgoing, m)
}

// evictable tells whether a message at the module may lie on disk: nothing of it has run or is out, and nobody waits for it.
func (o *backlogQueue) evictable(m *message) bool {
	return !m.ended && m.move == notMoving && m.sends == 0 && m.out == 0 && m.Attempts == 0 && len(m.MayRun) == 0 &&
		m.Final == nil && !m.Withdrawn && m.next == nil && storable(m.Dest) && m.seq <= o.relay.wal.Durable() && o.relay.wal.Owes(m.Message)
}

// evictExcess has leave what the window is too small for. The module hears of it before it decides anything more.
func (o *backlogQueue) evictExcess() {
	if o == nil || o.full || o.failing {
		return
	}
	least := 0
	if o.relay.wal.Fill() > evictFill {
		least = 1 + (o.held-o.sent)/8
	}
	for _, m := range o.excess(least, o.evictable) {
		o.relay.held--
		o.remove(m)
		o.relay.later = append(o.relay.later, policy.Event{Kind: policy.Withdrawn, ID: m.ID})
		o.moveToDisk(m)
	}
}

// cancelTransfer ends a message on its way that is owed no more. One that may be on disk leaves that first: a restart would have it.
func (o *backlogQueue) cancelTransfer(m *message) {
	for i, x := range o.outgoing {
		if x == m && m.move == movingToDisk {
			o.outgoing = append(o.outgoing[:i], o.outgoing[i+1:]...)
			m.move, m.ended = notMoving, true
			o.addOnDisk(m.Dest, -1)
			o.relay.letGo(m)
			return
		}
	}
	m.dropped = true
}

// withdraw ends a message whose client has left after it went to the disk.
func (o *backlogQueue) withdraw(id uint32) {
	if o == nil || o.onDisk == 0 {
		return
	}
	if _, ok := o.sharedIDs[id]; ok || o.unconfirmed[id].ID != 0 {
		return
	}
	e, ok, err := o.store.Get(id)
	if err != nil || !ok {
		return
	}
	o.removals = append(o.removals, e.Ref)
}

// confirm takes that the end of a message on disk was taken; false if it is not one.
func (o *backlogQueue) confirm(id uint32) bool {
	if o == nil {
		return false
	}
	ref, ok := o.unconfirmed[id]
	if ok {
		delete(o.unconfirmed, id)
		o.removals = append(o.removals, ref)
		o.relay.wal.Remember(ref.Trace, o.restoredTime(ref.Deadline), wal.CompletionOf(expiredFinal))
	}
	return ok
}

// admitRecovered tells whether the module is given a message that a start found in the log. Else it goes to the disk: what was never
// tried waits its turn behind what lies there.
func (o *backlogQueue) admitRecovered(m *message) bool {
	if o == nil || m.Attempts > 0 || len(m.MayRun) > 0 || m.Doubt || !storable(m.Dest) || o.admits(m.Dest) && o.held-o.sent < o.maxUnsent {
		return true
	}
	o.moveToDisk(m)
	return false
}

// waitForJob waits until no job is under way; false if that takes too long.
func (o *backlogQueue) waitForJob(timeout time.Duration) bool {
	if o == nil || o.job == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case e := <-o.relay.events:
			if j, ok := e.(*job); ok {
				o.relay.later = o.finished(o.relay.later, j)
				return true
			}
			o.relay.kept = append(o.relay.kept, e)
		case <-timer.C:
			return false
		}
	}
}

// close ends the store. What a job has done that the loop has not heard of is in the log as well.
func (o *backlogQueue) close() error {
	if o == nil || o.store == nil {
		return nil
	}
	o.jobs.Wait()
	err := o.store.Close()
	o.store = nil
	return err
}

// reopen opens the store again after a hand-over that came to nothing.
func (o *backlogQueue) reopen() error {
	if o == nil || o.store != nil {
		return nil
	}
	var err error
	for end := clock.Now().Add(relockTimeout); ; time.Sleep(lockRetryInterval) {
		if o.store, _, err = o.Open(); err == nil || clock.Now().After(end) {
			return err
		}
	}
}

// count is how many messages are owed that the module does not have.
func (o *backlogQueue) count() int {
	if o == nil {
		return 0
	}
	return o.onDisk
}

// publish has the second address show the backlog's figures.
func (o *backlogQueue) publish() {
	if o == nil {
		return
	}
	text := o.String()
	o.relay.figures.backlog.Store(&text)
}

// String is the backlog's figures, for the second address.
func (o *backlogQueue) String() string {
	gauge := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return fmt.Sprintf("\nrelay.backlog.messages:%d|g\nrelay.backlog.destinations:%d|g\nrelay.backlog.bytes:%d|g\nrelay.backlog.window:%d|g\n"+
		"relay.backlog.moving:%d|g\nrelay.backlog.out:%d|c\nrelay.backlog.in:%d|c\nrelay.backlog.ended:%d|c\nrelay.backlog.refused:%d|c\n"+
		"relay.backlog.full:%d|g\nrelay.backlog.failing:%d|g",
		o.onDisk, len(o.dests), o.diskBytes, o.held, len(o.outgoing)+len(o.incoming), o.movedOut, o.movedIn, o.ended, o.refused, gauge(o.full), gauge(o.failing))
}

// backlogUnavailable is the answer to a message that would have to go to a disk which takes nothing.
func backlogUnavailable() answer {
	return answer{status: http.StatusServiceUnavailable, again: policy.RetryAdvice}
}
