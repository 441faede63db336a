package relay

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"onyxroad.dev/onyxroad/internal/backlog/storage"
	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// The backlog stores on disk the messages that exceed the window in memory and were never tried. A message is always in
// the log, in the store ("on disk"), or briefly in both, and then the log takes precedence:
//
//	accepted            in the log; its client has its answer
//	moving to disk      in the log and, once written, in the store; then it ends in the log, without a notice
//	on disk             the loop knows only how many messages each destination has there
//	moving to memory    read, and accepted into the log again under its id; then removed from the store, and only then
//	                    passed to the module
//
// So a message that the module may have sent is never on disk, and a restart that finds a message in both places uses
// the log's. The loop decides what moves (see window). One goroutine at a time reads and writes the store (see
// storeJob), so that no step waits for the disk.

const (
	jobBatch               = 512                    // messages that one job writes, and that it reads
	expiryLead             = 100 * time.Millisecond // how long before its deadline a message on disk may be ended
	expiryBatch            = 2048                   // expired messages that one job reads
	maxUnconfirmedExpiries = 16 * expiryBatch       // unconfirmed notices from which on no more expired messages are read
	storeRetryInterval     = 250 * time.Millisecond // after a failed or full disk
	sharedIDLifetime       = 2 * time.Second        // by then a client that gives up on its request has disconnected

	// Fractions of the log's space for live records. Above evictFill messages move to disk; above loadFill none come
	// back.
	evictFill = 0.6
	loadFill  = 0.5
)

// expiredFinal is the final state of a message that expires on disk or while it moves.
var expiredFinal = wal.Final{Deferred: policy.ExpiredUnsent == policy.Refuse, Again: policy.MinRetryAfter}

// Backlog configures a relay's backlog.
type Backlog struct {
	Open   func() (storage.Store, storage.OpenReport, error)
	Window int     // most messages in memory that were never sent
	Share  float64 // fraction of Window that one destination may have in memory
}

// transfer is the state of a message's move between memory and disk.
type transfer int

const (
	notMoving transfer = iota
	movingToDisk
	movingToMemory
)

// backlogQueue is the loop's side of the backlog. Its methods accept a nil receiver where a relay without a backlog
// calls them.
type backlogQueue struct {
	*window
	Backlog
	relay          *Relay
	store          storage.Store
	maxRecoveredID uint32 // highest id that was on disk at the start of the process
	clockOffset    time.Duration

	outgoing     []*message             // moving to disk, and not in a job
	incoming     []*message             // moving to memory: in the log again, and still on disk
	removals     []storage.Ref          // over, still on disk, and not in a job
	leaving      map[uint32]struct{}    // ids of removals, and of those in the job
	unconfirmed  map[uint32]storage.Ref // on disk, with final notices that are not confirmed yet
	sharedIDs    map[uint32]time.Time   // ids on disk that were submitted again, with the time of the latest request
	job          *storeJob              // running; nil if none
	startJob     func(*storeJob)
	jobs         sync.WaitGroup
	dueRead      storage.Ref // the last message that was read because it is due; those before it have been, too
	nextDeadline int64       // earliest deadline on disk after dueRead, as of the last job; noDeadline: none
	full         bool        // the last write found no space
	failing      bool        // the last job failed
	failedAt     time.Time   // when the last job failed or found no space
	loadAfter    time.Time   // no messages are loaded before: the log was full
	diskBytes    int64

	movedOut, movedIn, ended, refused int64
}

