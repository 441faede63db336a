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
	batchStored = 512                    // messages that a job puts, and that it reads
	dueAhead    = 100 * time.Millisecond // an end on disk is told so long before its time at most
	dueBatch    = 2048                   // ends that a job reads
	dueMost     = 16 * dueBatch          // ends told and not yet taken, from which on none are read
	storeRetry  = 250 * time.Millisecond // pause after the disk failed
	sharedFor   = 2 * time.Second        // a client that leaves has left by then

	// Of the log's room for what is live: above the one messages leave for the disk, above the other none come back.
	leaveFill = 0.6
	loadFill  = 0.5
)

// outOfTime is the end of a message whose time is up on disk, or on its way.
var outOfTime = wal.Final{Deferred: policy.ExpiredUnsent == policy.Refuse, Again: policy.MinRetryAfter}

// Backlog says how a relay keeps one.
type Backlog struct {
	Open   func() (owed.Store, owed.OpenReport, error)
	Window int     // messages in memory that were never sent
	Share  float64 // of these, for each destination
}

// move is where a message is on its way to.
type move int

const (
	staying  move = iota
	leaving       // for the disk
	entering      // from there
)

// overflow is the loop's side of the backlog.
type overflow struct {
	*window
	Backlog
	relay  *Relay
	store  owed.Store
	oldest uint32 // numbers up to this were on disk when the process began
	offset time.Duration

	out    []*message          // leaving, and not with a job
	in     []*message          // in the log again, and still on disk
	gone   []owed.Ref          // over, and still on disk
	ending map[uint32]owed.Ref // their ends were told, and not yet taken
	shared map[uint32]time.Time
	job    *storeJob // under way
	start  func(*storeJob)
	runs   sync.WaitGroup
	next   int64 // soonest deadline on disk, as of the last look; never: none
	full   bool  // there was no room at the last try
	worn   bool  // the disk failed at the last try
	tried  time.Time
	hold   time.Time // nothing is read before: the log had no room
	bytes  int64

	movedOut, movedIn, ended, refused int64
}

// newOverflow opens the store. What the log has does not count on disk.
func (r *Relay) newOverflow(found wal.Recovery) error {
	b := r.cfg.Backlog
	if b == nil {
		return nil
	}
	store, kept, err := b.Open()
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	o := &overflow{
		window: newWindow(b.Window, b.Share, r.cfg.Settings.MaxHeld), Backlog: *b, relay: r, store: store,
		ending: map[uint32]owed.Ref{}, shared: map[uint32]time.Time{}, oldest: kept.MaxID, next: 0,
	}
	if kept.Lost || kept.Rebuilt || len(kept.Problems) > 0 {
		r.log.Error("the backlog was damaged", "messages", kept.Messages, "lost", kept.Lost, "aside", kept.Problems)
	}
	o.start = func(j *storeJob) {
		o.runs.Go(func() {
			j.run(o.store)
			r.post(j)
		})
	}
	if store.Len() > 0 {
		var both []owed.Ref
		for _, m := range found.Messages {
			e, ok, err := store.Get(m.ID)
			if err != nil {
				return errors.Join(fmt.Errorf("relay: backlog: %w", err), store.Close())
			}
			if ok && e.Trace == m.Trace {
				both = append(both, e.Ref)
			}
		}
		if len(both) > 0 {
			if err := store.Apply(nil, both); err != nil {
				return errors.Join(fmt.Errorf("relay: backlog: %w", err), store.Close())
			}
		}
	}
	if o.offset, err = r.clockOffset(); err != nil {
		return errors.Join(err, store.Close())
	}
	for dest, n := range store.Dests() {
		o.stored(dest, n)
	}
	o.bytes = store.DiskBytes()
	if o.disk > 0 {
		r.log.Info("recovered the backlog", "messages", o.disk, "destinations", len(o.cells), "bytes", o.bytes)
	}
	r.backlog, r.lastID = o, max(r.lastID, kept.MaxID)
	return nil
}

// clockName is the file that tells how far the clock was set back since the first message came to the disk, in nanoseconds.
const clockName = "backlog.clock"

