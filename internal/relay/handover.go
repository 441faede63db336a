package relay

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/sockets"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

// Handing over to a new process, which asks for it on a Unix socket in the state folder. Together the two are one
// relay, and all has one owner at any time:
//
//	phase           listener           log and decisions     calls out
//	old alone       old                old                   old
//	handing over    both hold it       nobody                old
//	handed over     new                new                   each its own; the old tells the new its outcomes
//	new alone       new                new                   new; what the old has not told of may have run
//
// The lock on the log decides. The old process gives it up with all that it knows, and takes it again if the new one
// does not say that it has it. What reaches the old process later is passed on.

const (
	linkName    = "handover.sock"
	linkFor     = 2 * time.Second // for each side's part in handing over
	linkWriteBy = time.Second     // for a frame
	retakeFor   = 5 * time.Second // to have the lock again from a process that did not go on
	lockPause   = 20 * time.Millisecond
	asideMost   = 10 * time.Second // a process that has handed over stays no longer, SIGTERM or not
)

// estate is what a process that hands over tells besides the log.
type estate struct {
	Began    time.Time // the zero of the module's clock, by the wall clock; for a process of before
	Clock    clockReading
	LastID   uint32
	Members  []member
	Seen     []string // ids that the list has ever named
	Memories []policy.RouteState
	Out      []outCall
}

// clockReading is what the module's clock showed when the machine's stood so. The zero reading tells nothing.
type clockReading struct {
	Machine clock.Machine
	Module  time.Duration
}

// readClock reads the module's clock for another process.
func (r *Relay) readClock() clockReading {
	machine, ok := clock.ReadMachine()
	if !ok {
		return clockReading{}
	}
	return clockReading{machine, r.now()}
}

// startedBy is the zero of a module's clock as this process sees it.
func (e *estate) startedBy() time.Time {
	now := clock.Now()
	if machine, ok := clock.ReadMachine(); ok && machine.Follows(e.Clock.Machine) {
		return now.Add(-e.Clock.Module - (machine.Monotonic - e.Clock.Machine.Monotonic))
	}
	return now.Add(-now.Sub(e.Began))
}

// outCall is an attempt that is out. Cut: its message was told of a time-out, and its call goes on for others.
type outCall struct {
	policy.OutstandingAttempt
	ID  uint32
	Cut bool
}

// frame is what goes over a link once the new process has the log: one of these.
type frame struct {
	Mine  bool          `json:",omitempty"` // new to old: it has the log
	Hand  *passed       `json:",omitempty"` // old to new
	Leave uint32        `json:",omitempty"` // old to new: the client of this message has left
	End   *passedEnd    `json:",omitempty"` // old to new
	Reply *passedAnswer `json:",omitempty"` // new to old
}

// passed is a message that was handed in at the old process, or an operator's call there.
type passed struct {
	Seq     uint32
	Message *wal.Message `json:",omitempty"`
	Body    []byte       `json:",omitempty"`
	// Left is the message's time that is left; 0 from a process of before, whose deadlines go by the wall clock.
	Left time.Duration `json:",omitempty"`
	exclusionChange
}

type passedAnswer struct {
	Seq, ID uint32
	Status  int
	Again   time.Duration
	Text    string
}

// passedEnd is an attempt's outcome.
type passedEnd struct {
	ID      uint32
	N       int
	Cut     bool // its call goes on
	Outcome policy.Outcome
	Gone    bool
	Wait    time.Duration
	Report  policy.Report
	Took    time.Duration
}

// outKey names an attempt; message numbers are the log's, and the same on both sides.
type outKey struct {
	id uint32
	n  int
}

// The loop's events of a hand-over, besides passedEnd.
type (
	takeover struct{ link *link } // a new process asks for this one's place
	alone    struct{}             // the old process has ended
)

// turnedBack answers a hand-in that cannot be passed on.
var turnedBack = answer{status: http.StatusServiceUnavailable, retryAfter: policy.MinRetryAfter}

// link joins the two processes.
type link struct {
	*net.UnixConn
	dec *json.Decoder

	mu      sync.Mutex // guards writing, and what follows
	enc     *json.Encoder
	asked   map[uint32]*submission
	lastSeq uint32
	over    bool
}

func newLink(c *net.UnixConn) *link {
	return &link{UnixConn: c, dec: json.NewDecoder(c), enc: json.NewEncoder(c), asked: map[uint32]*submission{}}
}

func (l *link) send(v any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetWriteDeadline(clock.Now().Add(linkWriteBy))
	return l.enc.Encode(v)
}

// The old process's side.

