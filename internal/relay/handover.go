package relay

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/sockets"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// A running relay hands over to a new process of the same relay, which requests it over a Unix socket in the state
// folder. Every resource has exactly one owner at any time:
//
//	phase           listener           log and decisions     calls in flight
//	old alone       old                old                   old
//	handing over    both hold it       nobody                old
//	handed over     new                new                   each its own; the old reports its outcomes to the new
//	new alone       new                new                   new; old calls with no reported outcome may have run
//
// The lock on the log determines the owner. The old process releases it together with its state, and locks the log again
// if the new one does not confirm that it has it. The old process forwards whatever reaches it after the hand-over.

const (
	handoverSocket      = "handover.sock"
	handoverTimeout     = 2 * time.Second // for each side of the exchange
	frameWriteTimeout   = time.Second
	relockTimeout       = 5 * time.Second // for locking the log again after a hand-over that failed
	lockRetryInterval   = 20 * time.Millisecond
	maxPredecessorDrain = 10 * time.Second // after which a process that has handed over exits even without SIGTERM
)

// clockReading pairs simultaneous readings of the machine's monotonic clock and of the module's clock. The zero value
// holds no reading.
type clockReading struct {
	Machine clock.Machine
	Module  time.Duration
}

// readClock returns a reading that another process on this machine can translate; see moduleStart.
func (r *Relay) readClock() clockReading {
	machine, ok := clock.ReadMachine()
	if !ok {
		return clockReading{}
	}
	return clockReading{machine, r.now()}
}

// moduleStart returns the time on this process's clock at which the other process's module clock was zero. It uses the
// monotonic clock where both readings are of the same boot, and otherwise the wall clock.
func (h *handoverState) moduleStart() time.Time {
	now := clock.Now()
	if machine, ok := clock.ReadMachine(); ok && machine.Follows(h.Clock.Machine) {
		return now.Add(-h.Clock.Module - (machine.Monotonic - h.Clock.Machine.Monotonic))
	}
	return now.Add(-now.Sub(h.Began))
}

// outstandingAttempt is an attempt in flight. With Cut set, it has already timed out for its message while its call goes
// on for the call's other messages.
type outstandingAttempt struct {
	policy.OutstandingAttempt
	ID  uint32
	Cut bool
}

// attemptKey identifies an attempt. Message ids come from the log and are the same in both processes.
type attemptKey struct {
	id uint32
	n  int
}

// Hand-over events of the loop, in addition to forwardedOutcome.
type (
	handoverRequest struct{ link *handoverLink } // a new process requests a hand-over
	predecessorGone struct{}                     // the old process has exited
)

// The old process's side.

// serveHandovers accepts hand-over requests of a new process until the returned function is called. If the socket
// cannot be opened, a new process waits for the log's lock until this one exits.
func (r *Relay) serveHandovers() (end func()) {
	path := filepath.Join(r.cfg.StateDir, handoverSocket)
	ctx, stop := context.WithCancel(context.Background())
	var listening sync.WaitGroup
	listening.Go(func() {
		var l *net.UnixListener
		err := retryTransient(ctx, r.log, "listen for a new process", forever, func() (err error) {
			os.Remove(path) // a leftover of an earlier process: this one holds the log's lock
			l, err = sockets.ListenUnix(path)
			return err
		})
		if err != nil {
			if ctx.Err() == nil {
				r.log.Warn("cannot listen for hand-over requests", "err", err)
			}
			return
		}
		defer context.AfterFunc(ctx, func() { l.Close() })()
		r.acceptHandovers(l)
	})
	return func() { stop(); listening.Wait() }
}

// acceptHandovers posts each connection of a new process to the loop until the listener is closed.
func (r *Relay) acceptHandovers(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(lockRetryInterval)
			continue
		}
		if !r.post(handoverRequest{newHandoverLink(c)}) {
			c.Close()
		}
	}
}