// openBacklog opens the store, and removes from it the messages that are in the log.
func (r *Relay) openBacklog(found wal.Recovery) error {
	b := r.cfg.Backlog
	if b == nil {
		return nil
	}
	store, contents, err := b.Open()
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	q := &backlogQueue{
		window: newWindow(b.Window, b.Share, r.cfg.Settings.MaxHeld), Backlog: *b, relay: r, store: store,
		unconfirmed: map[uint32]storage.Ref{}, sharedIDs: map[uint32]time.Time{}, leaving: map[uint32]struct{}{},
		maxRecoveredID: contents.MaxID, nextDeadline: 0,
	}
	if contents.Lost || contents.Rebuilt || len(contents.Problems) > 0 {
		r.log.Error("the backlog was damaged", "messages", contents.Messages, "lost", contents.Lost, "aside", contents.Problems)
	}
	q.startJob = func(j *storeJob) {
		q.jobs.Go(func() {
			j.run(q.store)
			r.post(j)
		})
	}
	if store.Len() > 0 {
		if err := removeDuplicates(store, found.Messages); err != nil {
			return errors.Join(fmt.Errorf("relay: backlog: %w", err), store.Close())
		}
	}
	if q.clockOffset, err = r.loadClockOffset(); err != nil {
		return errors.Join(err, store.Close())
	}
	for dest, n := range store.Dests() {
		q.addOnDisk(dest, n)
	}
	q.diskBytes = store.DiskBytes()
	if q.onDisk > 0 {
		r.log.Info("recovered the backlog", "messages", q.onDisk, "destinations", len(q.dests), "bytes", q.diskBytes)
	}
	r.backlog, r.lastID = q, max(r.lastID, contents.MaxID)
	return nil
}

// removeDuplicates removes the messages from the store that are in the log. One of another id is in the log instead if its
// client had left and submitted it again before it was removed.
func removeDuplicates(store storage.Store, inLog []*wal.Message) error {
	var duplicates []storage.Ref
	for _, m := range inLog {
		ref, ok, err := store.Find(m.Trace)
		if err != nil {
			return err
		}
		if ok {
			duplicates = append(duplicates, ref)
		}
	}
	if len(duplicates) == 0 {
		return nil
	}
	return store.Apply(nil, duplicates)
}

// clockOffsetFile holds, in nanoseconds, by how much in all the clock was set back since the backlog was first used.
const clockOffsetFile = "backlog.clock"

// loadClockOffset reads that offset and adds r.clockBehind to it, so that a clock that is set back over a restart gives
// no message more time.
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
	if err == nil && r.clockBehind > 0 {
		ns += int64(r.clockBehind)
		err = disk.Replace(fs, clockOffsetFile, fmt.Appendln(nil, ns))
	}
	if err != nil {
		return 0, fmt.Errorf("relay: backlog: %s: %w", clockOffsetFile, err)
	}
	return time.Duration(ns), nil
}

// rankOf returns the sort key of a message among those of its destination: its deadline, or, if its class is ordered, a
// key that grows with the time of arrival.
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

// storedTime converts a time to its form on disk: on the log's timeline, plus the offset by which the clock was set
// back over restarts. restoredTime is the inverse.
func (q *backlogQueue) storedTime(at time.Time) int64 {
	return q.relay.wal.Stamp(at).Add(q.clockOffset).UnixNano()
}

func (q *backlogQueue) restoredTime(ns int64) time.Time {
	return q.relay.wal.Local(time.Unix(0, ns).Add(-q.clockOffset))
}

// ref returns the reference of a message in the store.
func (q *backlogQueue) ref(m *message) storage.Ref {
	return storage.Ref{ID: m.ID, Trace: m.Trace, Dest: m.Dest, Rank: m.rank(), Deadline: q.storedTime(m.Deadline)}
}

// lookup answers a request for a message that is already on disk; false if it is not, or is being removed because its
// client has disconnected. A removal that has not begun is cancelled. Since the message then has more than one client,
// withdraw ignores it for sharedIDLifetime.
func (q *backlogQueue) lookup(trace string) (answer, bool) {
	if q == nil || q.onDisk == 0 {
		return answer{}, false
	}
	ref, ok, err := q.store.Find(trace)
	switch {
	case err != nil:
		q.relay.log.Warn("cannot look up a message in the backlog", "err", err)
		return backlogUnavailable(), true // whether the message is on disk is unknown
	case !ok:
		return answer{}, false
	case q.unconfirmed[ref.ID].ID != 0:
		return finalAnswer(expiredFinal), true
	case q.isLeaving(ref.ID) && !q.cancelRemoval(ref.ID):
		return answer{}, false
	}
	q.sharedIDs[ref.ID] = clock.Now()
	return answer{status: http.StatusAccepted}, true
}

// queueRemoval has the next job remove a message from the disk.
func (q *backlogQueue) queueRemoval(ref storage.Ref) {
	if q.isLeaving(ref.ID) {
		return
	}
	q.leaving[ref.ID] = struct{}{}
	q.removals = append(q.removals, ref)
}

