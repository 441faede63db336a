// Package relay carries out on real sockets what package policy decides: it takes messages from clients, calls
// hosts, follows discovery's list, and keeps what it owes in a write-ahead log. It decides nothing itself.
//
// One goroutine, the loop, owns the decision module and the log. Everything that happens comes to it as an
// event, so that no send leaves on a decision older than what the loop has learned.
package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/invariant"
	"onyxroad.dev/onyxroad/internal/membership"
	"onyxroad.dev/onyxroad/internal/wal"
	"onyxroad.dev/onyxroad/policy"
)

const (
	eventRoom = 1024
	batchMost = 512                    // events in a step
	gaugesFor = 200 * time.Millisecond // between steps the gauges are brought up to date so often

	// unknownAgo is for what happened at a time that is not known.
	unknownAgo = 24 * time.Hour

	// clockStart keeps the module's clock away from 0, which it takes for never.
	clockStart = time.Second

	// The parts of a planned end, from SIGTERM, after which SIGKILL comes no sooner than 3.7 s. New connections
	// go on coming for up to 0.4 s.
	acceptFor = 500 * time.Millisecond
	answerFor = time.Second             // requests that were read by then have their answers
	sendFor   = 2200 * time.Millisecond // no new calls after this: they would be cut off with no outcome
	endBy     = 3300 * time.Millisecond
)

// The events of the loop, besides policy's own.
type (
	handIn struct {
		m     *wal.Message
		as    *message    // what it was taken for
		order             // instead of a message; passed on only
		reply chan answer // takes one without waiting
	}
	withdrawal struct{ id uint32 }
	callEnd    struct {
		c       *call
		results []result
	}
	cutOff    struct{ a *attempt }
	clearance struct {
		route string
		ids   []uint32
		reply chan bool
	}
	confirmed struct{ ids []uint32 } // their notices were taken
	stopping  struct{}               // no more messages come
	noSends   struct{}               // from here on only outcomes are noted
	nudge     struct{}               // asks for a step
)

// message is a message that the relay has not done with.
type message struct {
	*wal.Message
	sends int  // as the module counts them
	out   int  // attempts without an outcome
	ended bool // the module has done with it

	told     bool     // its outcome is counted, or need not be
	notified bool     // its end was told to the platform
	fresh    bool     // taken on in this step, which may yet refuse it
	seq      uint64   // the write in the log that took it on
	shared   bool     // others were told that it is taken on, too: it cannot be withdrawn
	next     *message // withdrawn and handed in once more: what it goes on as

	// Where a backlog is kept; see overflow and window.
	cell      *destWindow // nil: the module does not have it
	place     int         // among those of the cell that were never sent; -1: sent
	move      transfer
	dropped   bool // on its way, and owed no more
	refused   bool // its client was told so, without a notice
	confirmed bool // on its way, and its notice was taken
}