// handOver transfers the relay to a new process. If that fails, this process takes the log and the backlog back and goes
// on serving.
func (r *Relay) handOver(l *handoverLink) {
	if r.stopping || r.noSends || r.successor != nil || r.listener == nil {
		l.Close()
		return
	}
	began := clock.Now()
	r.shareLimits(true)
	r.exclusions.mu.Lock() // so that no operator's call is lost between the two processes
	defer r.exclusions.mu.Unlock()
	err := errors.Join(r.wal.Flush(), r.exclusions.save())
	if err == nil && !(r.waitDurable(handoverTimeout/2) && r.backlog.waitForJob(handoverTimeout/2) && r.wal.WaitForArchive(handoverTimeout/2) &&
		len(r.withheld) == 0) {
		err = errors.New("the disk is behind")
	}
	if err == nil {
		err = r.backlog.close()
	}
	if err == nil {
		err = r.transfer(l)
	}
	if err != nil {
		l.Close()
		for end := clock.Now().Add(relockTimeout); r.logLock == nil; time.Sleep(lockRetryInterval) {
			if r.logLock, err = wal.Lock(r.cfg.StateDir); err != nil && clock.Now().After(end) {
				// Another process holds the log and every message in it, but does not respond. Writing to the log would
				// corrupt it.
				panic(fmt.Sprintf("relay: the log is lost to another process: %v", err))
			}
		}
		r.log.Warn("not handed over", "err", err)
		if err := r.backlog.reopen(); err != nil {
			panic(fmt.Sprintf("relay: the backlog is lost to another process: %v", err)) // for the same reason as the log
		}
		if err := r.wal.Reclaim(); err != nil {
			r.log.Error("cannot resume the log after a failed hand-over", "err", err)
		}
		r.shareLimits(false)
		return
	}
	r.successor, r.held = l, 0
	r.exclusions.owned, r.exclusions.successor = false, l
	r.updateGauges()
	r.releaseState()
	go r.readReplies(l)
	close(r.handedOver)
	r.log.Info("handed over", "calls", r.callsOut, "took", clock.Since(began))
}

// transfer sends the listener, releases the log's lock, sends the state, and waits until the other process confirms
// that it owns the log.
func (r *Relay) transfer(l *handoverLink) error {
	l.SetDeadline(clock.Now().Add(handoverTimeout))
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var sendErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, sendErr = l.WriteMsgUnix([]byte{'L'}, syscall.UnixRights(int(fd)), nil)
	}); err != nil || sendErr != nil {
		return errors.Join(err, sendErr)
	}
	r.logLock.Close()
	r.logLock = nil
	if err := r.sendState(l); err != nil {
		return err
	}
	r.returnMemory() // of the encoded state
	l.SetReadDeadline(clock.Now().Add(handoverTimeout))
	var f frame
	if err := l.dec.Decode(&f); err != nil {
		return err
	}
	l.SetDeadline(time.Time{})
	return nil
}

// outstandingAttempts are the attempts in flight, in the order of their sends.
func (r *Relay) outstandingAttempts() (all []outstandingAttempt) {
	number := uint32(0)
	for c := range r.inFlight {
		number++
		for _, a := range c.attempts {
			all = append(all, outstandingAttempt{policy.OutstandingAttempt{Call: number, Attempt: a.n, Route: c.route, Sent: c.sent.Sub(r.started),
				TimeoutAt: a.deadline.Sub(r.started)}, a.m.ID, a.settled})
		}
	}
	slices.SortFunc(all, func(a, b outstandingAttempt) int {
		return cmp.Or(cmp.Compare(a.Sent, b.Sent), int(int64(a.ID)-int64(b.ID)))
	})
	return all
}

// The new process's side.

// takeOver locks and opens the log, the backlog and the exclusions, either by a hand-over from a process that is
// serving or from what an earlier process left.
func (r *Relay) takeOver() error {
	l, state, listener, err := requestHandover(r.cfg, func() { r.shareLimits(true) })
	if err != nil {
		r.log.Warn("not handed over", "err", err)
		r.shareLimits(false)
	}
	var found wal.Recovery
	if r.logLock, err = wal.Lock(r.cfg.StateDir); err == nil {
		r.wal, found, err = wal.OpenWith(r.logOptions())
	}
	if err == nil && l == nil {
		r.restoreState(found)
	}
	if err == nil {
		if err = r.openBacklog(found); err != nil {
			err = errors.Join(err, r.wal.Close())
		}
	}
	if err == nil {
		if err = r.exclusions.load(state.Seen); err != nil {
			err = errors.Join(err, r.backlog.close(), r.wal.Close())
			r.backlog = nil
		}
	}
	if err == nil && l != nil && l.send(frame{Mine: true}) != nil {
		err = errors.Join(wal.ErrLocked, r.backlog.close(), r.wal.Close()) // the old process gave up waiting or has exited: retry
		r.backlog = nil
	}
	if err != nil {
		if r.logLock != nil {
			r.logLock.Close()
		}
		if l != nil {
			l.Close()
			listener.Close()
			r.exclusions.unload()
		}
		return fmt.Errorf("relay: %w", err)
	}
	r.recovery, r.inheritedState = found, state
	if found.Report != nil && !found.Report.Intact() {
		r.log.Error("the state folder is damaged", "report", found.Report.Summary())
	}
	if found.UnreadableEnds > 0 {
		r.log.Error("files of ended requests can't be read: their ids would be accepted again", "files", found.UnreadableEnds)
	}
	if l == nil {
		return nil
	}
	l.SetDeadline(time.Time{})
	r.predecessor, r.lastID = l, max(r.lastID, state.LastID)
	r.started = state.moduleStart()
	r.cfg.Known = List{Entries: state.Members}
	r.inheritedState.Members, r.inheritedState.Seen = nil, nil
	if listener.Addr().String() == r.cfg.Listen {
		r.listener = listener
	} else {
		listener.Close()
	}
	return nil
}