// clockOffset is how far: no message gets time from a clock that was set back over a restart.
func (r *Relay) clockOffset() (time.Duration, error) {
	fs := r.cfg.Disk
	if fs == nil {
		fs = disk.Dir(r.cfg.StateDir)
	}
	ns := int64(0)
	data, err := fs.ReadFile(clockName)
	if err == nil {
		ns, err = strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	} else if errors.Is(err, os.ErrNotExist) {
		err = nil
	}
	if err == nil && r.clockBehind > 0 {
		ns += int64(r.clockBehind)
		err = disk.Replace(fs, clockName, fmt.Appendln(nil, ns))
	}
	if err != nil {
		return 0, fmt.Errorf("relay: backlog: %s: %w", clockName, err)
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
			longest = max(longest, r.cfg.longest(i))
		}
	}
	return r.wal.Stamp(clock.Now().Add(longest)).UnixNano()
}

// storedTime is a time as it stands on disk: on the log's timeline, as it was before the clock was set back over a boot, if it
// was. restoredTime is the way back.
func (o *overflow) storedTime(at time.Time) int64 {
	return o.relay.wal.Stamp(at).Add(o.offset).UnixNano()
}

func (o *overflow) restoredTime(ns int64) time.Time {
	return o.relay.wal.Local(time.Unix(0, ns).Add(-o.offset))
}

// ref names a message on disk.
func (o *overflow) ref(m *message) owed.Ref {
	return owed.Ref{ID: m.ID, Trace: m.Trace, Dest: m.Dest, Rank: m.rank(), Deadline: o.storedTime(m.Deadline)}
}

// known is the answer to a hand-in of a message that lies on disk already; false if none does. Its client is not the only
// one any more.
func (o *overflow) known(trace string) (answer, bool) {
	if o == nil || o.disk == 0 {
		return answer{}, false
	}
	ref, ok, err := o.store.Find(trace)
	switch {
	case err != nil:
		o.relay.log.Warn("backlog not read", "err", err)
		return noRoom(), true // whether it is there is not known
	case !ok:
		return answer{}, false
	case o.ending[ref.ID].ID != 0:
		return finalAnswer(outOfTime), true
	}
	o.shared[ref.ID] = clock.Now()
	return answer{status: http.StatusAccepted}, true
}

// refuses tells whether a new message would have to go to a disk that takes nothing, or is far behind.
func (o *overflow) refuses(dest int) bool {
	if o == nil || o.admits(dest) && o.held-o.sent < o.size {
		return false
	}
	if !o.full && !o.worn && len(o.out) < 4*o.size {
		return false
	}
	o.refused++
	return true
}

// enter, leave and sends book what becomes of a message at the module; see window.
func (o *overflow) enter(m *message) {
	if o != nil {
		o.window.enter(m)
	}
}

func (o *overflow) leave(m *message) {
	if o != nil {
		o.window.leave(m)
	}
}

func (o *overflow) sends(m *message) {
	if o != nil {
		o.window.sends(m)
	}
}

// divert has a new message go to the disk in place of the module, if the window does not admit it.
func (o *overflow) divert(m *message) bool {
	if o == nil || m.Attempts > 0 || !storable(m.Dest) || o.admits(m.Dest) {
		return false
	}
	o.relay.held--
	o.send(m)
	return true
}

// send has a message that the module does not have leave for the disk.
func (o *overflow) send(m *message) {
	m.move = leaving
	o.stored(m.Dest, 1)
	o.out = append(o.out, m)
}

// mayLeave tells whether a message at the module may lie on disk: nothing of it has run or is out, and nobody waits for it.
func (o *overflow) mayLeave(m *message) bool {
	return !m.ended && m.move == staying && m.sends == 0 && m.outstanding == 0 && m.Attempts == 0 && len(m.MayRun) == 0 &&
		m.Final == nil && !m.Withdrawn && m.continuation == nil && storable(m.Dest) && m.seq <= o.relay.wal.Durable() && o.relay.wal.IsLive(m.Message)
}

// balance has leave what the window is too small for. The module hears of it before it decides anything more.
func (o *overflow) balance() {
	if o == nil || o.full || o.worn {
		return
	}
	least := 0
	if o.relay.wal.FillRatio() > leaveFill {
		least = 1 + (o.held-o.sent)/8
	}
	for _, m := range o.excess(least, o.mayLeave) {
		o.relay.held--
		o.leave(m)
		o.relay.nextEvents = append(o.relay.nextEvents, policy.Event{Kind: policy.Withdrawn, ID: m.ID})
		o.send(m)
	}
}