// Relay is one relay.
type Relay struct {
	cfg     Config
	log     *slog.Logger
	hosts   *hostClient
	clients *clients
	finals  *noticeSender
	agent   *agent
	events  chan any
	over    chan struct{} // closed when the loop has ended
	idle    chan struct{} // closed when the relay is stopping and nothing is left to wait for
	figures *figures
	serving atomic.Bool // it has recovered and lets clients in
	listed  atomic.Bool // it holds a list
	ending  atomic.Bool // SIGTERM came
	calls   sync.WaitGroup
	byHand  *exclusions
	guard   *invariant.Guard
	traced  bool // changes of messages' states are logged
	pid     int
	begun   time.Time // since when the process could have been ready
	fleet   fleet
	handed  chan struct{} // closed when the relay has handed over

	resubmitted resubmissions

	// Set before the loop begins.
	listener *net.TCPListener // nil until it is there
	parent   *handoverLink    // to the process that handed over to this one; nil if none did
	legacy   handoverState    // what that one told
	memory   int64            // the limit of all processes
	endAdmin func()

	// Owned by the loop.
	callCtx      context.Context
	started      time.Time
	sender       *policy.Sender
	wal          *wal.Log
	found        wal.Recovery // until it is taken up
	turnedAway   []turnedAway // in this step
	msgs         map[uint32]*message
	traces       map[string]*message
	routes       map[string]target
	cells        map[int]bool // destinations that the list has named
	left         []*message   // withdrawn, may have run; by deadline, more or less
	held         int          // messages that the module has not done with
	out          int          // calls
	lastID       uint32
	flying       map[*call]struct{}      // calls out
	lock         *os.File                // the log's; nil without it
	heir         *handoverLink           // to the process that this one has handed over to
	foreign      map[attemptKey]*attempt // out at the process before
	barred       map[string]bool         // endpoints out by hand, as the module has heard
	outOfService outages                 // endpoints that may get nothing new
	wakeAt       time.Time               // zero: none asked for
	later        []policy.Event          // for the next step
	full         bool                    // the log took no new work last
	owed         *backlogQueue           // nil: no backlog is kept
	kept         []any                   // came while the loop waited for a job, for the next step

	promises []pendingStep // wait for the disk, oldest first
	withheld []withheldAnswer
	synced   chan struct{} // holds one: the disk has something more
	worn     bool          // the disk has failed the log
	behind   time.Duration // the wall clock, to what the log has seen; 0 unless it was set back
	recalled memories      // of a process before, until taken up
	putAt    time.Time
	countAt  time.Time   // the routes that are avoided are counted no sooner
	putting  atomic.Bool // memories are being written

	putFailed atomic.Bool

	stopping, noSends, idled bool
}

// target is what the relay keeps of a listed host.
type target struct {
	policy.Listing
	addr string
}

// New returns a relay that has read what an earlier process left in the log. While another process has the log and does
// not hand it over, New waits, until ctx ends.
func New(ctx context.Context, cfg Config, log *slog.Logger) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		cfg: cfg, log: log, hosts: newHostClient(cfg), agent: newAgent(cfg.Discovery),
		events: make(chan any, eventRoom), over: make(chan struct{}), idle: make(chan struct{}),
		started: clock.Now().Add(-clockStart), sender: sender, handed: make(chan struct{}),
		byHand: newExclusions(log, cfg.StateDir), barred: map[string]bool{},
		msgs: map[uint32]*message{}, traces: map[string]*message{}, routes: map[string]target{},
		cells: map[int]bool{}, figures: newFigures(cfg.Classes), endAdmin: func() {},
		synced: make(chan struct{}, 1), guard: invariant.New(log), traced: log.Enabled(ctx, slog.LevelDebug), pid: os.Getpid(), begun: clock.Now(),
		resubmitted: resubmissions{inform: rate.Sometimes{First: 1, Interval: time.Second}}, outOfService: outages{},
		flying: map[*call]struct{}{}, foreign: map[attemptKey]*attempt{}, memory: debug.SetMemoryLimit(-1),
	}
	r.hosts.onWritten = func(c *call) {
		for _, a := range c.attempts {
			r.figures.of(a.m.Class).sends.Add(1)
		}
	}
	// Clients hold a third of the descriptors with their requests; more is for those that are slow to leave.
	r.clients = newClients(log, cfg.Limits.Sockets*9/20, r.request)
	r.clients.guard, r.hosts.guard = r.guard, r.guard
	r.finals = newNoticeSender(log, r.agent, func(ids []uint32) { r.post(confirmed{ids}) })
	// Before the old process gives anything away: what can fail has failed by then.
	if cfg.Admin != "" {
		l, err := listen(ctx, log, "operators", cfg.Admin)
		if err != nil {
			return nil, err
		}
		r.endAdmin = r.serveAdmin(l)
	}
	if err := r.begin(ctx); err != nil {
		r.endAdmin()
		return nil, err
	}
	return r, nil
}