// requestHandover requests a hand-over from the process that is serving. The link is nil if there is none. onConnect is called
// before the state arrives.
func requestHandover(cfg Config, onConnect func()) (l *handoverLink, state handoverState, listener *net.TCPListener, err error) {
	c, err := sockets.DialUnix(filepath.Join(cfg.StateDir, handoverSocket))
	if err != nil {
		return nil, handoverState{}, nil, nil // no process is serving
	}
	defer func() {
		if err != nil {
			c.Close()
			if listener != nil {
				listener.Close()
			}
		}
	}()
	onConnect()
	c.SetDeadline(clock.Now().Add(handoverTimeout))
	marker, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := c.ReadMsgUnix(marker, oob)
	if err != nil {
		return nil, handoverState{}, nil, fmt.Errorf("relay: take over: %w", err)
	}
	if listener, err = receivedListener(oob[:n]); err != nil {
		return nil, handoverState{}, nil, fmt.Errorf("relay: take over: %w", err)
	}
	l = newHandoverLink(c)
	if state, err = l.receiveState(); err != nil {
		return nil, handoverState{}, listener, fmt.Errorf("relay: take over: %w", err)
	}
	return l, state, listener, nil
}

// receivedListener returns the listener whose descriptor arrived in a control message.
func receivedListener(oob []byte) (*net.TCPListener, error) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("no socket received"), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("no socket received"), err)
	}
	syscall.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, errors.New("received socket is not a TCP listener")
	}
	return tcp, nil
}

// readPredecessor handles the frames of the old process until the link closes, and then posts predecessorGone.
func (r *Relay) readPredecessor(l *handoverLink) {
	waiting := forwardedSubmissions{bySeq: map[uint32]*submission{}}
	for {
		var f frame
		if err := l.dec.Decode(&f); err != nil {
			break
		}
		switch {
		case f.End != nil:
			r.post(*f.End)
		case f.Leave != 0:
			r.post(withdrawal{f.Leave})
		case f.LeaveSeq != 0:
			if in := waiting.get(f.LeaveSeq); in != nil {
				in.markLeft()
				r.post(clientLeft{in})
			}
		case f.Hand != nil && f.Hand.Message == nil:
			a := r.exclusions.set(f.Hand.exclusionChange)
			l.send(frame{Reply: &forwardedAnswer{Seq: f.Hand.Seq, Status: a.status, Text: a.text}})
		case f.Hand != nil:
			m := f.Hand.Message
			m.Body = f.Hand.Body
			if f.Hand.Left != 0 {
				m.Deadline = clock.Now().Add(f.Hand.Left)
			}
			in := &submission{m: m, reply: make(chan answer, 1)}
			seq := f.Hand.Seq
			waiting.add(seq, in)
			if !r.post(in) {
				break
			}
			go func() { // at most one for each client connection of the old process
				defer waiting.remove(seq)
				select {
				case a := <-in.reply:
					l.send(frame{Reply: &forwardedAnswer{seq, m.ID, a.status, a.retryAfter, a.text}})
				case <-r.loopDone:
				}
			}()
		}
	}
	l.Close()
	r.post(predecessorGone{})
}

// applyForwardedOutcome applies the outcome of an attempt that the old process made.
func (r *Relay) applyForwardedOutcome(evs []policy.Event, e forwardedOutcome) []policy.Event {
	key := attemptKey{e.ID, e.N}
	a := r.predecessorAttempts[key]
	if a == nil {
		return evs
	}
	if !e.Cut {
		delete(r.predecessorAttempts, key)
	}
	if e.Outcome == policy.OK {
		a.m.counted = true // the old process has counted it
	}
	return r.finishAttempt(evs, a, result{e.Outcome, e.Gone, e.Wait, e.Report, e.Took})
}

// endPredecessorAttempts ends the attempts whose outcomes the old process did not report. They may have run, so they end
// as resets.
func (r *Relay) endPredecessorAttempts(evs []policy.Event) []policy.Event {
	keys := make([]attemptKey, 0, len(r.predecessorAttempts))
	for k := range r.predecessorAttempts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b attemptKey) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.n, b.n)) })
	for _, k := range keys {
		evs = r.applyForwardedOutcome(evs, forwardedOutcome{ID: k.id, N: k.n, Outcome: policy.Reset})
	}
	r.shareLimits(false)
	return evs
}

// shareLimits tells whether this process shares the relay's limits with another one during a hand-over.
func (r *Relay) shareLimits(upgrading bool) {
	r.divideMemory(func(n *policy.MemoryNeeds) { n.Upgrading = upgrading })
}