// isLeaving reports whether a message on disk is over and waits for its removal, or is being removed.
func (q *backlogQueue) isLeaving(id uint32) bool {
	_, ok := q.leaving[id]
	return ok
}

// cancelRemoval keeps a message on disk whose removal is not in a job yet; false if there is no such removal.
func (q *backlogQueue) cancelRemoval(id uint32) bool {
	i := slices.IndexFunc(q.removals, func(ref storage.Ref) bool { return ref.ID == id })
	if i < 0 {
		return false
	}
	q.readDueFrom(q.removals[i])
	q.removals = slices.Delete(q.removals, i, i+1)
	delete(q.leaving, id)
	return true
}

// isOver reports whether a message that a job has read from the disk has ended since, or had ended before.
func (q *backlogQueue) isOver(ref storage.Ref) bool {
	if q.isLeaving(ref.ID) {
		return true
	}
	_, ended := q.relay.wal.Completed(ref.Trace)
	if ended {
		q.queueRemoval(ref)
	}
	return ended
}

// refuses reports whether a new message would have to go to disk while the disk is full, failing or far behind.
func (q *backlogQueue) refuses(dest int) bool {
	if q == nil || q.admits(dest) && q.held-q.sent < q.maxUnsent {
		return false
	}
	if !q.full && !q.failing && len(q.outgoing) < 4*q.maxUnsent {
		return false
	}
	q.refused++
	return true
}

// add, remove and markSent keep count of the messages at the module; see window.
func (q *backlogQueue) add(m *message) {
	if q != nil {
		q.window.add(m)
	}
}

func (q *backlogQueue) remove(m *message) {
	if q != nil {
		q.window.remove(m)
	}
}

func (q *backlogQueue) markSent(m *message) {
	if q != nil {
		q.window.markSent(m)
	}
}

// moveNewToDisk sends a new message to disk instead of the module if the window does not admit it.
func (q *backlogQueue) moveNewToDisk(m *message) bool {
	if q == nil || m.Attempts > 0 || !storable(m.Dest) || q.admits(m.Dest) {
		return false
	}
	q.relay.held--
	q.moveToDisk(m)
	return true
}

// moveToDisk queues a message that is not at the module for the disk.
func (q *backlogQueue) moveToDisk(m *message) {
	m.move = movingToDisk
	q.addOnDisk(m.Dest, 1)
	q.outgoing = append(q.outgoing, m)
}

// evictable reports whether a message at the module may move to disk: it was never sent, it is durable in the log, and no
// client waits for it.
func (q *backlogQueue) evictable(m *message) bool {
	return !m.ended && m.move == notMoving && m.sends == 0 && m.outstanding == 0 && m.Attempts == 0 && len(m.MayRun) == 0 &&
		m.Final == nil && !m.Withdrawn && m.continuation == nil && storable(m.Dest) && m.seq <= q.relay.wal.Durable() && q.relay.wal.IsLive(m.Message)
}

// evictExcess moves the messages that exceed the window to disk. The module is told before it makes its next decision.
func (q *backlogQueue) evictExcess() {
	if q == nil || q.full || q.failing {
		return
	}
	least := 0
	if q.relay.wal.FillRatio(0) > evictFill {
		least = 1 + (q.held-q.sent)/8
	}
	for _, m := range q.excess(least, q.evictable) {
		q.relay.held--
		q.remove(m)
		q.relay.nextEvents = append(q.relay.nextEvents, policy.Event{Kind: policy.Withdrawn, ID: m.ID})
		q.moveToDisk(m)
	}
}

// cancelTransfer ends a message that is withdrawn while it moves. If it may be on disk, it is removed there before it
// ends in the log: a restart would otherwise send it.
func (q *backlogQueue) cancelTransfer(m *message) {
	for i, x := range q.outgoing {
		if x == m && m.move == movingToDisk {
			q.outgoing = append(q.outgoing[:i], q.outgoing[i+1:]...)
			m.move, m.ended = notMoving, true
			q.addOnDisk(m.Dest, -1)
			q.relay.release(m)
			return
		}
	}
	m.dropped = true
}

// withdraw ends a message on disk whose client has disconnected without its answer.
func (q *backlogQueue) withdraw(id uint32) {
	if q == nil || q.onDisk == 0 {
		return
	}
	if _, ok := q.sharedIDs[id]; ok || q.unconfirmed[id].ID != 0 {
		return
	}
	e, ok, err := q.store.Get(id)
	if err != nil || !ok {
		return
	}
	q.queueRemoval(e.Ref)
}