// Run serves until ctx ends, and then ends in order: see endBy.
func (r *Relay) Run(ctx context.Context) error {
	defer r.endAdmin()
	if r.listener == nil {
		l, err := listen(ctx, r.log, "clients", r.cfg.Listen)
		if err != nil {
			return errors.Join(err, r.wal.Close())
		}
		r.listener = l
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	r.resume() // before clients are told that the relay is ready
	go r.loop(work)
	if r.parent != nil {
		go r.readPredecessor(r.parent)
	}
	talk, quiet := context.WithCancel(work)
	defer quiet()
	go r.finals.run(talk)
	list := watcher{
		log: r.log, agent: r.agent, timeout: watchTimeout, version: r.cfg.Known.Version,
		fleetSize: r.cfg.Settings.Senders, random: rand.Float64, sleep: sleep, now: clock.Now,
		// A list that the process before handed over has to be followed at once: together the two know no less.
		hasList: len(r.cfg.Known.Entries) > 0 && r.parent == nil,
		onList:  func(l List) { r.post(l) },
	}
	go list.run(talk)

	go r.clients.run(r.listener)
	r.serving.Store(true)
	r.guard.Ready(clock.Since(r.begun))
	r.fleet.become(membership.Serving)
	var joining sync.WaitGroup
	joining.Go(func() { r.joinFleet(talk) })
	defer joining.Wait()
	if r.cfg.Duties != nil {
		joining.Go(func() { r.cfg.Duties.Run(talk, r.fleet.members) })
	}
	r.log.Info("serving", "name", r.cfg.Name, "listen", r.listener.Addr().String())
	defer r.serveHandovers()()
	select {
	case <-ctx.Done():
		r.shutDown(r.listener)
	case <-r.handed:
		quiet()
		// The new process has a newer incarnation, and the address, once this one lets it go.
		if err := r.fleet.end(false); err != nil {
			r.log.Warn("fleet", "err", err)
		}
		r.drainAfterHandover(ctx, r.listener)
	}
	quiet()
	stopCalls()
	r.calls.Wait() // their outcomes reach the log
	stop()
	<-r.over
	r.hosts.close()
	r.saveMemoriesAtExit()
	err := r.closeLog()
	if r.lock != nil {
		err = errors.Join(err, r.lock.Close())
	}
	return err
}

// Reload takes on what may change while the relay runs: discovery's address. All else takes a restart.
func (r *Relay) Reload(cfg Config) {
	r.log.Info("configuration read again", "discovery", cfg.Discovery)
	r.agent.move(cfg.Discovery)
}

// shutDown is the planned end. Connections that are idle close at once, and a request that crosses that comes
// once more on a new connection, which is still taken; what was read is answered, and running calls may finish.
func (r *Relay) shutDown(listener net.Listener) {
	began := clock.Now()
	by := func(d time.Duration) <-chan time.Time { return time.After(clock.Until(began.Add(d))) }
	r.ending.Store(true)
	r.fleet.become(membership.Draining)
	left := make(chan struct{})
	go func() {
		defer close(left)
		if err := r.fleet.end(true); err != nil {
			r.log.Warn("fleet", "err", err)
		}
	}()
	defer func() { <-left }()
	r.clients.drain()
	<-by(acceptFor)
	listener.Close()
	r.clients.close(began.Add(answerFor))
	r.post(stopping{})
	select {
	case <-r.idle:
		return
	case <-by(sendFor):
	}
	r.post(noSends{})
	select {
	case <-r.idle:
	case <-by(endBy):
	}
}

// post hands an event to the loop; false if that has ended.
func (r *Relay) post(e any) bool {
	select {
	case r.events <- e:
		return true
	case <-r.over:
		return false
	}
}

func (r *Relay) now() time.Duration { return clock.Since(r.started) }

// resume hands the module the known list and what an earlier process left, in one step.
func (r *Relay) resume() {
	found := r.found
	r.found = wal.Recovery{}
	var evs []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		evs = append(evs, r.list(known))
	}
	evs = r.heardByHand(evs)
	if r.parent != nil {
		// The list first: what is remembered needs it.
		r.execute(r.sender.Step(r.now(), evs), nil)
		r.sender.Remember(r.legacy.Memories)
		evs = nil
	} else if len(r.recalled.Memories) > 0 && len(r.routes) > 0 {
		r.execute(r.sender.Step(r.now(), evs), nil)
		r.restoreMemories()
		evs = nil
	}
	var ended []*message
	outs := map[uint32]*policy.Out{}
	for _, o := range r.legacy.Out {
		if !o.Cut {
			outs[o.ID] = &o.Out
		}
	}
	for _, w := range found.Messages {
		m := &message{Message: w, sends: w.Attempts}
		r.changed(m, stateNew, stateHeld, reasonRecovered, slog.Int("attempts", w.Attempts), slog.Int("may_run", len(w.MayRun)),
			slog.Int64("left_ms", clock.Until(w.Deadline).Milliseconds()))
		r.msgs[m.ID], r.traces[m.Trace] = m, m
		r.lastID = max(r.lastID, m.ID)
		out := outs[m.ID]
		if out != nil {
			m.out++
		}
		if out != nil && (w.Withdrawn || w.Final != nil) {
			// Over, but its call has a slot until it ends.
			evs = append(evs, r.resumed(m, out), policy.Event{Kind: policy.Withdrawn, ID: m.ID})
		}
		switch {
		case w.Withdrawn:
			m.ended, m.told = true, true
			r.left = append(r.left, m)
		case w.Final != nil:
			m.ended, m.told = true, true
			r.notify(m, true)
		case found.Damaged:
			// What it has sent may be missing from the log: nothing can be promised.
			m.ended = true
			r.figures.ended(m, wal.Final{})
			r.wal.Decide(w, wal.Final{})
			ended = append(ended, m)
		case r.owed.admitRecovered(m):
			r.held++
			r.owed.add(m)
			evs = append(evs, r.resumed(m, out))
		}
	}
	if len(found.Messages) > 0 || found.Damaged {
		r.log.Info("recovered", "messages", len(found.Messages), "damaged", found.Damaged)
	}
	for _, o := range r.legacy.Out {
		if m := r.msgs[o.ID]; m != nil {
			c := &call{route: o.Route, zone: r.routes[o.Route].Zone, sent: r.started.Add(o.Sent)}
			r.foreign[attemptKey{o.ID, o.Attempt}] = &attempt{call: c, m: m, n: o.Attempt, settled: o.Cut}
		}
	}
	r.legacy = handoverState{}
	r.recordEnds(ended)
	r.execute(r.sender.Step(r.now(), evs), nil)
}