// heirs lets a new process ask for the relay's place until the returned function is called. Without the socket, one
// that comes waits for the log until this one ends.
func (r *Relay) heirs() (end func()) {
	path := filepath.Join(r.cfg.StateDir, linkName)
	ctx, stop := context.WithCancel(context.Background())
	var waits sync.WaitGroup
	waits.Go(func() {
		var l *net.UnixListener
		err := retryTransient(ctx, r.log, "listen for a new process", forever, func() (err error) {
			os.Remove(path) // left by a process before: this one has the log
			l, err = sockets.ListenUnix(path)
			return err
		})
		if err != nil {
			if ctx.Err() == nil {
				r.log.Warn("no hand-over to a new process", "err", err)
			}
			return
		}
		defer context.AfterFunc(ctx, func() { l.Close() })()
		r.awaitHeirs(l)
	})
	return func() { stop(); waits.Wait() }
}

// awaitHeirs takes connections of new processes until the listener is closed.
func (r *Relay) awaitHeirs(l *net.UnixListener) {
	for {
		c, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(lockPause)
			continue
		}
		if !r.post(takeover{newLink(c)}) {
			c.Close()
		}
	}
}

// handOver gives a new process all that it needs. Where that does not come to take it, all stays as it was.
func (r *Relay) handOver(l *link) {
	if r.stopping || r.noSends || r.successor != nil || r.listener == nil {
		l.Close()
		return
	}
	began := clock.Now()
	r.exclusions.mu.Lock() // no call is lost between the two
	defer r.exclusions.mu.Unlock()
	err := errors.Join(r.wal.Flush(), r.exclusions.save())
	if err == nil && !(r.settle(linkFor/2) && r.backlog.wait(linkFor/2) && len(r.withheld) == 0) {
		err = errors.New("the disk is behind")
	}
	if err == nil {
		err = r.backlog.close()
	}
	if err == nil {
		err = r.offer(l)
	}
	if err != nil {
		l.Close()
		for end := clock.Now().Add(retakeFor); r.logLock == nil; time.Sleep(lockPause) {
			if r.logLock, err = wal.Lock(r.cfg.StateDir); err != nil && clock.Now().After(end) {
				// Another has the log and does not answer: what it owes is there. Writing to it would spoil it.
				panic(fmt.Sprintf("relay: the log is lost to another process: %v", err))
			}
		}
		r.log.Warn("not handed over", "err", err)
		if err := r.backlog.reopen(); err != nil {
			panic(fmt.Sprintf("relay: the backlog is lost to another process: %v", err)) // as of the log
		}
		if err := r.wal.Reclaim(); err != nil {
			r.log.Error("the log is not as it was before the hand-over", "err", err)
		}
		return
	}
	r.successor, r.held = l, 0
	r.exclusions.owned, r.exclusions.successor = false, l
	go r.answers(l)
	close(r.handedOver)
	r.log.Info("handed over", "calls", r.callsOut, "took", clock.Since(began))
}

// offer passes on the listener, what this process knows, and the lock, and waits until the other has it.
func (r *Relay) offer(l *link) error {
	l.SetDeadline(clock.Now().Add(linkFor))
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
	if err := l.send(r.estate()); err != nil {
		return err
	}
	l.SetReadDeadline(clock.Now().Add(linkFor))
	var f frame
	if err := l.dec.Decode(&f); err != nil {
		return err
	}
	l.SetDeadline(time.Time{})
	return nil
}

func (r *Relay) estate() estate {
	e := estate{Began: r.started, Clock: r.readClock(), LastID: r.lastID, Seen: r.exclusions.seenOrder, Memories: r.sender.RouteStates()}
	for _, t := range r.routes {
		cell, state := t.Destination, "draining"
		if t.InService {
			state = "ready"
		}
		e.Members = append(e.Members, member{
			ID: t.Route, Addr: t.addr, Zone: r.cfg.Zones[t.Zone], Kind: r.cfg.Kinds[t.Kind], Cell: &cell, State: state, Weight: t.Weight,
		})
	}
	number := uint32(0)
	for c := range r.inFlight {
		number++
		for _, a := range c.attempts {
			e.Out = append(e.Out, outCall{policy.OutstandingAttempt{Call: number, Attempt: a.n, Route: c.route, Sent: c.sent.Sub(r.started),
				TimeoutAt: a.until.Sub(r.started)}, a.m.ID, a.over})
		}
	}
	slices.SortFunc(e.Out, func(a, b outCall) int { return cmp.Or(cmp.Compare(a.Sent, b.Sent), int(int64(a.ID)-int64(b.ID))) })
	return e
}