// drop ends a message on its way that is owed no more. One that may be on disk leaves that first: a restart would have it.
func (o *overflow) drop(m *message) {
	for i, x := range o.out {
		if x == m && m.move == leaving {
			o.out = append(o.out[:i], o.out[i+1:]...)
			m.move, m.ended = staying, true
			o.stored(m.Dest, -1)
			o.relay.release(m)
			return
		}
	}
	m.dropped = true
}

// withdraw ends a message whose client has left after it went to the disk.
func (o *overflow) withdraw(id uint32) {
	if o == nil || o.disk == 0 {
		return
	}
	if _, ok := o.shared[id]; ok || o.ending[id].ID != 0 {
		return
	}
	e, ok, err := o.store.Get(id)
	if err != nil || !ok {
		return
	}
	o.gone = append(o.gone, e.Ref)
}

// confirmed takes that the end of a message on disk was taken; false if it is not one.
func (o *overflow) confirmed(id uint32) bool {
	if o == nil {
		return false
	}
	ref, ok := o.ending[id]
	if ok {
		delete(o.ending, id)
		o.gone = append(o.gone, ref)
		o.relay.wal.RememberCompletion(ref.Trace, o.restoredTime(ref.Deadline), wal.CompletionOf(outOfTime))
	}
	return ok
}

// keeps tells whether the module is given a message that a start found in the log. Else it goes to the disk: what was never
// tried waits its turn behind what lies there.
func (o *overflow) keeps(m *message) bool {
	if o == nil || m.Attempts > 0 || len(m.MayRun) > 0 || m.Doubt || !storable(m.Dest) || o.admits(m.Dest) && o.held-o.sent < o.size {
		return true
	}
	o.send(m)
	return false
}

// wait waits until no job is under way; false if that takes too long.
func (o *overflow) wait(most time.Duration) bool {
	if o == nil || o.job == nil {
		return true
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		select {
		case e := <-o.relay.events:
			if j, ok := e.(*storeJob); ok {
				o.relay.nextEvents = o.jobFinished(o.relay.nextEvents, j)
				return true
			}
			o.relay.postponed = append(o.relay.postponed, e)
		case <-timer.C:
			return false
		}
	}
}

// close ends the store. What a job has done that the loop has not heard of is in the log as well.
func (o *overflow) close() error {
	if o == nil || o.store == nil {
		return nil
	}
	o.runs.Wait()
	err := o.store.Close()
	o.store = nil
	return err
}

// reopen opens the store again after a hand-over that came to nothing.
func (o *overflow) reopen() error {
	if o == nil || o.store != nil {
		return nil
	}
	var err error
	for end := clock.Now().Add(retakeFor); ; time.Sleep(lockPause) {
		if o.store, _, err = o.Open(); err == nil || clock.Now().After(end) {
			return err
		}
	}
}

// owing is how many messages are owed that the module does not have.
func (o *overflow) owing() int {
	if o == nil {
		return 0
	}
	return o.disk
}

// tell has the second address show the backlog's figures.
func (o *overflow) tell() {
	if o == nil {
		return
	}
	text := o.String()
	o.relay.metrics.backlog.Store(&text)
}

// String is the backlog's figures, for the second address.
func (o *overflow) String() string {
	gauge := func(b bool) int {
		if b {
			return 1
		}
		return 0
	}
	return fmt.Sprintf("\nrelay.backlog.messages:%d|g\nrelay.backlog.destinations:%d|g\nrelay.backlog.bytes:%d|g\nrelay.backlog.window:%d|g\n"+
		"relay.backlog.moving:%d|g\nrelay.backlog.out:%d|c\nrelay.backlog.in:%d|c\nrelay.backlog.ended:%d|c\nrelay.backlog.refused:%d|c\n"+
		"relay.backlog.full:%d|g\nrelay.backlog.failing:%d|g",
		o.disk, len(o.cells), o.bytes, o.held, len(o.out)+len(o.in), o.movedOut, o.movedIn, o.ended, o.refused, gauge(o.full), gauge(o.worn))
}

// noRoom is the answer to a message that would have to go to a disk which takes nothing.
func noRoom() answer {
	return answer{status: http.StatusServiceUnavailable, retryAfter: policy.MinRetryAfter}
}