// resumed tells the module of a message of an earlier process, in the module's own time. out is the attempt that is
// out there, if any: whether that runs is yet to be told.
func (r *Relay) resumed(m *message, out *policy.Out) policy.Event {
	e := r.taken(m)
	e.Resumed = &policy.Resumed{Attempts: m.Attempts, Out: out}
	ran := slices.DeleteFunc(slices.Clone(m.MayRun), func(a wal.Attempt) bool { return out != nil && a.N == out.Attempt })
	if len(ran) > 0 {
		first := ran[0]
		e.Resumed.Ran, e.Resumed.RanZone = true, first.Zone
		e.Resumed.RanAgo = max(0, clock.Since(first.At))
	}
	if m.Doubt || len(ran) > 0 && r.behind > 0 {
		e.Resumed.Ran, e.Resumed.RanAgo = true, unknownAgo // when is not known: no window holds
	}
	return e
}

func (r *Relay) taken(m *message) policy.Event {
	return policy.Event{
		Kind: policy.Taken, ID: m.ID, Key: m.Order, Class: m.Class, Customer: m.Customer, Destination: m.Dest,
		Left: clock.Until(m.Deadline),
	}
}

// loop is the one goroutine that decides. A step takes what has come in since the last one, no more often than
// the settings' tick: what comes together can then travel together.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.over)
	timer := time.NewTimer(0)
	defer timer.Stop()
	gauges := time.NewTicker(gaugesFor)
	defer gauges.Stop()
	var batch []any
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drain()
			return
		case e := <-r.events:
			batch = append(batch, e)
		case <-timer.C:
		case <-r.byHand.changed:
		case <-r.synced:
			r.maintainLog()
			continue
		case <-gauges.C:
			r.publish() // a skip may have run out
			r.owed.publish()
			r.checkBounds()
			if r.heir == nil {
				r.maintainLog()
				r.saveMemories()
				r.byHand.keepLate()
				r.owed.tend()
			}
			continue
		}
		if rest := r.cfg.Tick - clock.Since(last); rest > 0 {
			time.Sleep(rest)
		}
	more:
		for len(batch) < batchMost {
			select {
			case e := <-r.events:
				batch = append(batch, e)
			default:
				break more
			}
		}
		last = clock.Now()
		r.step(batch)
		clear(batch)
		if kept := r.kept; len(kept) > 0 {
			r.kept = nil
			r.step(kept)
		}
		if !r.wakeAt.IsZero() {
			timer.Reset(clock.Until(r.wakeAt))
		}
	}
}