// awaitConfirmation keeps a message on disk that has ended until its final notice is confirmed.
func (q *backlogQueue) awaitConfirmation(ref storage.Ref) {
	q.unconfirmed[ref.ID] = ref
	q.markEnded(ref.Dest, ref.ID)
}

// confirm removes a message on disk whose final notice was confirmed; false if the id is not of such a message.
func (q *backlogQueue) confirm(id uint32) bool {
	if q == nil {
		return false
	}
	ref, ok := q.unconfirmed[id]
	if ok {
		delete(q.unconfirmed, id)
		q.unmarkEnded(ref.Dest, id)
		q.queueRemoval(ref)
		q.relay.wal.RememberCompletion(ref.Trace, q.restoredTime(ref.Deadline), wal.CompletionOf(expiredFinal))
	}
	return ok
}

// admitRecovered reports whether a message that was recovered from the log goes to the module. Otherwise it queues the
// message for the disk: one that was never tried waits behind those already there.
func (q *backlogQueue) admitRecovered(m *message) bool {
	if q == nil || m.Attempts > 0 || len(m.MayRun) > 0 || m.Doubt || !storable(m.Dest) || q.admits(m.Dest) && q.held-q.sent < q.maxUnsent {
		return true
	}
	q.moveToDisk(m)
	return false
}

// waitForJob waits until no job is running. It returns false on a time-out.
func (q *backlogQueue) waitForJob(timeout time.Duration) bool {
	if q == nil || q.job == nil {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case e := <-q.relay.events:
			if j, ok := e.(*storeJob); ok {
				q.relay.nextEvents = q.jobFinished(q.relay.nextEvents, j)
				return true
			}
			q.relay.postponed = append(q.relay.postponed, e)
		case <-timer.C:
			return false
		}
	}
}

// close writes the removals that no job has begun and closes the store. What a job has done without the loop knowing yet is
// in the log as well.
func (q *backlogQueue) close() error {
	if q == nil || q.store == nil {
		return nil
	}
	q.jobs.Wait()
	if len(q.removals) > 0 {
		if err := q.store.Apply(nil, q.removals); err != nil {
			q.relay.log.Error("messages that are over stay in the backlog", "messages", len(q.removals), "err", err)
		}
	}
	err := q.store.Close()
	q.store = nil
	return err
}

// reopen opens the store again after a failed hand-over.
func (q *backlogQueue) reopen() error {
	if q == nil || q.store != nil {
		return nil
	}
	var err error
	for end := clock.Now().Add(relockTimeout); ; time.Sleep(lockRetryInterval) {
		if q.store, _, err = q.Open(); err == nil || clock.Now().After(end) {
			return err
		}
	}
}

// count returns the number of messages that are on disk or moving there.
func (q *backlogQueue) count() int {
	if q == nil {
		return 0
	}
	return q.onDisk
}

// publish updates the backlog's metrics.
func (q *backlogQueue) publish() {
	if q == nil {
		return
	}
	text := q.String()
	q.relay.metrics.backlog.Store(&text)
}

// String formats the backlog's metrics for /api/telemetry.
func (q *backlogQueue) String() string {
	gauge := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return fmt.Sprintf("\nrelay.backlog.messages:%d|g\nrelay.backlog.destinations:%d|g\nrelay.backlog.bytes:%d|g\nrelay.backlog.window:%d|g\n"+
		"relay.backlog.moving:%d|g\nrelay.backlog.out:%d|c\nrelay.backlog.in:%d|c\nrelay.backlog.ended:%d|c\nrelay.backlog.refused:%d|c\n"+
		"relay.backlog.full:%d|g\nrelay.backlog.failing:%d|g",
		q.onDisk, len(q.dests), q.diskBytes, q.held, len(q.outgoing)+len(q.incoming), q.movedOut, q.movedIn, q.ended, q.refused, gauge(q.full), gauge(q.failing))
}

// backlogUnavailable answers a message that the backlog would have to store, but cannot.
func backlogUnavailable() answer {
	return answer{status: http.StatusServiceUnavailable, retryAfter: policy.MinRetryAfter}
}