// passOn is a step of a process that has handed over.
func (r *Relay) passOn(batch []any) {
	for _, e := range batch {
		switch e := e.(type) {
		case *submission:
			r.successor.ask(e)
		case withdrawal:
			r.successor.send(frame{Leave: e.id})
		case *callFinished:
			r.callsOut--
			delete(r.inFlight, e.c)
			for i, a := range e.c.attempts {
				r.tellEnd(a, e.results[i], false)
			}
		case attemptTimeout:
			if !e.a.over {
				r.tellEnd(e.a, result{outcome: policy.Timeout, took: clock.Since(e.a.sent)}, true)
			}
		case sendCheck:
			e.reply <- false // it goes back, and the new process decides anew
		case takeover:
			e.link.Close()
		case stopIntake:
			r.stopping = true
		}
	}
	r.updateGauges()
	if r.stopping && !r.drainSignalled && r.callsOut == 0 {
		r.drainSignalled = true
		close(r.drained)
	}
}

func (r *Relay) tellEnd(a *attempt, res result, cut bool) {
	a.over = a.over || cut
	if a.timer != nil && !cut {
		a.timer.Stop()
	}
	if res.outcome == policy.OK && a.m.markCounted() {
		r.metrics.forClass(a.m.Class).answered.Add(1)
	}
	r.successor.send(frame{End: &passedEnd{a.m.ID, a.n, cut, res.outcome, res.gone, res.wait, res.report, res.took}})
}

// ask passes a hand-in on. Its answer comes by answers.
func (l *link) ask(in *submission) {
	l.mu.Lock()
	l.lastSeq++
	seq := l.lastSeq
	if l.over {
		l.mu.Unlock()
		in.reply <- turnedBack
		return
	}
	l.asked[seq] = in
	l.mu.Unlock()
	p := passed{Seq: seq, Message: in.m, exclusionChange: in.exclusionChange}
	if in.m != nil {
		p.Body, p.Left = in.m.Body, clock.Until(in.m.Deadline)
	}
	if err := l.send(frame{Hand: &p}); err != nil {
		l.reply(passedAnswer{Seq: seq, Status: turnedBack.status, Again: turnedBack.retryAfter})
	}
}

// reply answers a hand-in, once.
func (l *link) reply(a passedAnswer) {
	l.mu.Lock()
	in := l.asked[a.Seq]
	delete(l.asked, a.Seq)
	l.mu.Unlock()
	if in != nil {
		if in.m != nil {
			in.m.ID = a.ID
		}
		in.reply <- answer{a.Status, a.Again, a.Text}
	}
}

// answers takes the new process's answers until the link ends.
func (r *Relay) answers(l *link) {
	for {
		var f frame
		if err := l.dec.Decode(&f); err != nil {
			break
		}
		if f.Reply != nil {
			l.reply(*f.Reply)
		}
	}
	l.mu.Lock()
	l.over = true
	left := l.asked
	l.asked = map[uint32]*submission{}
	l.mu.Unlock()
	for _, in := range left {
		in.reply <- turnedBack
	}
}

// stepAside is what remains for a process that has handed over: its clients' requests are passed on, each answer ends
// its connection, and calls run to their ends, until SIGTERM and no longer than asideMost. Closing the listener here
// resets nothing: the new process holds the same socket.
func (r *Relay) stepAside(ctx context.Context, listener net.Listener) {
	r.serving.Store(false)
	listener.Close()
	r.clients.disableKeepAlive()
	r.hosts.close()
	r.share(0.5)
	select {
	case <-ctx.Done():
	case <-time.After(asideMost):
	}
	began := clock.Now()
	time.Sleep(acceptGrace)
	r.clients.close(began.Add(answerGrace))
	r.post(stopIntake{})
	select {
	case <-r.drained:
	case <-time.After(clock.Until(began.Add(shutdownTimeout))):
	}
}

// The new process's side.