// drain answers and notes what came before the end, without deciding anything more.
func (r *Relay) drain() {
	r.noSends = true
	for {
		select {
		case e := <-r.events:
			r.step([]any{e})
		default:
			return
		}
	}
}

// list takes a list of hosts, or changes to it. An entry that cannot be read is passed over; if it names a host
// that is known, that host stays as it was.
func (r *Relay) list(l List) policy.Event {
	e := policy.Event{Kind: policy.ListChanges}
	if l.Full {
		e.Kind = policy.ListWhole
	}
	routes := map[string]target{}
	var gone []string
	for _, raw := range l.Entries {
		entry, addr, err := r.cfg.parseListing(raw)
		if err != nil {
			r.log.Warn("unreadable entry of the list", "entry", string(raw), "err", err)
			if known, ok := r.routes[entry.Route]; ok {
				routes[entry.Route] = known
				e.List = append(e.List, known.Listing)
			}
			continue
		}
		e.List = append(e.List, entry)
		if entry.Gone {
			delete(r.routes, entry.Route)
			r.hosts.closeIdle(entry.Route)
		} else {
			if known, ok := r.routes[entry.Route]; ok && known.addr != addr {
				r.hosts.closeIdle(entry.Route)
			}
			routes[entry.Route] = target{entry, addr}
			r.cells[entry.Destination] = true
		}
	}
	if l.Full {
		for id := range r.routes {
			if _, ok := routes[id]; !ok {
				gone = append(gone, id)
				r.hosts.closeIdle(id)
			}
		}
		r.routes = routes
	} else {
		for id, t := range routes {
			r.routes[id] = t
		}
	}
	ids := make([]string, 0, len(e.List))
	for _, entry := range e.List {
		ids = append(ids, entry.Route)
	}
	for _, id := range slices.Concat(ids, gone) {
		r.followOutage(id)
	}
	r.byHand.listed(ids, func(id string) bool { _, ok := r.routes[id]; return ok })
	if len(r.routes) > 0 {
		r.listed.Store(true)
	}
	return e
}

// heardByHand tells the module which endpoints were taken out by hand or put back since it last heard.
func (r *Relay) heardByHand(evs []policy.Event) []policy.Event {
	now := r.byHand.current()
	for _, id := range slices.Sorted(maps.Keys(now)) {
		if !r.barred[id] {
			evs = append(evs, policy.Event{Kind: policy.Excluded, Route: id})
			r.hosts.closeIdle(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.barred)) {
		if !now[id] {
			evs = append(evs, policy.Event{Kind: policy.Included, Route: id})
		}
	}
	before := r.barred
	if r.barred = now; !maps.Equal(now, before) {
		for _, set := range []map[string]bool{before, now} {
			for id := range set {
				r.followOutage(id)
			}
		}
	}
	return evs
}