// takeUp takes the log over, from a process that serves now or from one that has ended.
func (r *Relay) takeUp() error {
	l, from, listener, err := inherit(r.cfg)
	if err != nil {
		r.log.Warn("not handed over", "err", err)
	}
	var found wal.Recovery
	if r.logLock, err = wal.Lock(r.cfg.StateDir); err == nil {
		r.wal, found, err = wal.OpenWith(r.options())
	}
	if err == nil && l == nil {
		r.recollect(found)
	}
	if err == nil {
		if err = r.newOverflow(found); err != nil {
			err = errors.Join(err, r.wal.Close())
		}
	}
	if err == nil {
		if err = r.exclusions.load(from.Seen); err != nil {
			err = errors.Join(err, r.backlog.close(), r.wal.Close())
			r.backlog = nil
		}
	}
	if err == nil && l != nil && l.send(frame{Mine: true}) != nil {
		err = errors.Join(wal.ErrLocked, r.backlog.close(), r.wal.Close()) // that process waits no longer, or has ended: begin anew
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
	r.recovery, r.inheritedState = found, from
	if found.Report != nil && !found.Report.Intact() {
		r.log.Error("the state folder is damaged", "report", found.Report.Summary())
	}
	if l == nil {
		return nil
	}
	l.SetDeadline(time.Time{})
	r.predecessor, r.lastID = l, max(r.lastID, from.LastID)
	r.started = from.startedBy()
	r.cfg.Known = List{}
	for _, m := range from.Members {
		entry, err := json.Marshal(m)
		if err != nil {
			panic(err) // plain fields only: cannot fail
		}
		r.cfg.Known.Entries = append(r.cfg.Known.Entries, entry)
	}
	if listener.Addr().String() == r.cfg.Listen {
		r.listener = listener
	} else {
		listener.Close()
	}
	r.share(0.5)
	return nil
}

// inherit asks the process that serves now for its place. The link is nil if there is none.
func inherit(cfg Config) (l *link, from estate, listener *net.TCPListener, err error) {
	c, err := sockets.DialUnix(filepath.Join(cfg.StateDir, linkName))
	if err != nil {
		return nil, estate{}, nil, nil // nobody there
	}
	defer func() {
		if err != nil {
			c.Close()
			if listener != nil {
				listener.Close()
			}
		}
	}()
	c.SetDeadline(clock.Now().Add(linkFor))
	mark, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	_, n, _, _, err := c.ReadMsgUnix(mark, oob)
	if err != nil {
		return nil, estate{}, nil, fmt.Errorf("relay: take over: %w", err)
	}
	if listener, err = passedListener(oob[:n]); err != nil {
		return nil, estate{}, nil, fmt.Errorf("relay: take over: %w", err)
	}
	l = newLink(c)
	if err = l.dec.Decode(&from); err != nil {
		return nil, estate{}, listener, fmt.Errorf("relay: take over: %w", err)
	}
	return l, from, listener, nil
}

// passedListener is the listener that came with a message.
func passedListener(oob []byte) (*net.TCPListener, error) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("no socket came"), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("no socket came"), err)
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
		return nil, errors.New("another kind of socket came")
	}
	return tcp, nil
}

// heed takes what the old process tells until it ends, and from then on knows that it is alone.
func (r *Relay) heed(l *link) {
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
		case f.Hand != nil && f.Hand.Message == nil:
			a := r.exclusions.set(f.Hand.exclusionChange)
			l.send(frame{Reply: &passedAnswer{Seq: f.Hand.Seq, Status: a.status, Text: a.text}})
		case f.Hand != nil:
			m := f.Hand.Message
			m.Body = f.Hand.Body
			if f.Hand.Left != 0 {
				m.Deadline = clock.Now().Add(f.Hand.Left)
			}
			in := &submission{m: m, reply: make(chan answer, 1)}
			seq := f.Hand.Seq
			if !r.post(in) {
				break
			}
			go func() { // as many at most as the old process has clients
				select {
				case a := <-in.reply:
					l.send(frame{Reply: &passedAnswer{seq, m.ID, a.status, a.retryAfter, a.text}})
				case <-r.loopDone:
				}
			}()
		}
	}
	l.Close()
	r.post(alone{})
}

// inherited takes the outcome of an attempt that the old process made.
func (r *Relay) inherited(evs []policy.Event, e passedEnd) []policy.Event {
	key := outKey{e.ID, e.N}
	a := r.predecessorAttempts[key]
	if a == nil {
		return evs
	}
	if !e.Cut {
		delete(r.predecessorAttempts, key)
	}
	if e.Outcome == policy.OK {
		a.m.counted = true // counted where it came
	}
	return r.finishAttempt(evs, a, result{e.Outcome, e.Gone, e.Wait, e.Report, e.Took})
}

// bereft ends the attempts that the old process has not told of: they may have run.
func (r *Relay) bereft(evs []policy.Event) []policy.Event {
	keys := make([]outKey, 0, len(r.predecessorAttempts))
	for k := range r.predecessorAttempts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b outKey) int { return cmp.Or(cmp.Compare(a.id, b.id), cmp.Compare(a.n, b.n)) })
	for _, k := range keys {
		evs = r.inherited(evs, passedEnd{ID: k.id, N: k.n, Outcome: policy.Reset})
	}
	r.share(1)
	return evs
}

// share sets the part of the relay's limits that this process may use.
func (r *Relay) share(part float64) {
	r.clients.setLimit(int(part * float64(r.cfg.Limits.Sockets*9/20)))
	r.hosts.bound(int(part * float64(r.cfg.Limits.Sockets*3/8)))
	debug.SetMemoryLimit(int64(part * float64(r.memoryLimit)))
}
